#ifndef HEMLOCKHAVEN_FLEET_ENDPOINT_H
#define HEMLOCKHAVEN_FLEET_ENDPOINT_H

#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/fleet/EndpointDescription.h"

#include <cstdint>

namespace hemlockhaven {

//! Slots of one endpoint and whether it takes new work.
class Endpoint
{
public:
  explicit Endpoint(const EndpointDescription& aDescription);

  const EndpointDescription& Description() const { return description_; }

  //! Takes over what the VM list says now.
  void Update(const EndpointDescription& aDescription);

  //! The endpoint left the list; attempts under way still end by End.
  void Remove() { present_ = false; }

  bool IsPresent() const { return present_; }

  //! Whether it is neither removed nor leaving.
  bool IsOpen() const { return present_ && !description_.leaving; }

  std::uint32_t Running() const { return running_; }

  //! Slots that may be used now out of those that its health allows; none
  //! during a back-off.
  std::uint32_t FreeSlots(std::uint32_t aAllowed) const;

  //! Takes a slot; false if none of the allowed ones is free.
  bool Start(std::uint32_t aAllowed);
  void End();

  //! Sends nothing for a while after a refusal, so that a refusing endpoint
  //! is not asked again at once. The pause doubles from 20 ms to 1.28 s.
  TimePoint BackOff(TimePoint aNow);
  bool EndBackOff(TimePoint aNow);
  void ForgetRefusals() { refusals_ = 0; }
  bool IsBackingOff() const { return backOffUntil_ != TimePoint::min(); }

private:
  EndpointDescription description_;
  bool present_ = true;
  std::uint32_t running_ = 0;
  std::uint32_t refusals_ = 0; //!< In a row.
  TimePoint backOffUntil_ = TimePoint::min();
};

}

#endif
