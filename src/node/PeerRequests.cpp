#include "hemlockhaven/node/PeerRequests.h"

#include "hemlockhaven/dispatch/TaskGroup.h"
#include "hemlockhaven/node/Node.h"

#include <memory>
#include <optional>
#include <utility>
#include <variant>

namespace hemlockhaven {

namespace {

template<typename T>
std::optional<Error> ErrorOf(const Result<T>& aResult)
{
  if (aResult.has_error()) {
    return aResult.error();
  }
  return std::nullopt;
}

}

void PeerRequests::Answer(Message&& aRequest, const Reply& aReply)
{
  std::visit([this, &aReply](auto& aMessage) { AnswerTo(aMessage, aReply); },
             aRequest);
}

void PeerRequests::AnswerTo(Submit& aRequest, const Reply& aReply)
{
  aReply(SubmitReply{
    ErrorOf(node_.SubmitFromPeer(aRequest.id, std::move(aRequest.spec))) });
}

void PeerRequests::AnswerTo(SubmitKey& aRequest, const Reply& aReply)
{
  const auto id =
    node_.SubmitHeldKey(aRequest.key, aRequest.epoch, std::move(aRequest.spec));
  SubmitKeyReply reply;
  reply.error = ErrorOf(id);
  if (id.has_value()) {
    reply.sequence = id.value().sequence;
  }
  aReply(std::move(reply));
}

void PeerRequests::AnswerTo(Fetch& aRequest, const Reply& aReply)
{
  node_.Fetch(
    aRequest.id, aRequest.wait, [aReply](Result<JobAnswer>&& aAnswer) {
      FetchReply reply;
      reply.error = ErrorOf(aAnswer);
      if (aAnswer.has_value()) {
        reply.answer = std::move(aAnswer.value());
      }
      aReply(std::move(reply));
    });
}

void PeerRequests::AnswerTo(Cancel& aRequest, const Reply& aReply)
{
  const auto state = node_.CancelHere(aRequest.id);
  CancelReply reply;
  reply.error = ErrorOf(state);
  if (state.has_value()) {
    reply.state = state.value();
  }
  aReply(std::move(reply));
}

void PeerRequests::AnswerTo(Run& aRequest, const Reply& aReply)
{
  auto group = std::make_shared<TaskGroup>();
  group->id = std::move(aRequest.id);
  group->spec = std::move(aRequest.task);
  group->ended = [aReply](std::uint32_t /*aIndex*/, TaskOutcome&& aOutcome) {
    aReply(RunReply{ std::move(aOutcome) });
  };
  node_.RunForPeer(std::move(group));
}

void PeerRequests::AnswerTo(ConfigurationPull& /*aRequest*/,
                            const Reply& aReply)
{
  aReply(node_.OfferConfiguration());
}

void PeerRequests::AnswerTo(Archive& aRequest, const Reply& aReply)
{
  aReply(ArchiveReply{ ErrorOf(node_.AddArchive(std::move(aRequest))) });
}

void PeerRequests::AnswerTo(Where& aRequest, const Reply& aReply)
{
  aReply(
    WhereReply{ node_.History().Query(aRequest.query), node_.LostHistory() });
}

}
