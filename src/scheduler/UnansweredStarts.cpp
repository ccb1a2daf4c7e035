#include "scheduler/UnansweredStarts.h"

#include <algorithm>

namespace hemlockhaven::Detail {

void UnansweredStarts::Add(const RunKey& aRun, bool aIsStopDue, TimePoint aNow)
{
  if (starts_.size() >= kMaxStarts) {
    starts_.erase(starts_.begin());
  }
  starts_.push_back({ aRun, aNow, aIsStopDue, {} });
}

void UnansweredStarts::OnRestart()
{
  for (Start& start : starts_) {
    start.isStopDue = true;
    start.stopSentAt = TimePoint();
  }
}

void UnansweredStarts::OnStopConfirmed(const RunKey& aRun)
{
  for (Start& start : starts_) {
    if (start.run.run == aRun.run && start.run.task == aRun.task) {
      start.isStopDue = false;
    }
  }
}

std::vector<RunKey> UnansweredStarts::TakeDueStops(TimePoint aNow)
{
  starts_.erase(std::remove_if(starts_.begin(),
                               starts_.end(),
                               [aNow](const Start& aStart) {
                                 return aNow - aStart.sentAt > kRetention;
                               }),
                starts_.end());
  std::vector<RunKey> stops;
  for (Start& start : starts_) {
    if (start.isStopDue && aNow - start.stopSentAt >= kStopRetryDelay) {
      start.stopSentAt = aNow;
      stops.push_back(start.run);
    }
  }
  return stops;
}

}
