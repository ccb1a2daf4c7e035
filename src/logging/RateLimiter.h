#ifndef HEMLOCKHAVEN_SRC_LOGGING_RATELIMITER_H
#define HEMLOCKHAVEN_SRC_LOGGING_RATELIMITER_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string_view>

namespace hemlockhaven {

//! Limits the lines per key and second. Sharded, one lock per shard.
class RateLimiter
{
public:
  explicit RateLimiter(std::uint32_t aMaxLinesPerSecond);

  //! Not safe while other threads use the limiter.
  void SetMaxLinesPerSecond(std::uint32_t aLines)
  {
    maxLinesPerSecond_ = aLines;
  }

  //! Returns nothing if the key has reached its limit in this second; otherwise
  //! the number of lines dropped since the last admitted line of the key.
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
  //! Keys that hash to the same window replace each other, so that memory is
  //! bounded and nothing is allocated.
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
