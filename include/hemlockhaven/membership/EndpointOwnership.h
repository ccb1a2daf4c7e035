#ifndef HEMLOCKHAVEN_MEMBERSHIP_ENDPOINTOWNERSHIP_H
#define HEMLOCKHAVEN_MEMBERSHIP_ENDPOINTOWNERSHIP_H

#include "hemlockhaven/core/Span.h"
#include "hemlockhaven/fleet/EndpointDescription.h"
#include "hemlockhaven/membership/Roster.h"

#include <cstddef>
#include <string_view>
#include <vector>

namespace hemlockhaven {

//! Says which daemon owns an endpoint, by weighted rendezvous hashing with
//! cores as the weight.
//!
//! Daemons with the same view agree without a message, and a change of one
//! daemon moves only the endpoints that it gains or loses. It is a value: a
//! view of the daemons at one moment.
class EndpointOwnership
{
public:
  //! The owners, as Roster::Owners gives them.
  explicit EndpointOwnership(std::vector<PeerView> aOwners);

  //! The endpoint's owner among the daemons of its availability zone, or
  //! among all if that zone has none; null if there is no daemon at all.
  const PeerView* GetOwner(std::string_view aEndpoint,
                           std::string_view aZone) const;

private:
  std::vector<PeerView> owners_; //!< Ordered by zone.
};

//! The endpoints that this daemon owns. If no daemon may own any, as when the
//! last one drains, it is none.
std::vector<EndpointDescription> Divide(
  Span<const EndpointDescription> aEndpoints,
  const Roster& aRoster);

}

#endif
