#include "hemlockhaven/dispatch/Dispatcher.h"

#include "dispatch/DispatcherShard.h"
#include "dispatch/QueueTotals.h"
#include "hemlockhaven/metrics/Counters.h"

#include <gsl/util>

#include <algorithm>
#include <map>
#include <string_view>
#include <utility>

namespace hemlockhaven {

namespace {

// Tasks that one decision ends beside its own, so that a wave of
// cancellations does not delay others; Tick ends the rest.
constexpr std::size_t kMostEndedByDecision = 64;
constexpr std::size_t kMostEndedByStep = 512;
constexpr std::size_t kMostSweptByStep = 2'048;
constexpr std::size_t kMostMoved = 64;
constexpr std::size_t kMostRoundsOfMoves = 8;
constexpr std::size_t kMostStranded = 256;

// Dispatchers whose hooks this thread is calling.
struct ActiveRun
{
  const Dispatcher* owner;
  Detail::DispatcherEffects* effects;
  ActiveRun* outer;
};

thread_local ActiveRun* activeRun = nullptr;

//! The lowest number that no other living thread has; threads beyond 64 share
//! the last one.
class ThreadNumber
{
public:
  ThreadNumber()
  {
    const std::lock_guard<std::mutex> lock(mutex);
    while (value_ + 1 < Detail::DispatcherShard::kMaxShards &&
           (used & Bit()) != 0) {
      ++value_;
    }
    used |= Bit();
    ++count;
  }
  ~ThreadNumber()
  {
    const std::lock_guard<std::mutex> lock(mutex);
    used &= ~Bit();
    --count;
  }
  ThreadNumber(const ThreadNumber&) = delete;
  ThreadNumber& operator=(const ThreadNumber&) = delete;

  std::size_t Value() const { return value_; }
  static std::size_t Count() { return count; }

private:
  std::uint64_t Bit() const { return std::uint64_t{ 1 } << value_; }

  static inline std::mutex mutex;
  static inline std::uint64_t used = 0;
  static inline std::atomic<std::size_t> count{ 0 };

