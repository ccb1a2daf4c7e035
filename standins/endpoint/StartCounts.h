#ifndef HEMLOCKHAVEN_STANDINS_ENDPOINT_STARTCOUNTS_H
#define HEMLOCKHAVEN_STANDINS_ENDPOINT_STARTCOUNTS_H

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>

namespace hemlockhaven {

//! How often tasks started on the endpoints of this process, by tag.
class StartCounts
{
public:
  //! Counts a start; an empty tag counts in the total only.
  void Count(std::string_view aTag)
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++total_;
    if (!aTag.empty()) {
      ++byTag_[std::string(aTag)];
    }
  }

  std::uint64_t Of(std::string_view aTag) const
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = byTag_.find(std::string(aTag));
    return found == byTag_.end() ? 0 : found->second;
  }

  //! Tags that started more than once.
  std::uint64_t RepeatedCount() const
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::uint64_t repeated = 0;
    for (const auto& [tag, count] : byTag_) {
      repeated += count > 1 ? 1 : 0;
    }
    return repeated;
  }

  std::uint64_t Total() const
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    return total_;
  }

private:
  mutable std::mutex mutex_;
  std::unordered_map<std::string, std::uint64_t> byTag_;
  std::uint64_t total_ = 0;
};

}

#endif
