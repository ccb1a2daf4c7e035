#ifndef HEMLOCKHAVEN_FLEET_ELIGIBILITY_H
#define HEMLOCKHAVEN_FLEET_ELIGIBILITY_H

#include "hemlockhaven/fleet/EndpointDescription.h"
#include "hemlockhaven/fleet/EndpointSet.h"
#include "hemlockhaven/job/JobSpec.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace hemlockhaven {

//! Number of a cached selector with needs, within one fleet.
using EligibilityId = std::uint32_t;

//! The open endpoints that satisfy one selector and its needs.
class Eligibility
{
public:
  Eligibility(const Selector& aSelector, const Needs& aNeeds);

  bool IsFor(const Selector& aSelector, const Needs& aNeeds) const;

  //! Adds or removes the endpoint as its description says.
  void Update(EndpointIndex aIndex,
              const EndpointDescription& aDescription,
              bool aIsOpen);

  //! Healthy members in each speed class, kept up to date by the fleet.
  static constexpr std::size_t kClasses = 16;
  std::array<std::uint32_t, kClasses> healthyInClass{};

  const EndpointSet& Members() const { return members_; }

  //! The label condition or the size that rules an endpoint out; empty if
  //! nothing does.
  std::string ExplainMismatch(const EndpointDescription& aDescription) const;

  // Queued entries that refer to this id; it is not reused before they go.
  void Pin() { ++users_; }
  void Unpin() { --users_; }
  bool IsPinned() const { return users_ != 0; }

private:
  Selector selector_;
  Needs needs_;
  EndpointSet members_;
  std::size_t users_ = 0;
};

}

#endif
