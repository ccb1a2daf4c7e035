#ifndef HEMLOCKHAVEN_METRICS_COUNTERS_H
#define HEMLOCKHAVEN_METRICS_COUNTERS_H

#include "hemlockhaven/core/Refusal.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace hemlockhaven {

//! Events counted in addition to refusals and retries.
enum class Event : std::uint8_t
{
  SubmissionAccepted,
  SubmissionRepeated,
  JobComplete,
  JobFailed,
  AttemptSent,
  AttemptSucceeded,
  AttemptLate, //!< Ended after its outcome was decided.
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
  PeerSendRefused, //!< No link, or its write queue is full.
  PeerReplyLate,   //!< Arrived after its call ended.
  Count,           //!< Number of events.
};

constexpr std::size_t kEventCount = static_cast<std::size_t>(Event::Count);

//! Name of the event in the metrics output, for example "attempt_sent".
std::string_view EventName(Event aEvent);

//! Event counters of one daemon, with one counter per refusal and retry reason.
//! Sharded, so that threads rarely write to the same cache line; reads sum over
//! all shards.
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

  //! Shard of the calling thread. With more threads than shards, threads share.
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
