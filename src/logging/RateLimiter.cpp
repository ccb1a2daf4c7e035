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
  const std::size_t hash = std::hash<std::string_view>{}(aKey);
  Shard& shard = shards_[hash % kShardCount];
  const std::lock_guard<std::mutex> lock(shard.mutex);
  Window& key = shard.windows[hash / kShardCount % kWindowsPerShard];
  if (key.hash != hash) {
    key = Window{};
    key.hash = hash;
  }
  if (key.second != aSecond) {
    key.second = aSecond;
    key.written = 0;
  }
  if (key.written >= maxLinesPerSecond_) {
    ++key.dropped;
    return std::nullopt;
  }
  ++key.written;
  return std::exchange(key.dropped, 0);
}

}
