#ifndef HEMLOCKHAVEN_SRC_LOGGING_RATELIMITER_H
#define HEMLOCKHAVEN_SRC_LOGGING_RATELIMITER_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string_view>

namespace hemlockhaven {

//! Bounds lines of one kind in each second; in shards under own locks.
class RateLimiter
{
public:
  explicit RateLimiter(std::uint32_t aMaxLinesPerSecond);

  //! Not while other threads use it.
  void SetMaxLinesPerSecond(std::uint32_t aLines)
  {
    maxLinesPerSecond_ = aLines;
  }

  //! Whether a line of the kind may be written in this second: if so, how many
  //! of its kind were dropped since the last that was written.
  std::optional<std::uint64_t> Admit(std::string_view aKey,
                                     std::int64_t aSecond);

private:
  struct Window
  {
    std::size_t keyHash = 0;
    std::int64_t second = 0;
    std::uint32_t written = 0;
    std::uint64_t dropped = 0;
  };

  static constexpr std::size_t kShardCount = 8;
  //! Places for kinds in a shard. A kind whose place is taken by another one
  //! replaces it, so that memory is bounded and nothing is allocated.
  static constexpr std::size_t kWindowsPerShard = 128;

  struct Shard
  {
    std::mutex mutex;
    std::array<Window, kWindowsPerShard> windows;
  };

  std::uint32_t maxLinesPerSecond_;
  std::array<Shard, kShardCount> shards_;
};

}

#endif
