#include "hemlockhaven/node/HomeRouter.h"

#include <utility>
#include <variant>

namespace hemlockhaven {

namespace {

// A home answers a submission without waiting for its end.
constexpr Duration kReplyLimit = std::chrono::seconds(2);
constexpr Duration kRetryAfter = std::chrono::seconds(1);

template<typename Reply>
Result<Reply> As(Result<Message>&& aMessage, std::string_view aPeer)
{
  if (aMessage.has_error()) {
    return std::move(aMessage).error();
  }
  if (auto* reply = std::get_if<Reply>(&aMessage.value())) {
    return std::move(*reply);
  }
  return Error::Unknown(
    "read reply", aPeer, Reason::Internal, "the reply is of another type");
}

}

HomeRouter::HomeRouter(const Roster& aRoster, PeerHooks aPeers)
  : roster_(aRoster)
  , peers_(std::move(aPeers))
{
}

Result<void> HomeRouter::Submit(const SubmissionId& aId,
                                const JobSpec& aSpec) const
{
  BOOST_OUTCOME_TRY(
    reply,
    As<SubmitReply>(
      Ask(aId.home, hemlockhaven::Submit{ aId, aSpec }, kReplyLimit),
      aId.home.node));
  if (reply.error.has_value()) {
    return std::move(*reply.error);
  }
  return outcome::success();
}

Result<JobAnswer> HomeRouter::Fetch(const SubmissionId& aId,
                                    Duration aWait) const
{
  BOOST_OUTCOME_TRY(
    reply,
    As<FetchReply>(
      Ask(aId.home, hemlockhaven::Fetch{ aId, aWait }, aWait + kReplyLimit),
      aId.home.node));
  if (reply.error.has_value()) {
    return std::move(*reply.error);
  }
  return std::move(*reply.answer);
}

Result<JobState> HomeRouter::Cancel(const SubmissionId& aId) const
{
  BOOST_OUTCOME_TRY(
    reply,
    As<CancelReply>(Ask(aId.home, hemlockhaven::Cancel{ aId }, kReplyLimit),
                    aId.home.node));
  if (reply.error.has_value()) {
    return std::move(*reply.error);
  }
  return reply.state;
}

Result<SubmissionId> HomeRouter::SubmitByKey(const Incarnation& aHolder,
                                             const KeyHash& aKey,
                                             LogOffset aEpoch,
                                             const JobSpec& aSpec) const
{
  BOOST_OUTCOME_TRY(
    reply,
    As<SubmitKeyReply>(
      Ask(aHolder, SubmitKey{ aKey, aEpoch, aSpec }, kReplyLimit),
      aHolder.node));
  if (reply.error.has_value()) {
    return std::move(*reply.error);
  }
  return SubmissionId{ aHolder, reply.sequence };
}

Result<std::string> HomeRouter::NodeFor(const Incarnation& aHome) const
{
  if (const auto successor = roster_.GetSuccessor(aHome)) {
    return successor->node;
  }
  if (roster_.StateOfHome(aHome) == HomeState::Gone) {
    return Error::Unknown("find home",
                          aHome.node,
                          Reason::HomeGone,
                          "the VM that took this submission has ended; "
                          "whether it ran is unknown and it will not start");
  }
  return aHome.node;
}

Result<Message> HomeRouter::Ask(const Incarnation& aHome,
                                const Message& aRequest,
                                Duration aLimit) const
{
  BOOST_OUTCOME_TRY(node, NodeFor(aHome));
  Result<Message> reply = CallAndWait(peers_, node, aRequest, aLimit);
  if (reply.has_error()) {
    return Error::Unknown("ask home",
                          aHome.node,
                          Reason::HomeUnreachable,
                          reply.error().Describe(),
                          kRetryAfter);
  }
  return reply;
}

}