  std::size_t value_ = 0;
};

template<typename T>
void MoveInto(T& aTo, T& aFrom)
{
  for (auto& item : aFrom) {
    aTo.push_back(std::move(item));
  }
}

}

Dispatcher::Dispatcher(Hooks aHooks, DispatcherLimits aLimits)
  : hooks_(std::move(aHooks))
  , limits_(aLimits)
  , totals_(std::make_unique<Detail::QueueTotals>())
{
  limits_.shards =
    std::clamp<std::size_t>(limits_.shards, 1, Shard::kMaxShards);
  for (std::size_t number = 0; number < limits_.shards; ++number) {
    shards_.push_back(
      std::make_unique<Shard>(number, hooks_, limits_, *totals_));
  }
}

Dispatcher::~Dispatcher() = default;

Result<void> Dispatcher::Admit(const std::shared_ptr<TaskGroup>& aGroup)
{
  const JobSpec& spec = aGroup->spec;
  if (spec.payloads.empty()) {
    return Refuse(Error::NotRun(
      "admit", Reason::MalformedRequest, "the submission has no task"));
  }
  const TimePoint now = hooks_.clock();
  aGroup->admittedAt = now;
  if (aGroup->deadline == TimePoint::max()) {
    aGroup->deadline =
      now +
      (spec.deadline > Duration{ 0 } ? spec.deadline : limits_.defaultDeadline);
  }
  std::size_t bytes = 0;
  for (std::size_t index = 0; index < spec.payloads.size(); ++index) {
    bytes += QueuedBytes(spec, index);
  }
  if (!totals_->HasRoom(spec.payloads.size(),
                        bytes,
                        limits_.queuedTasks,
                        limits_.queuedBytes)) {
    return Refuse(Error::NotRun("admit",
                                Reason::QueueFull,
                                "the queue holds as much as it may",
                                std::chrono::seconds(1)));
  }
  const std::size_t first = FirstShard();
  std::size_t open = 0;
  std::string mismatch;
  // A second pass takes any shard if there is no endpoint at all.
  for (std::size_t tried = 0; tried < 2 * shards_.size(); ++tried) {
    const std::size_t number = (first + tried) % shards_.size();
    Shard& shard = *shards_[number];
    const bool isAnyTaken = tried >= shards_.size();
    if (isAnyTaken && open > 0) {
      return Refuse(Error::NotRun("admit",
                                  Reason::NoEligibleEndpoint,
                                  "no endpoint satisfies " + mismatch));
    }
    Result<bool> admitted = false;
    Decide(shard, now, [&](Detail::DispatcherEffects&) {
      open += shard.OpenEndpoints();
      admitted = shard.Admit(aGroup, isAnyTaken, now);
      if (!admitted.has_error() && !admitted.value() && mismatch.empty()) {
        mismatch = shard.ExplainMismatch(spec);
      }
    });
    if (admitted.has_error()) {
      return Refuse(admitted.error());
    }
    if (admitted.value()) {
      Balance(number);
      return outcome::success();
    }
  }
  return Refuse(Error::NotRun("admit", Reason::Internal, "no shard took it"));
}

void Dispatcher::Finish(AttemptId aAttempt, AttemptResult&& aResult)
{
  const std::size_t number = Shard::ShardOf(aAttempt);
  if (number >= shards_.size()) {
    hooks_.counters->Count(Event::AttemptLate);
    return;
  }
  const TimePoint now = hooks_.clock();
  const bool isSuccess = aResult.end == AttemptEnd::Succeeded;
  bool isKnown = false;
  Decide(*shards_[number], now, [&](Detail::DispatcherEffects& aEffects) {
    isKnown =
      shards_[number]->Finish(aAttempt, std::move(aResult), now, aEffects);
  });
  if (!isKnown) {
    hooks_.counters->Count(Event::AttemptLate);
    return;
  }
  if (isSuccess) {
    hooks_.counters->Count(Event::AttemptSucceeded);
  }
  Balance(number);
}

void Dispatcher::SetEndpoints(Span<const EndpointDescription> aEndpoints)
{
  std::vector<std::vector<const EndpointDescription*>> parts(shards_.size());
  for (const EndpointDescription& endpoint : aEndpoints) {
    const std::size_t hash = std::hash<std::string_view>()(endpoint.id);
    parts[hash % parts.size()].push_back(&endpoint);
  }
  ++endpointsVersion_;
  const TimePoint now = hooks_.clock();
  for (std::size_t number = 0; number < shards_.size(); ++number) {
    Decide(*shards_[number], now, [&](Detail::DispatcherEffects&) {
      shards_[number]->SetEndpoints(parts[number]);
    });
  }
  for (std::size_t number = 0; number < shards_.size(); ++number) {
    Balance(number);
  }
}

void Dispatcher::SetWeights(Span<const std::pair<std::string, double>> aWeights)
{
  for (const auto& shard : shards_) {
    const auto lock = Lock(*shard);
    shard->Queue().SetWeights(aWeights);
  }
}

void Dispatcher::ChargeRemote(Span<const SlotTimeUse> aUses)
{
  // Groups are spread over the shards, and so is what they are charged.
  const auto parts = static_cast<Duration::rep>(shards_.size());
  for (const auto& shard : shards_) {
    const auto lock = Lock(*shard);
    for (const SlotTimeUse& use : aUses) {
      shard->Queue().ChargeRemote(
        use.caller, use.slotTime / parts, shard->SlotCount());
    }
  }
}

std::vector<SlotTimeUse> Dispatcher::TakeSlotTimeUses()
{
  std::map<std::string, Duration> sums;
  for (const auto& shard : shards_) {
    const auto lock = Lock(*shard);
    for (auto& [caller, slotTime] : shard->Queue().TakeSlotTimes()) {
      sums[caller] += slotTime;
    }
  }
  std::vector<SlotTimeUse> uses;
  uses.reserve(sums.size());
  for (const auto& [caller, slotTime] : sums) {
    uses.push_back({ caller, slotTime });
  }
  return uses;
}

std::vector<ForwardedTask> Dispatcher::TakeQueued(std::size_t aMost)
{
  std::vector<ForwardedTask> taken;
  for (const auto& shard : shards_) {
    const auto lock = Lock(*shard);
    auto more = shard->TakeForPeer(aMost - taken.size());
    MoveInto(taken, more);
    shard->UpdateHints();
  }
  return taken;
}

void Dispatcher::GiveBack(Span<const ForwardedTask> aTasks)
{
  const TimePoint now = hooks_.clock();
  for (const ForwardedTask& task : aTasks) {
    const std::size_t number = FirstShard();
    Decide(*shards_[number], now, [&](Detail::DispatcherEffects&) {
      QueuedTasks tasks;
      tasks.group = task.group;
      tasks.next = task.index;
      tasks.end = task.index + 1;
      shards_[number]->Enqueue(std::move(tasks));
    });
    Balance(number);
  }
}

void Dispatcher::Tick()
{
  const TimePoint now = hooks_.clock();
  for (const auto& shard : shards_) {
    bool isSwept = false;
    bool isDone = false;
    Decide(
      *shard, now, [&](Detail::DispatcherEffects&) { shard->TickFleet(now); });
    while (!isDone) {
      Decide(*shard, now, [&](Detail::DispatcherEffects& aEffects) {
        isSwept = isSwept || shard->Sweep(now, kMostSweptByStep);
        shard->EndDropped(kMostEndedByStep, aEffects);
        isDone = isSwept && !shard->HasDropped();
      });
    }
  }
  for (std::size_t from = 0; shards_.size() > 1 && from < shards_.size();
       ++from) {
    MoveStranded(from);
    for (std::size_t to = 0; to < shards_.size(); ++to) {
      if (to != from && shards_[from]->HasStarved() && shards_[to]->HasFree()) {
        Move(from, to, true);
      }
    }
  }
}

std::size_t Dispatcher::QueuedCount() const
{
  return totals_->Tasks();
}

std::size_t Dispatcher::RunningCount() const
{
  std::size_t count = 0;
  for (const auto& shard : shards_) {
    const auto lock = Lock(*shard);
    count += shard->RunningCount();
  }
  return count;
}

std::vector<EndpointStatus> Dispatcher::Endpoints() const
{
  std::vector<EndpointStatus> statuses;
  for (const auto& shard : shards_) {
    const auto lock = Lock(*shard);
    shard->AddEndpointStatus(statuses);
  }
  return statuses;
}

std::vector<CallerStatus> Dispatcher::Callers() const
{
  std::map<std::string, CallerStatus> statuses;
  for (const auto& shard : shards_) {
    const auto lock = Lock(*shard);
    for (const auto& caller : shard->Queue().Callers()) {
      CallerStatus& status = statuses[caller->Name()];
      status.caller = caller->Name();
      status.weight = caller->Weight();
      status.queued += caller->Queued();
      status.running += caller->running;
      status.slotTime += caller->SlotTime();
    }
  }
  std::vector<CallerStatus> list;
  list.reserve(statuses.size());
  for (auto& [name, status] : statuses) {
    list.push_back(std::move(status));
  }
  return list;
}

Duration Dispatcher::LockWait() const
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::nanoseconds(lockWaitNs_.load()));
}

