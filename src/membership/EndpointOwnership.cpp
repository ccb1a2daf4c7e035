#include "hemlockhaven/membership/EndpointOwnership.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include <xxhash.h>

namespace hemlockhaven {

namespace {

struct ByZone
{
  bool operator()(const PeerView& aLeft, std::string_view aZone) const
  {
    return aLeft.zone < aZone;
  }
  bool operator()(std::string_view aZone, const PeerView& aRight) const
  {
    return aZone < aRight.zone;
  }
};

//! The highest score owns. With -cores / ln(u) for a uniform u in (0, 1) the
//! chance of the highest score is proportional to the cores.
double Score(std::string_view aEndpoint, const PeerView& aOwner)
{
  const std::string& node = aOwner.incarnation.node;
  // The node and not the incarnation: a restarted daemon gets its endpoints
  // back.
  const XXH64_hash_t seed = XXH3_64bits(node.data(), node.size());
  const XXH64_hash_t hash =
    XXH3_64bits_withSeed(aEndpoint.data(), aEndpoint.size(), seed);
  // 53 bits, the precision of a double; the half keeps u off 0 and 1.
  constexpr double kSteps = 9007199254740992.0;
  const double u = (static_cast<double>(hash >> 11U) + 0.5) / kSteps;
  return -static_cast<double>(std::max(aOwner.cores, 1U)) / std::log(u);
}

}

EndpointOwnership::EndpointOwnership(std::vector<PeerView> aOwners)
  : owners_(std::move(aOwners))
{
  std::stable_sort(owners_.begin(),
                   owners_.end(),
                   [](const PeerView& aLeft, const PeerView& aRight) {
                     return aLeft.zone < aRight.zone;
                   });
}

const PeerView* EndpointOwnership::GetOwner(std::string_view aEndpoint,
                                            std::string_view aZone) const
{
  auto [first, last] =
    std::equal_range(owners_.begin(), owners_.end(), aZone, ByZone{});
  if (first == last) {
    first = owners_.begin();
    last = owners_.end();
  }
  const PeerView* owner = nullptr;
  double best = -std::numeric_limits<double>::infinity();
  for (auto candidate = first; candidate != last; ++candidate) {
    const double score = Score(aEndpoint, *candidate);
    if (score > best) {
      best = score;
      owner = &*candidate;
    }
  }
  return owner;
}

std::vector<EndpointDescription> Divide(
  Span<const EndpointDescription> aEndpoints,
  const Roster& aRoster)
{
  const EndpointOwnership ownership(aRoster.Owners());
  std::vector<EndpointDescription> owned;
  for (const EndpointDescription& endpoint : aEndpoints) {
    const PeerView* owner = ownership.GetOwner(endpoint.id, endpoint.zone);
    if (owner != nullptr && owner->incarnation == aRoster.Self()) {
      owned.push_back(endpoint);
    }
  }
  return owned;
}

}
