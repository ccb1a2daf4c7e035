#include "logging/RateLimiter.h"

#include <functional>
#include <utility>

namespace hemlockhaven {

RateLimiter::RateLimiter(std::uint32_t aMaxLinesPerSecond)
  : maxLinesPerSecond_(aMaxLinesPerSecond)
{
}

std::optional<std::uint64_t> RateLimiter::Admit(std::string_view aKey,
                                                std::int64_t aSecond)
{
  const std::size_t keyHash = std::hash<std::string_view>{}(aKey);
  Shard& shard = shards_[keyHash % kShardCount];
  const std::lock_guard<std::mutex> lock(shard.mutex);
  Window& window = shard.windows[keyHash / kShardCount % kWindowsPerShard];
  if (window.keyHash != keyHash) {
    window = Window{};
    window.keyHash = keyHash;
  }
  if (window.second != aSecond) {
    window.second = aSecond;
    window.written = 0;
  }
  if (window.written >= maxLinesPerSecond_) {
    ++window.dropped;
    return std::nullopt;
  }
  ++window.written;
  return std::exchange(window.dropped, 0);
}

}
