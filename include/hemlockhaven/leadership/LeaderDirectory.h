#ifndef HEMLOCKHAVEN_LEADERSHIP_LEADERDIRECTORY_H
#define HEMLOCKHAVEN_LEADERSHIP_LEADERDIRECTORY_H

#include "hemlockhaven/core/Time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace hemlockhaven {

//! Where a leader can be reached.
struct LeaderAnnouncement
{
  std::string name;
  std::string address;            //!< "IP:port" of its links.
  std::int64_t announcedAtMs = 0; //!< Its wall clock, Unix ms.
};

//! Leaders announced outside of the daemons, so that groups of daemons that
//! know no address of each other meet. Only leaders announce themselves, and
//! only leaders and daemons without any other look for announcements: each
//! group has a leader, and all others learn of members by heartbeats.
//! Thread-safe.
class LeaderDirectory
{
public:
  struct Parameters
  {
    Duration announceInterval{ 10000000 }; //!< While a daemon leads.
    Duration retryDelay{ 1000000 };        //!< After a failure to announce.
    //! Announcements are used for this long: three intervals, and 5 s by which
    //! wall clocks may differ.
    Duration retention{ 35000000 };
    //! Announcements that are stored; a later one replaces another in its slot.
    std::size_t slots = 16;
  };

  //! Stores an announcement in a slot. Must not block; the outcome is reported
  //! by OnAnnounced.
  using AnnounceHook =
    std::function<void(std::size_t aSlot, const LeaderAnnouncement&)>;

  LeaderDirectory(std::string aName,
                  std::string aAddress,
                  const Parameters& aParameters,
                  AnnounceHook aAnnounce,
                  Clock aClock,
                  WallClock aWallClock);

  //! Announces this daemon if it leads and an announcement is due. Must be
  //! called every few tens of milliseconds.
  void Tick(bool aIsLeading);
  void OnAnnounced(bool aIsStored);

  //! Takes an announcement that was read.
  void Learn(const LeaderAnnouncement& aAnnouncement);

  //! The addresses of the other leaders that were announced within the
  //! retention time, sorted.
  std::vector<std::string> Addresses() const;

private:
  std::size_t Slot() const;

  const std::string name_;
  const std::string address_;
  const Parameters parameters_;
  const AnnounceHook announce_;
  const Clock clock_;
  const WallClock wallClock_;
  mutable std::mutex mutex_;                    //!< Guards the members below.
  std::optional<TimePoint> nextAnnouncementAt_; //!< Set while leading.
  std::map<std::string, std::int64_t> announcedAtMs_; //!< By address.
};

}

#endif
