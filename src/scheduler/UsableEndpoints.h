#ifndef HEMLOCKHAVEN_SRC_SCHEDULER_USABLEENDPOINTS_H
#define HEMLOCKHAVEN_SRC_SCHEDULER_USABLEENDPOINTS_H

#include "hemlockhaven/core/Span.h"
#include "hemlockhaven/core/Time.h"
#include "scheduler/EndpointEntry.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace hemlockhaven::Detail {

//! The endpoints in the order of the scheduler's map, and which of them are
//! usable. Kept up to date instead of being rebuilt for each event: an event
//! changes one endpoint, and all of them are checked again only when time alone
//! may have changed one. Invariant after Update: equal to a list that is built
//! anew.
class UsableEndpoints
{
public:
  using Map = std::unordered_map<std::string, EndpointEntry>;

  //! Takes over the endpoints of the map; to be called after each insertion and
  //! erasure.
  void Assign(Map& aEndpoints);

  //! The endpoint may change until the next call of the scheduler begins.
  void Touch(const EndpointEntry& aEndpoint)
  {
    touched_.push_back(aEndpoint.usableSlot);
  }
  //! All endpoints may have changed.
  void TouchAll() { isOutdated_ = true; }
  //! Another call of the scheduler begins.
  void OnCallBegin();

  void Update(TimePoint aNow, Duration aResponseTimeout);
  //! Takes over a change of this endpoint at once.
  void Refresh(const EndpointEntry& aEndpoint,
               TimePoint aNow,
               Duration aResponseTimeout);

  //! Every aStride-th endpoint of all, whether usable or not, is at a multiple
  //! of it.
  std::size_t Count() const { return endpoints_.size(); }
  const EndpointEntry& At(std::size_t aSlot) const
  {
    return *endpoints_[aSlot];
  }

  //! The usable endpoints with this much free processor share, in order. Valid
  //! until the next call.
  Span<EndpointEntry* const> WithFreeCpu(std::int64_t aCpuMillis);

  //! Of the usable endpoints; 0 if there are none.
  double FastestSpeed() const { return fastestSpeed_; }
  //! Of the usable endpoints; -1 if there are none.
  std::int64_t MaxFreeCpu() const { return maxFreeCpuMillis_; }

private:
  void Check(std::size_t aSlot, TimePoint aNow, Duration aResponseTimeout);
  //! Checks one slot, and the largest values if they may have been its own.
  void CheckOne(std::size_t aSlot, TimePoint aNow, Duration aResponseTimeout);
  void FindLargest();

  // By slot. The two that are read for each task are close together in memory.
  std::vector<EndpointEntry*> endpoints_;
  std::vector<std::int64_t> freeCpuMillis_; //!< -1 if it is not usable.
  std::vector<double> speeds_;              //!< 0 if it is not usable.
  std::vector<std::size_t> touched_;        //!< Slots; in the current call.
  std::vector<std::size_t> touchedBefore_;
  bool isOutdated_ = true;
  TimePoint reviewAt_{};
  double fastestSpeed_ = 0;
  std::int64_t maxFreeCpuMillis_ = -1;
  std::vector<EndpointEntry*> selected_; //!< Of WithFreeCpu.
};

}

#endif
