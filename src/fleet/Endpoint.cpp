#include "hemlockhaven/fleet/Endpoint.h"

#include <algorithm>

namespace hemlockhaven {

Endpoint::Endpoint(const EndpointDescription& aDescription)
  : description_(aDescription)
{
}

void Endpoint::Update(const EndpointDescription& aDescription)
{
  description_ = aDescription;
  present_ = true;
}

std::uint32_t Endpoint::FreeSlots(std::uint32_t aAllowed) const
{
  const std::uint32_t allowed = std::min(aAllowed, description_.slots);
  return !IsOpen() || IsBackingOff() || running_ >= allowed
           ? 0
           : allowed - running_;
}

bool Endpoint::Start(std::uint32_t aAllowed)
{
  if (FreeSlots(aAllowed) == 0) {
    return false;
  }
  ++running_;
  return true;
}

void Endpoint::End()
{
  running_ -= running_ > 0 ? 1 : 0;
}

TimePoint Endpoint::BackOff(TimePoint aNow)
{
  constexpr std::uint32_t kMostDoublings = 6;
  const std::uint32_t doublings = std::min(refusals_, kMostDoublings);
  ++refusals_;
  backOffUntil_ = aNow + std::chrono::milliseconds(20) * (1U << doublings);
  return backOffUntil_;
}

bool Endpoint::EndBackOff(TimePoint aNow)
{
  if (aNow < backOffUntil_) {
    return false;
  }
  backOffUntil_ = TimePoint::min();
  return true;
}

}
