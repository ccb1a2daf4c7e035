#ifndef HEMLOCKHAVEN_DISPATCH_DISPATCHER_H
#define HEMLOCKHAVEN_DISPATCH_DISPATCHER_H

#include "hemlockhaven/core/Guard.h"
#include "hemlockhaven/core/Result.h"
#include "hemlockhaven/core/Span.h"
#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/dispatch/Attempt.h"
#include "hemlockhaven/dispatch/DispatcherLimits.h"
#include "hemlockhaven/dispatch/DispatcherPolicy.h"
#include "hemlockhaven/dispatch/TaskGroup.h"
#include "hemlockhaven/fleet/EndpointDescription.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace hemlockhaven {

class Counters;

namespace Detail {
class DispatcherShard;
class QueueTotals;
struct DispatcherEffects;
}

//! What the dispatcher shows of one endpoint.
struct EndpointStatus
{
  EndpointDescription description;
  std::uint32_t running = 0; //!< Attempts under way.
  std::uint32_t allowed = 0; //!< Slots that may be used now.
  bool ejected = false;
  double slowness = 1.0; //!< Learned run time relative to the fleet.
};

//! What the dispatcher shows of one caller.
struct CallerStatus
{
  std::string caller;
  double weight = 1.0;
  std::size_t queued = 0;  //!< Tasks.
  std::size_t running = 0; //!< Attempts.
  Duration slotTime{ 0 };  //!< Used on endpoints of this daemon.
};

//! Slot time that callers used elsewhere, reported by a peer.
struct SlotTimeUse
{
  std::string caller;
  Duration slotTime{ 0 }; //!< Since the peer's last report.
};

//! A task taken out of the queue for a peer to run.
struct ForwardedTask
{
  std::shared_ptr<TaskGroup> group;
  std::uint32_t index = 0;
};

//! Queues tasks and places them on the endpoints that this daemon owns.
//!
//! State is in shards, each with its endpoints, queue and attempts under its
//! own lock. Hooks are called outside of all locks.
class Dispatcher
{
public:
  struct Hooks
  {
    Clock clock;
    //! Sends an attempt; Finish must be called once for it, later or within.
    std::function<void(const Attempt&)> send;
    Counters* counters = nullptr; //!< Counts refusals and retries; not null.
    GuardHook guard = {};         //!< Called under a lock; empty: all are on.
    DispatcherPolicy policy = {}; //!< Fastest class and fair share.
  };

  Dispatcher(Hooks aHooks, DispatcherLimits aLimits);
  ~Dispatcher();
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  //! Takes all tasks of the group or none. An error says "not run". Sets the
  //! group's deadline from its spec if it has none.
  Result<void> Admit(const std::shared_ptr<TaskGroup>& aGroup);

  //! Ends an attempt. A second end of the same attempt and an unknown id are
  //! counted and ignored.
  void Finish(AttemptId aAttempt, AttemptResult&& aResult);

  //! Sets the endpoints that this daemon owns. Endpoints that are missing get
  //! nothing new; their attempts under way still end by Finish.
  void SetEndpoints(Span<const EndpointDescription> aEndpoints);

  //! Sets the callers' weights; callers not named have weight 1.
  void SetWeights(Span<const std::pair<std::string, double>> aWeights);

  //! Charges slot time that callers used on other daemons.
  void ChargeRemote(Span<const SlotTimeUse> aUses);

  //! Slot time that callers used here since the last call, for peers.
  std::vector<SlotTimeUse> TakeSlotTimeUses();

  //! Takes up to aMost queued tasks that no attempt was made for, in fair
  //! order; the caller ends each by group->ended or gives it back by GiveBack.
  std::vector<ForwardedTask> TakeQueued(std::size_t aMost);

  //! Takes back tasks that a peer refused as not run. They were admitted
  //! before, so no bound refuses them.
  void GiveBack(Span<const ForwardedTask> aTasks);

  //! Drops tasks whose deadline has passed or whose group has stopped, returns
  //! ejected endpoints to probation when it is time and evens out the shards.
  //! Called a few times a second. Locks are held for bounded steps.
  void Tick();

  std::size_t QueuedCount() const;
  std::size_t RunningCount() const;
  std::vector<EndpointStatus> Endpoints() const;
  std::vector<CallerStatus> Callers() const;

  //! Time that threads spent waiting for the shards' locks.
  Duration LockWait() const;

private:
  using Shard = Detail::DispatcherShard;

  //! The lock of a shard; its wait is measured if there is one.
  std::unique_lock<std::mutex> Lock(Shard& aShard) const;

  //! Runs aDecide under the shard's lock, places tasks, and calls the hooks
  //! after the lock is released.
  template<typename Decision>
  void Decide(Shard& aShard, TimePoint aNow, Decision&& aDecide);

  //! Calls the hooks. A hook may call back: what that decides is run by the
  //! outermost call, so that the stack stays flat.
  void Run(Detail::DispatcherEffects& aEffects);

  //! The shards to try for a new group, beginning with one that has free
  //! slots.
  std::size_t FirstShard();
  Result<void> Refuse(Error aError);

  //! Hands tasks to or takes them from other shards.
  void Balance(std::size_t aShard);
  //! Whether any task was moved that fits there.
  bool Move(std::size_t aFrom, std::size_t aTo, bool aAnyMoves);
  void MoveStranded(std::size_t aFrom);

  Hooks hooks_;
  DispatcherLimits limits_;
  std::unique_ptr<Detail::QueueTotals> totals_;
  std::vector<std::unique_ptr<Shard>> shards_;
  std::atomic<std::uint64_t> endpointsVersion_{ 1 };
  mutable std::atomic<std::uint64_t> lockWaitNs_{ 0 };
};

}

#endif
