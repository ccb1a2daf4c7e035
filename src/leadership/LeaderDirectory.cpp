#include "hemlockhaven/leadership/LeaderDirectory.h"

#include "leadership/Rank.h"

#include <algorithm>
#include <utility>

namespace hemlockhaven {

LeaderDirectory::LeaderDirectory(std::string aName,
                                 std::string aAddress,
                                 const Parameters& aParameters,
                                 AnnounceHook aAnnounce,
                                 Clock aClock,
                                 WallClock aWallClock)
  : name_(std::move(aName))
  , address_(std::move(aAddress))
  , parameters_(aParameters)
  , announce_(std::move(aAnnounce))
  , clock_(std::move(aClock))
  , wallClock_(std::move(aWallClock))
{
}

std::size_t LeaderDirectory::Slot() const
{
  return Detail::HashName(name_) % parameters_.slots;
}

void LeaderDirectory::Tick(bool aIsLeading)
{
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!aIsLeading) {
      nextAnnouncementAt_.reset();
      return;
    }
    const TimePoint now = clock_();
    if (nextAnnouncementAt_ && now < *nextAnnouncementAt_) {
      return;
    }
    nextAnnouncementAt_ = now + parameters_.announceInterval;
  }
  announce_(Slot(), { name_, address_, wallClock_() });
}

void LeaderDirectory::OnAnnounced(bool aIsStored)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  if (!aIsStored && nextAnnouncementAt_) {
    nextAnnouncementAt_ = clock_() + parameters_.retryDelay;
  }
}

void LeaderDirectory::Learn(const LeaderAnnouncement& aAnnouncement)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  if (aAnnouncement.address == address_) {
    return;
  }
  // One from the future would be kept longer, or for good.
  announcedAtMs_[aAnnouncement.address] =
    std::min(aAnnouncement.announcedAtMs, wallClock_());
  if (announcedAtMs_.size() <= parameters_.slots) {
    return;
  }
  const auto oldest =
    std::min_element(announcedAtMs_.begin(),
                     announcedAtMs_.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       return aLeft.second < aRight.second;
                     });
  announcedAtMs_.erase(oldest);
}

std::vector<std::string> LeaderDirectory::Addresses() const
{
  constexpr std::int64_t kUsPerMs = 1000;
  const std::int64_t retentionMs = parameters_.retention.count() / kUsPerMs;
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<std::string> addresses;
  for (const auto& [address, announcedAtMs] : announcedAtMs_) {
    if (wallClock_() - announcedAtMs <= retentionMs) {
      addresses.push_back(address);
    }
  }
  return addresses;
}

}
