#ifndef HEMLOCKHAVEN_SRC_DISPATCH_DISPATCHERSHARD_H
#define HEMLOCKHAVEN_SRC_DISPATCH_DISPATCHERSHARD_H

#include "dispatch/DispatcherEffects.h"
#include "dispatch/QueueTotals.h"
#include "hemlockhaven/admission/FairQueue.h"
#include "hemlockhaven/dispatch/Dispatcher.h"
#include "hemlockhaven/fleet/Dice.h"
#include "hemlockhaven/fleet/Fleet.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace hemlockhaven::Detail {

//! Endpoints, queue and attempts of one shard. All methods but the hints are
//! called under its lock.
class DispatcherShard
{
public:
  //! Shards that the attempt ids can tell apart.
  static constexpr std::size_t kMaxShards = 64;

  DispatcherShard(std::size_t aNumber,
                  const Dispatcher::Hooks& aHooks,
                  const DispatcherLimits& aLimits,
                  QueueTotals& aTotals);

  static std::size_t ShardOf(AttemptId aId) { return aId % kMaxShards; }

  std::mutex& Mutex() { return mutex_; }

  // Admission.
  bool HasEligible(const JobSpec& aSpec);
  //! Queues a group that some endpoint here can run, or refuses it over its
  //! caller's share of the queue or with a deadline before its estimated
  //! start. False if no endpoint here can run it.
  Result<bool> Admit(const std::shared_ptr<TaskGroup>& aGroup,
                     bool aIsAnyTaken,
                     TimePoint aNow);
  std::size_t OpenEndpoints() const { return fleet_.OpenCount(); }
  std::string ExplainMismatch(const JobSpec& aSpec);
  void Enqueue(QueuedTasks&& aTasks);

  //! Starts queued tasks while endpoints have free slots. Returns true if it
  //! stopped after a bounded number of steps and has to be called again, as a
  //! continuation: a new round would pass over the same entries and not end.
  bool Place(TimePoint aNow, bool aIsContinued, DispatcherEffects& aTo);

  //! Ends tasks that were dropped from the queue, up to a number.
  void EndDropped(std::size_t aMost, DispatcherEffects& aTo);
  bool HasDropped() const { return !dropped_.empty(); }

  //! False if no such attempt is under way.
  bool Finish(AttemptId aId,
              AttemptResult&& aResult,
              TimePoint aNow,
              DispatcherEffects& aTo);

  void SetEndpoints(Span<const EndpointDescription* const> aEndpoints);
  FairQueue& Queue() { return queue_; }

  // Handing tasks to another shard or to a peer.
  std::vector<QueuedTasks> TakeFor(std::size_t aShard,
                                   std::uint64_t aVersion,
                                   std::size_t aMost,
                                   bool aAnyMoves);
  std::vector<QueuedTasks> TakeStranded(std::size_t aMost);
  std::vector<ForwardedTask> TakeForPeer(std::size_t aMost);

  void TickFleet(TimePoint aNow);
  //! Drops what has stopped or is past its deadline; see FairQueue::Sweep.
  bool Sweep(TimePoint aNow, std::size_t aMost);

  std::size_t RunningCount() const { return running_; }
  std::size_t SlotCount() const { return fleet_.OpenSlots(); }
  void AddEndpointStatus(std::vector<EndpointStatus>& aTo) const;

  // Read without the lock, as hints.
  std::size_t FreeEndpoints() const { return freeEndpoints_; }
  bool HasFree() const { return freeEndpoints_ > 0; }
  //! Whether tasks are queued for which no eligible endpoint here has a free
  //! slot; those that wait for a faster endpoint are not among them.
  bool HasStarved() const { return hasStarved_; }
  //! Brings hints and totals up to date; called before the lock is released.
  void UpdateHints();

private:
  struct Running
  {
    AttemptId id = 0;              //!< Zero: the record is unused.
    KindAccount* kind = nullptr;   //!< What is learned.
    KindAccount* queued = nullptr; //!< What is charged.
    QueuedTasks task;
    EndpointIndex endpoint = 0;
    TimePoint startedAt{};
    Duration estimate{ 0 };
  };

  Result<void> Check(const TaskGroup& aGroup,
                     const CallerAccount& aCaller,
                     TimePoint aNow);
  void Push(QueuedTasks&& aTasks,
            const QueuePosition& aPosition,
            KindAccount& aKind);
  bool HasFreeFor(EligibilityId aId) const;
  bool IsOver(const TaskGroup& aGroup, TimePoint aNow) const;
  QueuePosition PositionOf(const TaskGroup& aGroup) const;
  KindAccount& LearnedKind(const JobSpec& aSpec);
  QueuedTasks PopTask();
  void Drop();
  void Start(EndpointIndex aIndex, TimePoint aNow, DispatcherEffects& aTo);
  void EndOnEndpoint(Running& aRunning, AttemptResult& aResult, TimePoint aNow);
  bool IsSentAgain(Running& aRunning,
                   const AttemptResult& aResult,
                   TimePoint aNow);
  void CountVerdict(Fleet::Verdict aVerdict);
  Ran ReportedRan(const TaskHistory& aHistory) const;
  void AddDropped(QueuedTasks&& aTasks);
  //! Payload bytes of all tasks of the entry.
  static std::size_t BytesOf(const QueuedTasks& aTasks);

  std::mutex mutex_;
  std::size_t number_;
  const Dispatcher::Hooks& hooks_;
  const DispatcherLimits& limits_;
  QueueTotals& totals_;
  Dice dice_;
  Fleet fleet_;
  FairQueue queue_;
  std::deque<QueuedTasks> dropped_; //!< Still to be ended.
  std::size_t droppedTasks_ = 0;
  std::size_t bytes_ = 0;          //!< Of payloads of queued and dropped tasks.
  std::size_t publishedTasks_ = 0; //!< Added to the totals.
  std::size_t publishedBytes_ = 0;
  std::vector<Running> records_;
  std::vector<std::uint32_t> unusedRecords_;
  std::uint64_t attempts_ = 0;
  bool isStarved_ = false; //!< Found by the latest placement.
  std::size_t running_ = 0;
  // On lines of their own: the number of free endpoints changes with most
  // decisions, and every decision of another shard reads hasStarved_.
  alignas(64) std::atomic<std::size_t> freeEndpoints_{ 0 };
  alignas(64) std::atomic<bool> hasStarved_{ false };
};

}

#endif
