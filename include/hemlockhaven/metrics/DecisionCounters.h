#ifndef HEMLOCKHAVEN_METRICS_DECISIONCOUNTERS_H
#define HEMLOCKHAVEN_METRICS_DECISIONCOUNTERS_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <tuple>

namespace hemlockhaven {

//! Counts decisions by step, outcome and reason. Sharded, one lock per shard.
class DecisionCounters
{
public:
  //! Decisions that would need a further counter are counted as "other".
  static constexpr std::size_t kMaxKeysPerShard = 256;

  void Count(std::string_view aStep,
             std::string_view aOutcome,
             std::string_view aReason);

  //! Calls the visitor with each step, outcome, reason and count.
  void Visit(const std::function<void(std::string_view,
                                      std::string_view,
                                      std::string_view,
                                      std::uint64_t)>& aVisitor) const;

private:
  struct Key
  {
    std::string step;
    std::string outcome;
    std::string reason;

    friend bool operator<(const Key& aLeft, const Key& aRight)
    {
      return std::tie(aLeft.step, aLeft.outcome, aLeft.reason) <
             std::tie(aRight.step, aRight.outcome, aRight.reason);
    }
  };

  struct Shard
  {
    mutable std::mutex mutex;
    std::map<Key, std::uint64_t> counts;
  };

  std::array<Shard, 8> shards_;
};

}

#endif
