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
  if (aNow < usableAt) {
    return "just listed";
  }
  if (listed.draining) {
    return "draining";
  }
  if (!taken) {
    return "not taken over";
  }
  if (!heard || aNow - heardAt > aResponseTimeout) {
    return "silent";
  }
  if (!orphans.empty()) {
    return "runs of unknown work";
  }
  if (aNow < blockedUntil) {
    return "refused for want of room";
  }
  // On probation an endpoint gets one run at a time.
  constexpr std::uint32_t kManyRuns = 64;
  if (runs.size() >= health.AllowedSlots(kManyRuns)) {
    return "ejected";
  }
  return {};
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

bool EndpointEntry::HasLabel(std::string_view aLabel) const
{
  return std::find(listed.labels.begin(), listed.labels.end(), aLabel) !=
         listed.labels.end();
}

}
