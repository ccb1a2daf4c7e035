#include "logging/RateLimiter.h"

#include <functional>
#include <utility>

namespace hemlockhaven {

RateLimiter::RateLimiter(std::uint32_t aMaxLinesPerSecond)
  : maxLinesPerSecond_(aMaxLinesPerSecond)
{
}

std::optional<std::uint64_t> RateLimiter::Admit(std::string_view aKind,
                                                std::int64_t aSecond)
{
  const std::size_t hash = std::hash<std::string_view>{}(aKind);
  Shard& shard = shards_[hash % kShards];
  const std::lock_guard<std::mutex> lock(shard.mutex);
  Kind& kind = shard.kinds[hash / kShards % kWindowsPerShard];
  if (kind.hash != hash) {
    kind = Kind{};
    kind.hash = hash;
  }
  if (kind.second != aSecond) {
    kind.second = aSecond;
    kind.written = 0;
  }
  if (kind.written >= maxLinesPerSecond_) {
    ++kind.dropped;
    return std::nullopt;
  }
  ++kind.written;
  return std::exchange(kind.dropped, 0);
}

}
