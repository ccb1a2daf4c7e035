#include "hemlockhaven/fleet/EndpointHealth.h"

#include <algorithm>

namespace hemlockhaven {

namespace {

constexpr Duration kFirstPause = std::chrono::seconds(1);
constexpr Duration kLongestPause = std::chrono::seconds(60);
constexpr std::uint32_t kSuccessesToDouble = 8;

}

void EndpointHealth::Succeeded(std::uint32_t aSlots)
{
  Record(false);
  inRow_ = 0;
  if (state_ == State::Probation) {
    state_ = State::Returning;
    slots_ = 1;
    successes_ = 0;
    window_ = 0;
    samples_ = 0;
  }
  if (state_ == State::Returning && ++successes_ >= kSuccessesToDouble) {
    successes_ = 0;
    slots_ *= 2;
    if (slots_ >= aSlots) {
      state_ = State::Healthy;
      pause_ = Duration{ 0 };
    }
  }
}

bool EndpointHealth::Failed(double aFleetFailureRate)
{
  constexpr std::uint32_t kFailuresInRow = 3;
  Record(true);
  ++inRow_;
  if (state_ == State::Ejected) {
    return false;
  }
  if (state_ == State::Probation) {
    return true;
  }
  const bool isMostly = samples_ >= kWindow && Failures() * 2 > kWindow;
  return (inRow_ >= kFailuresInRow || isMostly) &&
         FailureRate() > 2 * aFleetFailureRate;
}

void EndpointHealth::Forgive()
{
  if ((window_ & 1U) != 0) {
    window_ &= ~1U;
    inRow_ -= inRow_ > 0 ? 1 : 0;
  }
}

void EndpointHealth::Eject(TimePoint aNow)
{
  pause_ =
    pause_ == Duration{ 0 } ? kFirstPause : std::min(pause_ * 2, kLongestPause);
  returnAt_ = aNow + pause_;
  state_ = State::Ejected;
}

bool EndpointHealth::ReturnIfDue(TimePoint aNow)
{
  if (state_ != State::Ejected || aNow < returnAt_) {
    return false;
  }
  state_ = State::Probation;
  return true;
}

std::uint32_t EndpointHealth::AllowedSlots(std::uint32_t aSlots) const
{
  switch (state_) {
    case State::Healthy:
      break;
    case State::Ejected:
      return 0;
    case State::Probation:
      return std::min(1U, aSlots);
    case State::Returning:
      return std::min(slots_, aSlots);
  }
  return aSlots;
}

std::uint32_t EndpointHealth::Failures() const
{
  return static_cast<std::uint32_t>(__builtin_popcount(window_));
}

double EndpointHealth::FailureRate() const
{
  return samples_ == 0 ? 0.0 : static_cast<double>(Failures()) / samples_;
}

void EndpointHealth::Record(bool aFailed)
{
  window_ = ((window_ << 1U) | (aFailed ? 1U : 0U)) & ((1U << kWindow) - 1);
  samples_ = std::min(samples_ + 1, kWindow);
}

}
