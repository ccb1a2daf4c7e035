#ifndef HEMLOCKHAVEN_MEMBERSHIP_SLOTTIMEREPORT_H
#define HEMLOCKHAVEN_MEMBERSHIP_SLOTTIMEREPORT_H

#include "hemlockhaven/core/Span.h"
#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/dispatch/Dispatcher.h"
#include "hemlockhaven/membership/PeerDigest.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace hemlockhaven {

struct SlotTimeLimits
{
  std::size_t callersADigest = 16;
  //! A caller that used less waits for a later digest.
  std::chrono::milliseconds threshold{ 100 };
  //! After this many digests a caller below the threshold is reported, too.
  std::uint32_t patience = 8;
  //! A caller's name goes out with each of so many mentions, so that a peer
  //! that missed it learns it without asking.
  std::uint32_t announceEvery = 32;
};

//! Numbers that stand for callers in the digests of one incarnation.
class CallerNumbers
{
public:
  //! The caller's number; a new one if it has none.
  std::uint32_t NumberOf(const std::string& aCaller);

  std::size_t Size() const { return numbers_.size(); }

private:
  std::unordered_map<std::string, std::uint32_t> numbers_;
};

//! Collects slot time for the digests to one group of peers.
//!
//! A digest holds a bounded number of callers, those that used most first.
//! What does not fit waits and adds up; nothing is lost. Not thread-safe.
class SlotTimeReport
{
public:
  explicit SlotTimeReport(SlotTimeLimits aLimits = {})
    : limits_(aLimits)
  {
  }

  void Add(Span<const SlotTimeUse> aUses);

  //! What goes into the next digest.
  std::vector<NumberedUse> Take(CallerNumbers& aNumbers);

  //! A peer joined: the next mention of each caller gives its name.
  void AnnounceAll();

  //! Callers with slot time that has not gone out.
  std::size_t WaitingCount() const { return waitingCount_; }

private:
  struct Entry
  {
    Duration slotTime{ 0 };
    std::uint32_t skipped = 0;  //!< Digests since there was something to say.
    std::uint32_t mentions = 0; //!< Since the name went out; 0: now.
  };

  SlotTimeLimits limits_;
  std::size_t waitingCount_ = 0;
  std::unordered_map<std::string, Entry> entries_;
};

//! Turns one peer's numbers back into callers.
class SlotTimeReader
{
public:
  //! The uses whose callers are known. Numbers without a name are skipped and
  //! counted.
  std::vector<SlotTimeUse> Read(const Incarnation& aFrom,
                                Span<const NumberedUse> aUses);

  std::uint64_t SkippedCount() const { return skipped_; }

  //! Names remembered of one peer. A peer that announces more is not
  //! listened to for the excess.
  static constexpr std::size_t kMostNames = 65536;

private:
  std::uint64_t incarnation_ = 0;
  std::uint64_t skipped_ = 0;
  std::unordered_map<std::uint32_t, std::string> names_;
};

}

#endif
