#ifndef HEMLOCKHAVEN_ADMISSION_KINDACCOUNT_H
#define HEMLOCKHAVEN_ADMISSION_KINDACCOUNT_H

#include "hemlockhaven/admission/KindLosses.h"
#include "hemlockhaven/admission/QueuedTasks.h"
#include "hemlockhaven/fleet/SpeedModel.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace hemlockhaven {

class CallerAccount;

//! One kind of work of one caller: its queued tasks and what is known of it.
class KindAccount
{
public:
  KindAccount(CallerAccount& aCaller, std::string_view aName)
    : caller_(&aCaller)
    , name_(aName)
  {
  }

  CallerAccount& Caller() const { return *caller_; }
  const std::string& Name() const { return name_; }

  SpeedModel::Work work;
  KindLosses losses;
  std::uint32_t running = 0; //!< Attempts under way.

private:
  friend class FairQueue;

  struct Entry
  {
    QueuedTasks tasks;
    Duration estimate{ 0 }; //!< Slot time of one task.
  };

  //! Rank, deadline and number of arrival.
  using Order = std::tuple<std::uint32_t, TimePoint, std::uint64_t>;
  using Entries = std::map<Order, Entry>;

  //! Entries that the same endpoints can run. Without lanes an entry whose
  //! endpoints are busy would hold up others of its kind.
  struct Lane
  {
    EligibilityId eligibility = 0;
    Entries entries;
  };

  CallerAccount* caller_;
  std::string name_;
  double tag_ = 0; //!< Virtual start time inside the caller, µs.
  std::size_t entryCount_ = 0;
  std::uint64_t skippedIn_ = 0; //!< Round.
  std::vector<Lane> lanes_;
};

}

#endif
