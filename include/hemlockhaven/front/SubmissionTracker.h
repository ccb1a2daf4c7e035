#ifndef HEMLOCKHAVEN_FRONT_SUBMISSIONTRACKER_H
#define HEMLOCKHAVEN_FRONT_SUBMISSIONTRACKER_H

#include "hemlockhaven/core/Time.h"
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

//! What a waiting caller is told.
enum class CallerOutcome : std::uint8_t
{
  Completed,
  Failed,      //!< Ended without success for good.
  Overloaded,  //!< Refused, nothing ran; there is too much work.
  Unavailable, //!< Refused, nothing ran; nobody can take it now.
  Cancelled,
  TimedOut, //!< May have run in part; stopped.
};

//! The final answer to one caller.
struct CallerAnswer
{
  CallerOutcome outcome = CallerOutcome::Unavailable;
  std::string reason;
  Duration retryAfter{ 0 };
};

//! Receives the answer, once, outside of any lock.
using AnswerHook = std::function<void(const CallerAnswer&)>;

//! Work that has to be handed to a leader, or taken back from it.
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

//! The work whose callers wait at this daemon: hands it to the present leader,
//! hands it on when the leader changes, and answers each caller once. A waiting
//! caller holds an entry and no thread. Entries are kept in shards, each under
//! its own lock.
class SubmissionTracker
{
public:
  //! Work that was never handed to a leader waits so long for one.
  static constexpr Duration kInitialLeaderTimeout{ 400000 };
  //! Handed-in work waits so long for the next leader: two elections.
  static constexpr Duration kNextLeaderTimeout{ 2500000 };
  //! Work that the present leader gave back is handed in again after this: two
  //! beats, after which the leader knows its front again.
  static constexpr Duration kResubmitDelay{ 150000 };
  //! Callers that may wait at once; about 6 kB each.
  static constexpr std::size_t kMaxWaitingCallers = 4000;

  explicit SubmissionTracker(Clock aClock);

  //! Takes the work of a caller. aAnswer is called once. aWaiterId, unless 0,
  //! is for OnCallerDisconnect.
  TrackerEffects Accept(Work aWork,
                        AnswerHook aAnswer,
                        std::uint64_t& aWaiterId);

  //! Answers a caller that its work was not taken.
  static TrackerEffects Refuse(const std::string& aWorkId,
                               AnswerHook aAnswer,
                               std::string_view aReason);

  //! The caller left: its work is stopped. Nothing is answered.
  TrackerEffects OnCallerDisconnect(std::string_view aWorkId,
                                    std::uint64_t aWaiterId);

  //! Somebody asked to cancel the work. False if it is not known here.
  bool Cancel(std::string_view aWorkId, TrackerEffects& aEffects);

  //! The leader's answer.
  TrackerEffects OnAnswer(const WorkAnswer& aAnswer, std::string_view aLeader);

  //! Endpoints that a daemon uses while it leads, as last heard.
  void SetEndpointsInUse(std::string_view aLeader,
                         const EndpointsInUse& aEndpoints);

  //! Another leader, or none if empty.
  TrackerEffects OnLeaderChange(std::string_view aLeader);

  TrackerEffects Tick();

  //! Answers all callers that wait, because this daemon stops.
  TrackerEffects AbortAll(std::string_view aReason);

  //! Whether a caller of this work waits here.
  bool HasWaitingCaller(std::string_view aWorkId) const;

  std::size_t WaitingCallers() const;

private:
  struct Entry
  {
    Work work;
    AnswerHook answer;
    TimePoint acceptedAt{};
    TimePoint deadline{};
    TimePoint unassignedSince{};
    std::string leader;    //!< It was handed to last; empty: to none yet.
    bool assigned = false; //!< The leader has not given it back.
    std::uint64_t waiterId = 0;
  };

  struct Shard
  {
    mutable std::mutex mutex;
    std::unordered_map<std::string, Entry> entries;
  };

  static constexpr std::size_t kShardCount = 8;

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
  //! Takes the work back from its leader and answers its caller.
  static void Abort(Shard& aShard,
                    const std::string& aWorkId,
                    std::string_view aReason,
                    TrackerEffects& aEffects);
  std::string CurrentLeader() const;
  EndpointsInUse EndpointsInUseBy(std::string_view aLeader) const;

  Clock clock_;
  std::array<Shard, kShardCount> shards_;
  mutable std::mutex leaderMutex_; //!< Never held with a shard's.
  std::string leader_;
  InUseByLeader endpointsInUse_; //!< Of each daemon that has led.
  std::atomic<std::uint64_t> nextWaiterId_{ 0 };
};

}

#endif
