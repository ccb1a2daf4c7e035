#include "hemlockhaven/metrics/Counters.h"

namespace hemlockhaven {

namespace {

// In the order of Event.
constexpr std::array<std::string_view, kEventCount> kEventNames{
  "submission_accepted",   "submission_repeated",
  "job_complete",          "job_failed",
  "attempt_sent",          "attempt_succeeded",
  "attempt_late",          "task_forwarded",
  "forward_refused",       "endpoint_ejected",
  "endpoint_readmitted",   "probe_sent",
  "connection_replaced",   "log_append",
  "log_append_failed",     "history_lost",
  "configuration_applied", "configuration_rejected",
  "peer_connected",        "peer_lost",
  "frame_rejected",        "peer_send_refused",
  "peer_reply_late",
};

}

std::string_view EventName(Event aEvent)
{
  return kEventNames.at(static_cast<std::size_t>(aEvent));
}

Counters::Shard& Counters::LocalShard()
{
  static std::atomic<std::size_t> next{ 0 };
  thread_local const std::size_t shardIndex =
    next.fetch_add(1, std::memory_order_relaxed) % kShardCount;
  return shards_[shardIndex];
}

}
