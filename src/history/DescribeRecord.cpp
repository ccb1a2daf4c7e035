#include "hemlockhaven/history/DescribeRecord.h"

#include "history/LocalTime.h"

#include <algorithm>

namespace hemlockhaven {

namespace {

//! "0.2 s", "45 s", "3 min" or "2 h".
std::string Length(std::int64_t aMs)
{
  const std::int64_t ms = std::max<std::int64_t>(aMs, 0);
  if (ms < 10000) {
    const std::int64_t tenths = (ms + 50) / 100;
    return std::to_string(tenths / 10) + "." + std::to_string(tenths % 10) +
           " s";
  }
  if (ms < 2 * Detail::kMinuteMs) {
    return std::to_string(ms / 1000) + " s";
  }
  if (ms < 2 * Detail::kHourMs) {
    return std::to_string(ms / Detail::kMinuteMs) + " min";
  }
  return std::to_string(ms / Detail::kHourMs) + " h";
}

std::string Words(std::string_view aName)
{
  std::string words(aName);
  std::replace(words.begin(), words.end(), '-', ' ');
  return words;
}

//! "the urgent storm call-out for canopy (caller tauwhare)".
std::string Subject(const RequestRecord& aRecord)
{
  std::string text = "the ";
  const auto urgency = aRecord.labels.Find("urgency");
  if (urgency && !urgency->empty()) {
    text.append(*urgency).append(" ");
  }
  text += aRecord.kind.empty() ? "request" : aRecord.kind;
  if (aRecord.tasks > 1) {
    text += " job of " + std::to_string(aRecord.tasks) + " tasks";
  }
  if (const auto trade = aRecord.labels.Find("trade")) {
    text.append(" for ").append(*trade);
  }
  return text + " (caller " + aRecord.caller + ")";
}

//! Why a request waits, was refused or failed, to follow "because".
std::string Why(Reason aReason)
{
  switch (aReason) {
    case Reason::None:
      return "all suitable VMs are busy";
    case Reason::NoEligibleEndpoint:
      return "no VM has the labels or the size that it asks for";
    case Reason::QueueFull:
    case Reason::QuotaExceeded:
      return "its caller has as much work waiting as it may";
    case Reason::DeadlineUnreachable:
      return "it could not have finished before its deadline";
    case Reason::DeadlinePassed:
      return "its deadline passed";
    case Reason::ShuttingDown:
      return "the VM that took it was about to stop";
    case Reason::NotReady:
      return "the VM that took it was not ready";
    case Reason::ClaimLogUnavailable:
    case Reason::LogUnavailable:
      return "the platform's log could not be reached";
    case Reason::EndpointFailed:
      return "the work itself reported a failure";
    case Reason::AttemptTimeout:
      return "no answer came in time";
    case Reason::ConnectionLost:
    case Reason::ReplyTruncated:
    case Reason::ReplyUnframed:
    case Reason::ReplyMismatched:
    case Reason::PeerLost:
    case Reason::HomeGone:
    case Reason::HomeUnreachable:
      return "the connection to the VM that had it was lost";
    case Reason::ConnectRefused:
    case Reason::EndpointRefused:
    case Reason::RetryBudgetExhausted:
      return "no VM accepted it";
    default:
      return "of this: " + Words(ReasonName(aReason));
  }
}

std::string Place(const RequestRecord& aRecord)
{
  if (aRecord.zone.empty()) {
    return "started";
  }
  return "went to availability zone " + aRecord.zone + ", started";
}

//! " after 0.2 s", from the submission to the start.
std::string AfterWait(const RequestRecord& aRecord)
{
  return " after " + Length(aRecord.startedMs - aRecord.submittedMs);
}

std::string Ending(const RequestRecord& aRecord)
{
  const bool cancelled = aRecord.reason == Reason::Cancelled;
  if (aRecord.startedMs == 0 && aRecord.ran == Ran::NotRun) {
    return cancelled ? " was cancelled before it started, so it did not run."
                     : " was refused because " + Why(aRecord.reason) +
                         ", so it did not run.";
  }
  std::string text = " " + Place(aRecord);
  text += aRecord.startedMs == 0 ? "" : AfterWait(aRecord);
  text += ", and ";
  if (aRecord.state == JobState::Complete) {
    return text + "finished in " + Length(aRecord.endedMs - aRecord.startedMs) +
           ".";
  }
  if (cancelled) {
    text += "was cancelled";
  } else {
    text += "failed because " + Why(aRecord.reason);
  }
  switch (aRecord.ran) {
    case Ran::NotRun:
      return text + ", so it did not run.";
    case Ran::Unknown:
      return text + "; it may have run.";
    case Ran::Ran:
      return text +
             (aRecord.tasks > 1 ? "; some of its tasks ran." : "; it ran.");
  }
  return text + ".";
}

}

std::string DescribeRecord(const RequestRecord& aRecord,
                           std::int64_t aNowMs,
                           int aZoneMinutes)
{
  std::string text =
    Detail::FormatMs(aRecord.submittedMs + aZoneMinutes * Detail::kMinuteMs) +
    ": " + Subject(aRecord);
  if (aRecord.endedMs != 0 || aRecord.state != JobState::Running) {
    return text + Ending(aRecord);
  }
  if (aRecord.startedMs != 0) {
    return text + " " + Place(aRecord) + AfterWait(aRecord) +
           ", and has been running for " + Length(aNowMs - aRecord.startedMs) +
           ".";
  }
  return text + " has been waiting for " +
         Length(aNowMs - aRecord.submittedMs) + " because " +
         Why(aRecord.reason) + ".";
}

}
