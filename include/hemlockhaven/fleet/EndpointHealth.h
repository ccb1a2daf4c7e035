#ifndef HEMLOCKHAVEN_FLEET_ENDPOINTHEALTH_H
#define HEMLOCKHAVEN_FLEET_ENDPOINTHEALTH_H

#include "hemlockhaven/core/Time.h"

#include <cstdint>

namespace hemlockhaven {

//! Outlier ejection of one endpoint, its probation and its gradual return.
class EndpointHealth
{
public:
  enum class State : std::uint8_t
  {
    Healthy,
    Ejected,   //!< Gets nothing until its return time.
    Probation, //!< Gets one task at a time.
    Returning, //!< Slots double with every 8 successes.
  };

  State Current() const { return state_; }
  bool IsEjected() const
  {
    return state_ == State::Ejected || state_ == State::Probation;
  }

  void Succeeded(std::uint32_t aSlots);

  //! Records a failure. True if the endpoint should be ejected: 3 failures in
  //! a row or more than half of the last 16, and in both cases a failure rate
  //! of more than twice the fleet's. A failure on probation always ejects.
  bool Failed(double aFleetFailureRate);

  //! Takes the latest failure back when the task turns out to be at fault.
  void Forgive();

  void Eject(TimePoint aNow);

  //! Starts the probation if the return time has come.
  bool ReturnIfDue(TimePoint aNow);

  //! Slots that may be used, out of all of the endpoint's.
  std::uint32_t AllowedSlots(std::uint32_t aSlots) const;

  std::uint32_t Samples() const { return samples_; }
  std::uint32_t Failures() const;
  double FailureRate() const;

private:
  void Record(bool aFailed);

  static constexpr std::uint32_t kWindow = 16;

  State state_ = State::Healthy;
  std::uint32_t window_ = 0; //!< Latest outcomes, bit set: failed.
  std::uint32_t samples_ = 0;
  std::uint32_t inRow_ = 0; //!< Failures in a row.
  std::uint32_t slots_ = 1; //!< While Returning.
  std::uint32_t successes_ = 0;
  Duration pause_{ 0 };
  TimePoint returnAt_{};
};

}

#endif
