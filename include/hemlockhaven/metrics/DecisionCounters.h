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
  };

  using KeyView =
    std::tuple<std::string_view, std::string_view, std::string_view>;

  //! Also compares with views, so that no key is built for a known counter.
  struct KeyLess
  {
    using is_transparent = void;

    static KeyView View(const Key& aKey)
    {
      return { aKey.step, aKey.outcome, aKey.reason };
    }
    static const KeyView& View(const KeyView& aKey) { return aKey; }

    template<typename Left, typename Right>
    bool operator()(const Left& aLeft, const Right& aRight) const
    {
      return View(aLeft) < View(aRight);
    }
  };

  struct Shard
  {
    mutable std::mutex mutex;
    std::map<Key, std::uint64_t, KeyLess> counts;
  };

  std::array<Shard, 8> shards_;
};

}

#endif
