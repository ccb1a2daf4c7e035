#include "http/CallerApi.h"

#include "net/MemoryReservation.h"

#include <algorithm>
#include <string>
#include <utility>

namespace hemlockhaven {

namespace {

constexpr std::uint32_t kMostIds = 10'000;
//! An id in the reply, as a value and as text.
constexpr std::size_t kBytesPerId = 320;

//! When a caller over the bound on waiting callers should try again.
constexpr Duration kWaitingRetryAfter = std::chrono::seconds(1);

//! A place among the waiting callers, given back at the end.
class WaitingPlace
{
public:
  //! A caller that does not wait needs no place.
  WaitingPlace(std::atomic<std::size_t>& aCount,
               std::size_t aMost,
               Duration aWait)
    : count_(aCount)
    , isCounted_(aWait > Duration{ 0 })
    , isGiven_(!isCounted_ || ++aCount <= aMost)
  {
  }
  ~WaitingPlace()
  {
    if (isCounted_) {
      --count_;
    }
  }
  WaitingPlace(const WaitingPlace&) = delete;
  WaitingPlace& operator=(const WaitingPlace&) = delete;

  bool IsGiven() const { return isGiven_; }

private:
  std::atomic<std::size_t>& count_;
  bool isCounted_;
  bool isGiven_;
};

HttpReply NoRoute(const HttpRequestView& aRequest)
{
  return ReplyOf(Error::NotRun("route",
                               Reason::NotFound,
                               "no route " + std::string(aRequest.method) +
                                 " " + std::string(aRequest.path)));
}

}

CallerApi::CallerApi(Node& aNode, Summaries& aSummaries, Limits aLimits)
  : node_(aNode)
  , summaries_(aSummaries)
  , limits_(aLimits)
{
}

HttpReply CallerApi::Handle(const HttpRequestView& aRequest)
{
  std::string_view rest = aRequest.path;
  if (rest == "/v1/ids" && aRequest.method == "POST") {
    return ReserveIds(aRequest);
  }
  if (rest == "/v1/requests" && aRequest.method == "POST") {
    return SubmitUnidentified(aRequest);
  }
  if (rest == "/v1/epoch" && aRequest.method == "GET") {
    return TellEpoch();
  }
  if (rest == "/v1/requests" && aRequest.method == "PUT") {
    return SubmitByKey(aRequest, SubmissionKind::Request);
  }
  if (rest == "/v1/jobs" && aRequest.method == "PUT") {
    return SubmitByKey(aRequest, SubmissionKind::Job);
  }
  if (StripPrefix(rest, "/v1/requests/")) {
    return HandleSubmission(aRequest, rest, SubmissionKind::Request);
  }
  if (StripPrefix(rest, "/v1/jobs/")) {
    return HandleSubmission(aRequest, rest, SubmissionKind::Job);
  }
  return NoRoute(aRequest);
}

HttpReply CallerApi::ReserveIds(const HttpRequestView& aRequest)
{
  const std::uint64_t count = QueryNumber(aRequest.query, "count").value_or(1);
  if (count == 0 || count > kMostIds) {
    return ReplyOf(Error::NotRun("reserve ids",
                                 Reason::MalformedRequest,
                                 "count: expected a number from 1 to 10000"));
  }
  const auto reserved = TryReserve(aRequest.reserve, count * kBytesPerId);
  if (reserved.has_error()) {
    return Refuse(reserved.error());
  }
  auto first = node_.ReserveIds(static_cast<std::uint32_t>(count));
  if (first.has_error()) {
    return ReplyOf(first.error());
  }
  nlohmann::json ids = nlohmann::json::array();
  SubmissionId id = first.value();
  for (std::uint64_t i = 0; i < count; ++i) {
    ids.push_back(id.Text());
    ++id.sequence;
  }
  HttpReply reply;
  reply.body = { { "ids", std::move(ids) } };
  return reply;
}

HttpReply CallerApi::TellEpoch()
{
  const auto epoch = node_.Claims().CurrentEpoch();
  if (epoch.has_error()) {
    return ReplyOf(epoch.error());
  }
  HttpReply reply;
  reply.body = { { "epoch", epoch.value() } };
  return reply;
}

HttpReply CallerApi::SubmitByKey(const HttpRequestView& aRequest,
                                 SubmissionKind aKind)
{
  const auto key = QueryText(aRequest.query, "key");
  const auto epoch = QueryNumber(aRequest.query, "epoch");
  if (!key || key->empty() || !epoch) {
    return Refuse(Error::NotRun("submit by key",
                                Reason::MalformedRequest,
                                "expected key=TEXT and epoch=NUMBER, where "
                                "the epoch is from GET /v1/epoch"));
  }
  auto spec = ParseSubmission(aRequest.body, aKind, aRequest.reserve);
  if (spec.has_error() && spec.error().reason == Reason::TooManyWaiting) {
    return RefuseWaitingKey(spec.error().detail);
  }
  if (spec.has_error()) {
    return Refuse(spec.error());
  }
  const bool isJob = aKind == SubmissionKind::Job;
  const Duration wait =
    WaitOf(aRequest, isJob ? Duration{ 0 } : limits_.longestWait);
  const TimePoint start = SteadyNow();
  const WaitingPlace place(waiting_, limits_.waitingCallers, wait);
  if (!place.IsGiven()) {
    return RefuseWaitingKey("too many callers wait for answers here");
  }
  const KeyHash hash = KeyHash::Of(spec.value().caller, *key);
  const auto id = node_.SubmitByKey(hash, *epoch, std::move(spec.value()));
  if (id.has_error()) {
    return ReplyOf(id.error());
  }
  const auto answer = node_.WaitFor(id.value(), wait);
  if (answer.has_value()) {
    Summarise(answer.value(), SteadyNow() - start);
  }
  return ReplyTo(answer, aKind);
}

HttpReply CallerApi::SubmitUnidentified(const HttpRequestView& aRequest)
{
  auto spec =
    ParseSubmission(aRequest.body, SubmissionKind::Request, aRequest.reserve);
  if (spec.has_error()) {
    return Refuse(spec.error());
  }
  if (!spec.value().idempotent) {
    return Refuse(Error::NotRun(
      "submit",
      Reason::IdentityRequired,
      "a request that is not idempotent needs an id from POST /v1/ids"));
  }
  const auto id = node_.ReserveIds(1);
  if (id.has_error()) {
    return ReplyOf(id.error());
  }
  return Submit(id.value(),
                std::move(spec.value()),
                SubmissionKind::Request,
                WaitOf(aRequest, limits_.longestWait));
}

HttpReply CallerApi::HandleSubmission(const HttpRequestView& aRequest,
                                      std::string_view aId,
                                      SubmissionKind aKind)
{
  const auto id = SubmissionId::Parse(aId);
  if (id.has_error()) {
    return ReplyOf(id.error());
  }
  if (aRequest.method == "GET") {
    return WaitFor(id.value(), aKind, WaitOf(aRequest, Duration{ 0 }));
  }
  if (aRequest.method == "DELETE") {
    const auto state = node_.Cancel(id.value());
    if (state.has_error()) {
      return ReplyOf(state.error());
    }
    HttpReply reply;
    reply.body = { { "id", aId }, { "state", JobStateName(state.value()) } };
    return reply;
  }
  if (aRequest.method != "PUT") {
    return NoRoute(aRequest);
  }
  auto spec = ParseSubmission(aRequest.body, aKind, aRequest.reserve);
  if (spec.has_error() && spec.error().reason == Reason::TooManyWaiting) {
    return RefuseWaiting(id.value(), aKind, spec.error().detail);
  }
  if (spec.has_error()) {
    return Refuse(spec.error());
  }
  const bool isJob = aKind == SubmissionKind::Job;
  return Submit(id.value(),
                std::move(spec.value()),
                aKind,
                WaitOf(aRequest, isJob ? Duration{ 0 } : limits_.longestWait));
}

HttpReply CallerApi::Submit(const SubmissionId& aId,
                            JobSpec&& aSpec,
                            SubmissionKind aKind,
                            Duration aWait)
{
  const TimePoint start = SteadyNow();
  // The place is taken before the submission starts, so that a refusal is
  // truly "not run".
  const WaitingPlace place(waiting_, limits_.waitingCallers, aWait);
  if (!place.IsGiven()) {
    return RefuseWaiting(aId, aKind, "too many callers wait for answers here");
  }
  const auto submitted = node_.Submit(aId, std::move(aSpec));
  if (submitted.has_error()) {
    return ReplyOf(submitted.error());
  }
  const auto answer = node_.WaitFor(aId, aWait);
  if (answer.has_value()) {
    Summarise(answer.value(), SteadyNow() - start);
  }
  return ReplyTo(answer, aKind);
}

HttpReply CallerApi::RefuseWaiting(const SubmissionId& aId,
                                   SubmissionKind aKind,
                                   std::string_view aDetail)
{
  if (node_.IsUnused(aId)) {
    return Refuse(Error::NotRun(
      "submit", Reason::TooManyWaiting, aDetail, kWaitingRetryAfter));
  }
  // An earlier submission under this id may have started, here or at its
  // home, so that "not run" could be false.
  if (aId.home == node_.Self()) {
    const auto answer = node_.WaitFor(aId, Duration{ 0 });
    if (answer.has_value()) {
      return ReplyTo(answer, aKind);
    }
  }
  return Refuse(
    Error::Unknown("submit",
                   aId.home.node,
                   Reason::TooManyWaiting,
                   std::string(aDetail) + "; send it again under the same id",
                   kWaitingRetryAfter));
}

HttpReply CallerApi::RefuseWaitingKey(std::string_view aDetail)
{
  // An earlier submission of the key may have started at any daemon.
  return Refuse(
    Error::Unknown("submit by key",
                   "",
                   Reason::TooManyWaiting,
                   std::string(aDetail) + "; send it again under the same key",
                   kWaitingRetryAfter));
}

HttpReply CallerApi::WaitFor(const SubmissionId& aId,
                             SubmissionKind aKind,
                             Duration aWait)
{
  const WaitingPlace place(waiting_, limits_.waitingCallers, aWait);
  // A caller over the bound is told the state at once instead of waiting.
  return ReplyTo(node_.WaitFor(aId, place.IsGiven() ? aWait : Duration{ 0 }),
                 aKind);
}

HttpReply CallerApi::ReplyTo(const Result<JobAnswer>& aAnswer,
                             SubmissionKind aKind)
{
  if (aAnswer.has_error()) {
    return ReplyOf(aAnswer.error());
  }
  const JobAnswer& value = aAnswer.value();
  HttpReply reply;
  reply.body = ToJson(value, aKind);
  if (value.state == JobState::Running) {
    reply.status = 202;
  } else if (value.state == JobState::Failed) {
    reply.status = StatusOf(*value.error);
    reply.retryAfter = value.error->retryAfter;
  }
  return reply;
}

HttpReply CallerApi::Refuse(const Error& aError)
{
  node_.Counts().Refused(aError.reason);
  return ReplyOf(aError);
}

void CallerApi::Summarise(const JobAnswer& aAnswer, Duration aTotal)
{
  if (aAnswer.state != JobState::Complete) {
    return;
  }
  summaries_.Record(Series::AnswerTime, aTotal);
  for (const TaskOutcome& outcome : aAnswer.results) {
    summaries_.Record(Series::QueueWait, outcome.waited);
  }
  // A job's tasks overlap, so that only a single task shows what was added.
  if (aAnswer.results.size() == 1) {
    summaries_.Record(
      Series::AddedTime,
      std::max(Duration{ 0 }, aTotal - aAnswer.results.front().elapsed));
  }
}

Duration CallerApi::WaitOf(const HttpRequestView& aRequest,
                           Duration aDefault) const
{
  const auto milliseconds = QueryNumber(aRequest.query, "waitMs");
  if (!milliseconds) {
    return aDefault;
  }
  const auto longest = static_cast<std::uint64_t>(limits_.longestWait.count());
  return Duration(std::min(*milliseconds, longest / 1000) * 1000);
}

}
