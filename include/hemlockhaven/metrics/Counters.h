#ifndef HEMLOCKHAVEN_METRICS_COUNTERS_H
#define HEMLOCKHAVEN_METRICS_COUNTERS_H

#include "hemlockhaven/core/Refusal.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace hemlockhaven {

//! Events that are counted beside refusals and retries.
enum class Event : std::uint8_t
{
  SubmissionAccepted,
  SubmissionRepeated,
  JobComplete,
  JobFailed,
  AttemptSent,
  AttemptSucceeded,
  AttemptLate, //!< Ended after its outcome was settled.
  TaskForwarded,
  ForwardRefused,
  EndpointEjected,
  EndpointReadmitted,
  ProbeSent,
  ConnectionReplaced,
  LogAppend,
  LogAppendFailed,
  HistoryLost,
  ConfigurationApplied,
  ConfigurationRejected,
  PeerConnected,
  PeerLost,
  FrameRejected,
  PeerSendRefused, //!< No link, or its write queue was full.
  PeerReplyLate,   //!< Arrived after its call had ended.
  Count,           //!< Number of events; not an event.
};

constexpr std::size_t kEventCount = static_cast<std::size_t>(Event::Count);

//! The event's name in the exposition, for example "attempt_sent".
std::string_view EventName(Event aEvent);

//! Counters of one daemon; each refusal and retry reason has its own. They are
//! kept in shards, so that threads that count seldom write the same cache line;
//! a read is the sum over the shards.
class Counters
{
public:
  void Refused(Reason aReason) { Add(LocalShard().refused, aReason, 1); }
  void Retried(Reason aReason) { Add(LocalShard().retried, aReason, 1); }
  void Count(Event aEvent, std::uint64_t aBy = 1)
  {
    Add(LocalShard().events, aEvent, aBy);
  }

  std::uint64_t RefusedCount(Reason aReason) const
  {
    return Sum(&Shard::refused, aReason);
  }
  std::uint64_t RetriedCount(Reason aReason) const
  {
    return Sum(&Shard::retried, aReason);
  }
  std::uint64_t EventCount(Event aEvent) const
  {
    return Sum(&Shard::events, aEvent);
  }

private:
  static constexpr std::size_t kShardCount = 16;

  using Cell = std::atomic<std::uint64_t>;

  struct alignas(64) Shard
  {
    std::array<Cell, kReasonCount> refused{};
    std::array<Cell, kReasonCount> retried{};
    std::array<Cell, kEventCount> events{};
  };

  //! The shard of this thread; threads beyond their number share shards.
  Shard& LocalShard();

  template<typename Cells, typename Name>
  static void Add(Cells& aCells, Name aName, std::uint64_t aBy)
  {
    aCells[static_cast<std::size_t>(aName)].fetch_add(
      aBy, std::memory_order_relaxed);
  }

  template<typename Cells, typename Name>
  std::uint64_t Sum(Cells Shard::*aCells, Name aName) const
  {
    std::uint64_t sum = 0;
    for (const Shard& shard : shards_) {
      sum += (shard.*aCells)[static_cast<std::size_t>(aName)].load(
        std::memory_order_relaxed);
    }
    return sum;
  }

  std::array<Shard, kShardCount> shards_{};
};

}

#endif
