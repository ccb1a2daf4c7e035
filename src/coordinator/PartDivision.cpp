#include "hemlockhaven/coordinator/PartDivision.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace hemlockhaven {

PartDivision::PartDivision(std::string aZone)
  : zone_(std::move(aZone))
{
}

double PartDivision::EndpointsPerLeader(const Member& aMember)
{
  return std::min(aMember.cores * kEndpointsPerCore,
                  aMember.linkMbps * kEndpointsPerMbps);
}

bool PartDivision::ShouldDivide(std::size_t aEndpointCount,
                                const Inputs& aInputs) const
{
  const bool isDividedAnywhere = isDivided_ || aInputs.isOtherLeaderDivided;
  if (aInputs.isDiscovering && !isDividedAnywhere) {
    return false;
  }
  return static_cast<double>(aEndpointCount) >
         aInputs.endpointsPerLeader * (isDividedAnywhere ? kMergeShare : 1);
}

std::vector<ListedEndpoint> PartDivision::Update(
  Span<const ListedEndpoint> aEndpoints,
  const Inputs& aInputs)
{
  isDivided_ = ShouldDivide(aEndpoints.size(), aInputs);
  std::vector<ListedEndpoint> endpoints;
  std::copy_if(aEndpoints.begin(),
               aEndpoints.end(),
               std::back_inserter(endpoints),
               [this](const ListedEndpoint& aEndpoint) {
                 return !isDivided_ || aEndpoint.zone == zone_;
               });
  return endpoints;
}

std::string_view PartDivision::Part() const
{
  return isDivided_ ? std::string_view(zone_) : std::string_view();
}

}
