#include "scheduler/UsableEndpoints.h"

#include <algorithm>

namespace hemlockhaven::Detail {

void UsableEndpoints::Assign(Map& aEndpoints)
{
  endpoints_.clear();
  touched_.clear();
  touchedBefore_.clear();
  for (auto& [id, endpoint] : aEndpoints) {
    endpoint.usableSlot = endpoints_.size();
    endpoints_.push_back(&endpoint);
  }
  freeCpuMillis_.assign(endpoints_.size(), -1);
  speeds_.assign(endpoints_.size(), 0);
  isOutdated_ = true;
}

void UsableEndpoints::OnCallBegin()
{
  // Calls that update nothing would let the list grow.
  if (touchedBefore_.size() + touched_.size() > endpoints_.size()) {
    isOutdated_ = true;
  }
  if (isOutdated_) {
    touchedBefore_.clear();
  } else {
    touchedBefore_.insert(
      touchedBefore_.end(), touched_.begin(), touched_.end());
  }
  touched_.clear();
}

void UsableEndpoints::Update(TimePoint aNow, Duration aResponseTimeout)
{
  if (isOutdated_ || aNow >= reviewAt_) {
    isOutdated_ = false;
    reviewAt_ = TimePoint::max();
    for (std::size_t slot = 0; slot < endpoints_.size(); ++slot) {
      Check(slot, aNow, aResponseTimeout);
    }
    FindLargest();
  } else {
    for (const std::size_t slot : touchedBefore_) {
      CheckOne(slot, aNow, aResponseTimeout);
    }
    for (const std::size_t slot : touched_) {
      CheckOne(slot, aNow, aResponseTimeout);
    }
  }
  // Those of the current call may change again before it ends.
  touchedBefore_.clear();
}

void UsableEndpoints::Refresh(const EndpointEntry& aEndpoint,
                              TimePoint aNow,
                              Duration aResponseTimeout)
{
  CheckOne(aEndpoint.usableSlot, aNow, aResponseTimeout);
  Touch(aEndpoint);
}

void UsableEndpoints::Check(std::size_t aSlot,
                            TimePoint aNow,
                            Duration aResponseTimeout)
{
  const EndpointEntry& endpoint = *endpoints_[aSlot];
  const bool isUsable = endpoint.IsUsable(aNow, aResponseTimeout);
  freeCpuMillis_[aSlot] =
    isUsable ? std::max<std::int64_t>(-1, endpoint.free.cpuMillis) : -1;
  speeds_[aSlot] = isUsable ? endpoint.speed.Value() : 0;
  reviewAt_ =
    std::min(reviewAt_, endpoint.UsabilityReviewAt(aNow, aResponseTimeout));
}

void UsableEndpoints::CheckOne(std::size_t aSlot,
                               TimePoint aNow,
                               Duration aResponseTimeout)
{
  const std::int64_t freeBefore = freeCpuMillis_[aSlot];
  const double speedBefore = speeds_[aSlot];
  Check(aSlot, aNow, aResponseTimeout);
  const std::int64_t freeCpuMillis = freeCpuMillis_[aSlot];
  const double speed = speeds_[aSlot];
  if ((freeBefore == maxFreeCpuMillis_ && freeCpuMillis < freeBefore) ||
      (speedBefore == fastestSpeed_ && speed < speedBefore)) {
    FindLargest();
    return;
  }
  maxFreeCpuMillis_ = std::max(maxFreeCpuMillis_, freeCpuMillis);
  fastestSpeed_ = std::max(fastestSpeed_, speed);
}

void UsableEndpoints::FindLargest()
{
  maxFreeCpuMillis_ = -1;
  for (const std::int64_t freeCpuMillis : freeCpuMillis_) {
    maxFreeCpuMillis_ = std::max(maxFreeCpuMillis_, freeCpuMillis);
  }
  fastestSpeed_ = 0;
  for (const double speed : speeds_) {
    fastestSpeed_ = std::max(fastestSpeed_, speed);
  }
}

Span<EndpointEntry* const> UsableEndpoints::WithFreeCpu(std::int64_t aCpuMillis)
{
  const std::int64_t atLeast = std::max<std::int64_t>(0, aCpuMillis);
  selected_.clear();
  for (std::size_t slot = 0; slot < endpoints_.size(); ++slot) {
    if (freeCpuMillis_[slot] >= atLeast) {
      selected_.push_back(endpoints_[slot]);
    }
  }
  return selected_;
}

}
