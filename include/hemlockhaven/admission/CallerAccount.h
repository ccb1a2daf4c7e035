#ifndef HEMLOCKHAVEN_ADMISSION_CALLERACCOUNT_H
#define HEMLOCKHAVEN_ADMISSION_CALLERACCOUNT_H

#include "hemlockhaven/admission/KindAccount.h"
#include "hemlockhaven/admission/RetryBudget.h"
#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/fleet/Eligibility.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hemlockhaven {

//! One caller's share, what it has queued and the slot time that it used.
class CallerAccount
{
public:
  CallerAccount(std::string_view aName, std::uint64_t aNumber)
    : name_(aName)
    , number_(aNumber)
  {
  }

  const std::string& Name() const { return name_; }
  double Weight() const { return weight_; }
  std::size_t Queued() const { return queued_; }
  Duration QueuedSlotTime() const { return queuedSlotTime_; }
  Duration SlotTime() const { return slotTime_; }

  std::size_t running = 0; //!< Attempts under way.
  RetryBudget retries;

private:
  friend class FairQueue;

  std::string name_;
  std::uint64_t number_; //!< Settles ties in the order of creation.
  double weight_ = 1.0;
  double tag_ = 0;         //!< Virtual start time, µs of slot time by weight.
  double virtualTime_ = 0; //!< Of its kinds.
  bool isActive_ = false;
  std::size_t queued_ = 0;
  Duration queuedSlotTime_{ 0 };
  Duration slotTime_{ 0 };
  Duration untaken_{ 0 }; //!< Slot time since it was last taken.
  std::vector<std::unique_ptr<KindAccount>> kinds_;
  std::unordered_map<std::string_view, KindAccount*> kindByName_;
  std::vector<KindAccount*> activeKinds_;
  //! Number of queued entries of each eligibility; none is zero.
  std::vector<std::pair<EligibilityId, std::size_t>> entriesOf_;
};

}

#endif