std::unique_lock<std::mutex> Dispatcher::Lock(Shard& aShard) const
{
  std::unique_lock<std::mutex> lock(aShard.Mutex(), std::try_to_lock);
  if (!lock.owns_lock()) {
    const auto start = std::chrono::steady_clock::now();
    lock.lock();
    lockWaitNs_ += static_cast<std::uint64_t>(
      std::chrono::nanoseconds(std::chrono::steady_clock::now() - start)
        .count());
  }
  return lock;
}

template<typename Decision>
void Dispatcher::Decide(Shard& aShard, TimePoint aNow, Decision&& aDecide)
{
  Detail::DispatcherEffects effects;
  bool isMore = true;
  for (bool isFirst = true; isMore; isFirst = false) {
    {
      const auto lock = Lock(aShard);
      if (isFirst) {
        aDecide(effects);
      }
      isMore = aShard.Place(aNow, !isFirst, effects);
      if (isFirst) {
        aShard.EndDropped(kMostEndedByDecision, effects);
      }
      aShard.UpdateHints();
    }
    Run(effects);
  }
}

void Dispatcher::Run(Detail::DispatcherEffects& aEffects)
{
  for (ActiveRun* run = activeRun; run != nullptr; run = run->outer) {
    if (run->owner == this) {
      MoveInto(run->effects->send, aEffects.send);
      MoveInto(run->effects->end, aEffects.end);
      aEffects.send.clear();
      aEffects.end.clear();
      return;
    }
  }
  Detail::DispatcherEffects later;
  ActiveRun run{ this, &later, activeRun };
  activeRun = &run;
  const auto restore = gsl::finally([&run] { activeRun = run.outer; });
  while (!aEffects.IsEmpty()) {
    for (const Attempt& attempt : aEffects.send) {
      hooks_.counters->Count(Event::AttemptSent);
      hooks_.send(attempt);
    }
    for (Detail::EndedTask& ended : aEffects.end) {
      ended.group->ended(ended.index, std::move(ended.outcome));
    }
    aEffects.send.clear();
    aEffects.end.clear();
    if (!later.IsEmpty()) {
      std::swap(aEffects.send, later.send);
      std::swap(aEffects.end, later.end);
    }
  }
}

