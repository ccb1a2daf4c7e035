#ifndef HEMLOCKHAVEN_SRC_LOGGING_RATELIMIT_H
#define HEMLOCKHAVEN_SRC_LOGGING_RATELIMIT_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string_view>

namespace hemlockhaven {

//! Bounds lines of one kind in each second; in shards under own locks.
class RateLimit
{
public:
  explicit RateLimit(std::uint32_t aMostPerSecond);

  //! Not while other threads use it.
  void SetMostPerSecond(std::uint32_t aLines) { mostPerSecond_ = aLines; }

  //! Whether a line of the kind may be written in this second: if so, how many
  //! of its kind were dropped since the last that was written.
  std::optional<std::uint64_t> Admit(std::string_view aKind,
                                     std::int64_t aSecond);

private:
  struct Kind
  {
    std::size_t hash = 0;
    std::int64_t second = 0;
    std::uint32_t written = 0;
    std::uint64_t dropped = 0;
  };

  static constexpr std::size_t kShards = 8;
  //! Places for kinds in a shard. A kind whose place is taken by another one
  //! replaces it, so that memory is bounded and nothing is allocated.
  static constexpr std::size_t kPlaces = 128;

  struct Shard
  {
    std::mutex mutex;
    std::array<Kind, kPlaces> kinds;
  };

  std::uint32_t mostPerSecond_;
  std::array<Shard, kShards> shards_;
};

}

#endif
