#include "scheduler/EndpointEntry.h"

#include <algorithm>

namespace hemlockhaven::Detail {

bool EndpointEntry::IsUsable(TimePoint aNow, Duration aResponseTimeout) const
{
  return UnusableReason(aNow, aResponseTimeout).empty();
}

std::string_view EndpointEntry::UnusableReason(TimePoint aNow,
                                               Duration aResponseTimeout) const
{
  if (!isListed) {
    return "not listed";
  }
  if (isEvacuated) {
    return "zone evacuated";
  }
  if (aNow < usableAt) {
    return "just listed";
  }
  if (listed.draining) {
    return "draining";
  }
  if (!isTakenOver) {
    return "not taken over";
  }
  if (IsDescribedWrongly()) {
    return "another incarnation is listed";
  }
  if (!isResponding || aNow - SilentSince(aNow) > aResponseTimeout) {
    return "silent";
  }
  if (!orphans.empty()) {
    return "runs of unknown work";
  }
  if (aNow < noStartsUntil) {
    return "refused for want of room";
  }
  // On probation an endpoint gets one run at a time.
  constexpr std::uint32_t kMaxRuns = 64;
  if (runs.size() >= health.AllowedSlots(kMaxRuns)) {
    return "ejected";
  }
  return {};
}

TimePoint EndpointEntry::UsabilityReviewAt(TimePoint aNow,
                                           Duration aResponseTimeout) const
{
  TimePoint at = TimePoint::max();
  if (aNow < usableAt) {
    at = std::min(at, usableAt);
  }
  if (aNow < noStartsUntil) {
    at = std::min(at, noStartsUntil);
  }
  if (isPollInFlight) {
    const TimePoint silentAfter = SilentSince(aNow) + aResponseTimeout;
    if (aNow <= silentAfter) {
      at = std::min(at, silentAfter + Duration(1));
    }
  }
  return at;
}

void EndpointEntry::Occupy(WorkEntry& aEntry, TaskEntry& aTask)
{
  free -= aEntry.StepOf(aTask).taskResources;
  runs.emplace_back(&aEntry, &aTask);
}

void EndpointEntry::Release(WorkEntry& aEntry, TaskEntry& aTask)
{
  const auto run =
    std::find(runs.begin(), runs.end(), std::make_pair(&aEntry, &aTask));
  if (run != runs.end()) {
    runs.erase(run);
    free += aEntry.StepOf(aTask).taskResources;
  }
}

TimePoint EndpointEntry::SilentSince(TimePoint aNow) const
{
  // An endpoint without runs is not polled all the time.
  return isPollInFlight ? std::max(lastReplyAt, pollSentAt) : aNow;
}

bool EndpointEntry::HasLabel(std::string_view aLabel) const
{
  return std::find(listed.labels.begin(), listed.labels.end(), aLabel) !=
         listed.labels.end();
}

}
