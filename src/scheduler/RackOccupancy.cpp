#include "scheduler/RackOccupancy.h"

#include <algorithm>
#include <utility>

namespace hemlockhaven::Detail {

RackOccupancy::RackOccupancy(TimePoint aNow,
                             UsableHook aUsable,
                             AddHook aAddHook)
  : now_(aNow)
  , usable_(std::move(aUsable))
  , addHook_(std::move(aAddHook))
{
}

RackOccupancy::Rack* RackOccupancy::Find(std::string_view aRack)
{
  if (!isIndexed_) {
    isIndexed_ = true;
    for (const EndpointEntry* endpoint : usable_()) {
      if (!endpoint->listed.rack.empty()) {
        racks_[endpoint->listed.rack].endpoints.push_back(endpoint);
      }
    }
  }
  const auto found = racks_.find(aRack);
  return found == racks_.end() ? nullptr : &found->second;
}

Forecast& RackOccupancy::ForecastOf(Rack& aRack)
{
  if (!aRack.forecast) {
    aRack.forecast.emplace(now_);
    for (const EndpointEntry* endpoint : aRack.endpoints) {
      addHook_(*aRack.forecast, *endpoint);
    }
  }
  return *aRack.forecast;
}

bool RackOccupancy::HasEndpoints(std::string_view aRack)
{
  return Find(aRack) != nullptr;
}

bool RackOccupancy::HasRoom(std::string_view aRack,
                            const Resources& aTaskResources)
{
  const Rack* rack = Find(aRack);
  return rack != nullptr &&
         std::any_of(rack->endpoints.begin(),
                     rack->endpoints.end(),
                     [&aTaskResources](const EndpointEntry* aEndpoint) {
                       return aTaskResources.FitsInto(aEndpoint->free);
                     });
}

std::vector<std::string_view> RackOccupancy::Racks()
{
  Find({});
  std::vector<std::string_view> names;
  names.reserve(racks_.size());
  for (const auto& [name, rack] : racks_) {
    names.push_back(name);
  }
  return names;
}

std::optional<ExpectedRun> RackOccupancy::Place(std::string_view aRack,
                                                const PlacementDemand& aDemand)
{
  Rack* rack = Find(aRack);
  return rack == nullptr ? std::nullopt : ForecastOf(*rack).PlaceRun(aDemand);
}

std::optional<ExpectedRun> RackOccupancy::Estimate(
  std::string_view aRack,
  const PlacementDemand& aDemand,
  std::size_t aCount)
{
  Rack* rack = Find(aRack);
  if (rack == nullptr) {
    return std::nullopt;
  }
  Forecast forecast = ForecastOf(*rack);
  ExpectedRun all{ aDemand.now, aDemand.now };
  for (std::size_t i = 0; i < aCount; ++i) {
    const auto run = forecast.PlaceRun(aDemand);
    if (!run) {
      return std::nullopt;
    }
    all.start = std::max(all.start, run->start);
    all.end = std::max(all.end, run->end);
  }
  return all;
}

void RackOccupancy::OnStarted(const EndpointEntry& aEndpoint,
                              const Resources& aTaskResources,
                              TimePoint aEnd)
{
  if (!isIndexed_) {
    return;
  }
  Rack* rack = Find(aEndpoint.listed.rack);
  if (rack == nullptr || !rack->forecast) {
    return;
  }
  const auto endpoint =
    std::find(rack->endpoints.begin(), rack->endpoints.end(), &aEndpoint);
  if (endpoint != rack->endpoints.end()) {
    rack->forecast->Occupy(
      static_cast<std::size_t>(endpoint - rack->endpoints.begin()),
      now_,
      aEnd,
      aTaskResources);
  }
}

}