std::size_t Dispatcher::FirstShard()
{
  if (shards_.size() == 1) {
    return 0;
  }
  // Each thread goes round shards of its own, as far as there are enough, so
  // that threads seldom wait for each other's locks.
  thread_local const ThreadNumber thread;
  thread_local std::size_t turn = 0;
  const std::size_t threads = std::min(ThreadNumber::Count(), shards_.size());
  const std::size_t first =
    (thread.Value() + threads * turn++) % shards_.size();
  for (std::size_t tried = 0; tried < shards_.size(); ++tried) {
    const std::size_t number = (first + tried) % shards_.size();
    if (shards_[number]->HasFree() && !shards_[number]->HasStarved()) {
      return number;
    }
  }
  return first;
}

Result<void> Dispatcher::Refuse(Error aError)
{
  hooks_.counters->Refused(aError.reason);
  return aError;
}

void Dispatcher::Balance(std::size_t aShard)
{
  const Shard& shard = *shards_[aShard];
  for (std::size_t step = 1; step < shards_.size(); ++step) {
    const std::size_t other = (aShard + step) % shards_.size();
    const Shard& candidate = *shards_[other];
    for (std::size_t round = 0; round < kMostRoundsOfMoves; ++round) {
      bool isMoved = false;
      if (shard.HasStarved() && candidate.HasFree() &&
          !candidate.HasStarved()) {
        isMoved = Move(aShard, other, false);
      } else if (shard.HasFree() && !shard.HasStarved() &&
                 candidate.HasStarved()) {
        isMoved = Move(other, aShard, false);
      }
      if (!isMoved) {
        break;
      }
    }
  }
}

bool Dispatcher::Move(std::size_t aFrom, std::size_t aTo, bool aAnyMoves)
{
  const std::uint64_t version = endpointsVersion_;
  Shard& from = *shards_[aFrom];
  Shard& to = *shards_[aTo];
  std::vector<QueuedTasks> moved;
  {
    const auto lock = Lock(from);
    moved = from.TakeFor(
      aTo, version, std::min(kMostMoved, to.FreeEndpoints()), aAnyMoves);
    from.UpdateHints();
  }
  if (moved.empty()) {
    return false;
  }
  std::vector<QueuedTasks> refused;
  Decide(to, hooks_.clock(), [&](Detail::DispatcherEffects&) {
    for (QueuedTasks& tasks : moved) {
      if (to.HasEligible(tasks.group->spec)) {
        to.Enqueue(std::move(tasks));
      } else {
        refused.push_back(std::move(tasks));
      }
    }
  });
  if (refused.empty()) {
    return true;
  }
  Decide(from, hooks_.clock(), [&](Detail::DispatcherEffects&) {
    for (QueuedTasks& tasks : refused) {
      tasks.barred = tasks.version == version ? tasks.barred : 0;
      tasks.barred |= std::uint64_t{ 1 } << aTo;
      tasks.version = version;
      from.Enqueue(std::move(tasks));
    }
  });
  return refused.size() < moved.size();
}

void Dispatcher::MoveStranded(std::size_t aFrom)
{
  std::vector<QueuedTasks> stranded;
  {
    const auto lock = Lock(*shards_[aFrom]);
    stranded = shards_[aFrom]->TakeStranded(kMostStranded);
    shards_[aFrom]->UpdateHints();
  }
  const TimePoint now = hooks_.clock();
  for (QueuedTasks& tasks : stranded) {
    // The last shard tried is the one that the tasks came from.
    bool isTaken = false;
    for (std::size_t step = 1; step <= shards_.size() && !isTaken; ++step) {
      Shard& to = *shards_[(aFrom + step) % shards_.size()];
      Decide(to, now, [&](Detail::DispatcherEffects&) {
        isTaken = step == shards_.size() || to.HasEligible(tasks.group->spec);
        if (isTaken) {
          to.Enqueue(std::move(tasks));
        }
      });
    }
  }
}

}
