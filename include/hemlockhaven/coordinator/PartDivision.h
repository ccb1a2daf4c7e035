#ifndef HEMLOCKHAVEN_COORDINATOR_PARTDIVISION_H
#define HEMLOCKHAVEN_COORDINATOR_PARTDIVISION_H

#include "hemlockhaven/core/Span.h"
#include "hemlockhaven/leadership/Heartbeat.h"
#include "hemlockhaven/scheduler/ListedEndpoint.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockhaven {

//! Divides the endpoints into parts, each of which has a leader of its own. A
//! list that one leader can carry is one part, which packs best. The endpoints
//! of a longer list, whose polls and starts exceed a leader's processor or
//! link, are divided by availability zone: a zone that is cut off keeps its
//! part.
class PartDivision
{
public:
  //! Endpoints that a whole core polls and starts tasks on.
  static constexpr double kEndpointsPerCore = 1000;
  //! The same for a link of 1 Mbit/s, which carries a payload to each task.
  static constexpr double kEndpointsPerMbps = 10;
  //! A divided list that has fallen to this share of what one leader carries is
  //! one part again. Each change of the division changes all leaders. In
  //! between a daemon does as other leaders do, so that all daemons agree.
  static constexpr double kMergeShare = 0.5;

  //! aZone is the availability zone of this daemon.
  explicit PartDivision(std::string aZone);

  //! Returns how many endpoints a daemon can lead.
  static double EndpointsPerLeader(const Member& aMember);

  //! What decides besides the list.
  struct Inputs
  {
    double endpointsPerLeader = 0;     //!< Of the most capable daemon.
    bool isOtherLeaderDivided = false; //!< It leads one zone only.
    //! More capable daemons may be unknown yet, so that the list is not divided
    //! for want of them.
    bool isDiscovering = false;
  };

  //! Returns the endpoints of this daemon's part.
  std::vector<ListedEndpoint> Update(Span<const ListedEndpoint> aEndpoints,
                                     const Inputs& aInputs);

  //! Returns whether Update would change the division.
  bool IsChanged(std::size_t aEndpointCount, const Inputs& aInputs) const
  {
    return ShouldDivide(aEndpointCount, aInputs) != isDivided_;
  }

  //! Returns the zone of this daemon's part; empty if there is one part only.
  std::string_view Part() const;

private:
  bool ShouldDivide(std::size_t aEndpointCount, const Inputs& aInputs) const;

  const std::string zone_;
  bool isDivided_ = false;
};

}

#endif
