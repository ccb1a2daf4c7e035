#ifndef HEMLOCKHAVEN_FRONT_SUBMISSIONTRACKER_H
#define HEMLOCKHAVEN_FRONT_SUBMISSIONTRACKER_H

#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/scheduler/CancelledWorks.h"
#include "hemlockhaven/scheduler/Effects.h"
#include "hemlockhaven/scheduler/Work.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hemlockhaven {

//! The outcome that is reported to a waiting caller.
enum class CallerOutcome : std::uint8_t
{
  Completed,
  Failed,      //!< Ended permanently without success.
  Overloaded,  //!< Refused, too much work; nothing ran.
  Unavailable, //!< Refused, no leader took it; nothing ran.
  Cancelled,
  TimedOut, //!< Cancelled; parts of it may have run.
};

//! The final answer to one caller.
struct CallerAnswer
{
  CallerOutcome outcome = CallerOutcome::Unavailable;
  std::string reason;
  Duration retryAfter{ 0 };
};

//! Receives the answer. Called once, with no lock held.
using AnswerHook = std::function<void(const CallerAnswer&)>;

//! What the owner of the tracker has to do after a call: send submissions and
//! cancellations to leaders, answer callers, and log decisions.
struct TrackerEffects
{
  struct Submission
  {
    std::string leader;
    Work work;
  };
  struct Cancellation
  {
    std::string leader;
    std::string workId;
    std::string reason;
  };
  std::vector<Submission> submissions;
  std::vector<Cancellation> cancellations;
  std::vector<std::pair<AnswerHook, CallerAnswer>> answers;
  std::vector<Decision> decisions;
};

//! Tracks the work whose callers wait at this daemon: submits it to the current
//! leader, resubmits it when the leader changes, and answers each caller once.
//! A waiting caller holds an entry and no thread. Entries are kept in shards,
//! each under its own lock. Thread-safe.
class SubmissionTracker
{
public:
  //! How long work that was never submitted waits for a leader.
  static constexpr Duration kInitialLeaderTimeout{ 400000 };
  //! How long submitted work waits for the next leader: two elections.
  static constexpr Duration kNextLeaderTimeout{ 2500000 };
  //! Delay before work that the current leader returned is submitted to it
  //! again: two heartbeats, after which the leader knows this daemon again.
  static constexpr Duration kResubmitDelay{ 150000 };
  //! Limit of concurrently waiting callers; each takes about 6 kB.
  static constexpr std::size_t kMaxWaitingCallers = 4000;

  //! aFirstAcceptance has to be higher than any number of an earlier process
  //! under this daemon's name.
  explicit SubmissionTracker(Clock aClock, std::uint64_t aFirstAcceptance = 0);

  //! Accepts work from a caller. aAnswer is called once. Sets aWaiterId to the
  //! id to pass to OnCallerDisconnect, or to 0 if the work was refused. Work
  //! that is already tracked keeps its entry; its earlier connection is
  //! answered with TimedOut. Work that is remembered as cancelled is answered
  //! at once.
  TrackerEffects Accept(Work aWork,
                        AnswerHook aAnswer,
                        std::uint64_t& aWaiterId);

  //! Answers a caller with Overloaded without tracking its work.
  static TrackerEffects Refuse(const std::string& aWorkId,
                               AnswerHook aAnswer,
                               std::string_view aReason);

  //! Cancels the work of a caller that disconnected, without an answer. Ignored
  //! if the work now belongs to another waiter.
  TrackerEffects OnCallerDisconnect(std::string_view aWorkId,
                                    std::uint64_t aWaiterId);

  //! Cancels the work at its leader, answers its caller and remembers the
  //! cancel. False if the work is neither tracked nor remembered here.
  bool Cancel(std::string_view aWorkId, TrackerEffects& aEffects);

  //! Remembers a cancel that a leader has confirmed to this daemon.
  TrackerEffects RememberCancel(std::string_view aWorkId);

  //! The jobs that are remembered as cancelled, which the next leader has to be
  //! told of.
  std::vector<std::string> CancelledJobs() const;
  std::size_t CancelledJobCount() const;
  bool IsCancelled(std::string_view aWorkId) const;

  //! Handles the answer of a leader. Answers to any submission but the last one
  //! of the work are ignored, unless a caller has cancelled the job: that holds
  //! for all of them.
  TrackerEffects OnAnswer(const WorkAnswer& aAnswer, std::string_view aLeader);

  //! Updates the endpoints that a daemon uses while it leads, as last
  //! reported.
  void SetEndpointsInUse(std::string_view aLeader,
                         const EndpointsInUse& aEndpoints);

  //! Submits all work to the new leader. Empty: no leader is known.
  TrackerEffects OnLeaderChange(std::string_view aLeader);

  //! Aborts work whose deadline or leader timeout has passed, and resubmits
  //! returned work. Called at regular intervals.
  TrackerEffects Tick();

  //! Cancels all work and answers all callers; called when this daemon stops.
  TrackerEffects AbortAll(std::string_view aReason);

  //! Whether a caller waits for this work at this daemon.
  bool HasWaitingCaller(std::string_view aWorkId) const;

  std::size_t WaitingCallers() const;

private:
  static constexpr std::size_t kShardCount = 8;

  struct Entry
  {
    Work work;
    AnswerHook answer;
    TimePoint acceptedAt{};
    TimePoint deadline{};
    TimePoint unassignedSince{};
    std::string leader;    //!< Last submitted to; empty: not submitted.
    bool assigned = false; //!< Submitted, and not returned since.
    std::uint64_t waiterId = 0;
  };

  struct Shard
  {
    mutable std::mutex mutex;
    std::unordered_map<std::string, Entry> entries;
    CancelledWorks cancelled{ CancelledWorks::kMaxWorks / kShardCount };
  };

  using InUseByLeader = std::map<std::string, EndpointsInUse, std::less<>>;

  Shard& ShardOf(std::string_view aWorkId);
  const Shard& ShardOf(std::string_view aWorkId) const;
  void SubmitTo(Entry& aEntry,
                std::string_view aLeader,
                TimePoint aNow,
                TrackerEffects& aEffects);
  static void Finish(Shard& aShard,
                     const std::string& aWorkId,
                     CallerAnswer aAnswer,
                     TrackerEffects& aEffects);
  static void RememberCancel(Shard& aShard,
                             std::string_view aWorkId,
                             TimePoint aNow,
                             TrackerEffects& aEffects);
  //! Cancels the work at its leader, if any, and answers its caller.
  static void Abort(Shard& aShard,
                    const std::string& aWorkId,
                    std::string_view aReason,
                    TrackerEffects& aEffects);
  std::string CurrentLeader() const;
  EndpointsInUse EndpointsInUseBy(std::string_view aLeader) const;

  Clock clock_;
  std::array<Shard, kShardCount> shards_;
  mutable std::mutex leaderMutex_; //!< Never held together with a shard's.
  std::string leader_;
  InUseByLeader endpointsInUse_; //!< For each daemon that has led.
  std::atomic<std::uint64_t> nextWaiterId_{ 0 };
  std::atomic<std::uint64_t> nextAcceptance_;
};

}

#endif
