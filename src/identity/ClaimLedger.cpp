#include "hemlockhaven/identity/ClaimLedger.h"

#include <algorithm>
#include <utility>

namespace hemlockhaven {

using Kind = ClaimDecision::Kind;

namespace {

//! Claim appends a second of all daemons together; the rest of the log's
//! several hundred is left to history and configuration.
constexpr std::int64_t kAppendsPerSecond = 200;

Duration IntervalOf(std::size_t aDaemons)
{
  return Duration(std::chrono::seconds(1)) *
         static_cast<std::int64_t>(std::max<std::size_t>(aDaemons, 1)) /
         kAppendsPerSecond;
}

// Not "not run": an earlier submission of the key may have run at another
// daemon, whose claim was not read here. Trying again under the same key and
// epoch is safe.
Error LogUnavailable(std::string_view aDetail)
{
  return Error::Unknown(
    "claim", "", Reason::ClaimLogUnavailable, aDetail, std::chrono::seconds(1));
}

//! Whether waiting may change the decision.
bool IsOpen(const ClaimDecision& aDecision)
{
  return aDecision.kind == Kind::Undecided || aDecision.kind == Kind::Starting;
}

Result<ClaimAnswer> AnswerOf(ClaimDecision&& aDecision)
{
  switch (aDecision.kind) {
    case Kind::Won:
    case Kind::Held:
      return ClaimAnswer{ aDecision.kind == Kind::Won,
                          std::move(aDecision.holder),
                          aDecision.sequence };
    case Kind::EpochTooOld:
      return Error::Unknown(
        "claim", "", Reason::KeyEpochTooOld, aDecision.detail);
    case Kind::LogUnavailable:
      return LogUnavailable(aDecision.detail);
    case Kind::Starting:
      return LogUnavailable("the submission of the key has not started yet");
    case Kind::Undecided:
      break;
  }
  return LogUnavailable("the claim was not read back within the time limit");
}

}

ClaimLedger::ClaimLedger(Options aOptions)
  : options_(std::move(aOptions))
  , index_(options_.self, options_.entries, options_.guard)
  , interval_(IntervalOf(1))
  , nextAppend_(options_.clock())
{
}

ClaimDecision ClaimLedger::Decide(const KeyHash& aKey,
                                  LogOffset aEpoch,
                                  std::uint64_t aSequence)
{
  if (stopping_) {
    return { Kind::LogUnavailable, {}, 0, "the daemon stops" };
  }
  if (!position_) {
    return { Kind::LogUnavailable, {}, 0, "the log was not read yet" };
  }
  return index_.Decide(aKey, aEpoch, aSequence);
}

ClaimLedger::Wanted& ClaimLedger::Want(const KeyHash& aKey)
{
  const auto [wanted, isNew] = wanted_.try_emplace(aKey);
  if (isNew || wanted->second.failed) {
    wanted->second.queued = true;
    wanted->second.failed = false;
    queue_.push_back(aKey);
    due_.notify_one();
  }
  return wanted->second;
}

void ClaimLedger::StopWaiting(const KeyHash& aKey)
{
  const auto wanted = wanted_.find(aKey);
  if (wanted != wanted_.end() && --wanted->second.waiters == 0) {
    wanted_.erase(wanted);
  }
}

Result<ClaimAnswer> ClaimLedger::Claim(const KeyHash& aKey,
                                       LogOffset aEpoch,
                                       std::uint64_t aSequence)
{
  const auto deadline = std::chrono::steady_clock::now() + options_.limit;
  std::unique_lock<std::mutex> lock(mutex_);
  ClaimDecision decision = Decide(aKey, aEpoch, aSequence);
  if (!IsOpen(decision)) {
    return AnswerOf(std::move(decision));
  }
  const bool isWanted = decision.kind == Kind::Undecided;
  if (isWanted) {
    ++Want(aKey).waiters;
  }
  for (bool inTime = true; IsOpen(decision) && inTime;) {
    inTime = decided_.wait_until(lock, deadline) == std::cv_status::no_timeout;
    decision = Decide(aKey, aEpoch, aSequence);
    const auto wanted = wanted_.find(aKey);
    if (decision.kind == Kind::Undecided && wanted != wanted_.end() &&
        wanted->second.failed) {
      decision.kind = Kind::LogUnavailable;
      decision.detail = "the log refused the append";
    }
  }
  if (isWanted) {
    StopWaiting(aKey);
  }
  return AnswerOf(std::move(decision));
}

ClaimDecision ClaimLedger::Ask(const KeyHash& aKey,
                               LogOffset aEpoch,
                               std::uint64_t aSequence)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  ClaimDecision decision = Decide(aKey, aEpoch, aSequence);
  if (decision.kind == Kind::Undecided) {
    Want(aKey);
  }
  return decision;
}

void ClaimLedger::MarkStarted(const KeyHash& aKey)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  index_.MarkStarted(aKey);
  decided_.notify_all();
}

void ClaimLedger::Release(const KeyHash& aKey)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  index_.Release(aKey);
  decided_.notify_all();
}

Result<LogOffset> ClaimLedger::CurrentEpoch() const
{
  const std::lock_guard<std::mutex> lock(mutex_);
  if (!position_) {
    return LogUnavailable("the log was not read yet");
  }
  return *position_;
}

LogOffset ClaimLedger::Floor() const
{
  const std::lock_guard<std::mutex> lock(mutex_);
  return index_.Floor();
}

void ClaimLedger::SetDaemonCount(std::size_t aCount)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  interval_ = IntervalOf(aCount);
}

std::optional<ClaimBatch> ClaimLedger::TakeBatch()
{
  const TimePoint now = options_.clock();
  const std::lock_guard<std::mutex> lock(mutex_);
  return now < nextAppend_ ? std::nullopt : TakeDue();
}

std::optional<ClaimBatch> ClaimLedger::TakeDue()
{
  if (inFlight_ || stopping_) {
    return std::nullopt;
  }
  ClaimBatch batch;
  while (!queue_.empty() && batch.keys.size() < options_.batchKeys) {
    const auto wanted = wanted_.find(queue_.front());
    // A key may have been decided or given up since it was queued.
    if (wanted != wanted_.end() && wanted->second.queued &&
        !index_.Contains(queue_.front())) {
      wanted->second.queued = false;
      batch.keys.push_back(queue_.front());
    }
    queue_.pop_front();
  }
  if (batch.keys.empty()) {
    return std::nullopt;
  }
  batch.holder = options_.self;
  batch.nonce = options_.random ? options_.random() : 0;
  inFlight_ = true;
  return batch;
}

std::optional<ClaimBatch> ClaimLedger::AwaitBatch()
{
  std::unique_lock<std::mutex> lock(mutex_);
  for (;;) {
    due_.wait(lock,
              [this] { return stopping_ || (!queue_.empty() && !inFlight_); });
    if (stopping_) {
      return std::nullopt;
    }
    if (due_.wait_until(lock, nextAppend_, [this] { return stopping_; })) {
      return std::nullopt;
    }
    if (auto batch = TakeDue()) {
      return batch;
    }
  }
}

void ClaimLedger::BatchEnded(const ClaimBatch& aBatch,
                             const Result<LogOffset>& aOffset)
{
  const TimePoint now = options_.clock();
  const std::lock_guard<std::mutex> lock(mutex_);
  inFlight_ = false;
  nextAppend_ = now + interval_;
  if (aOffset.has_error()) {
    nextAppend_ = now + std::max(interval_, options_.settle);
    const bool isLost = aOffset.error().ran != Ran::NotRun;
    for (const KeyHash& key : aBatch.keys) {
      const auto wanted = wanted_.find(key);
      if (wanted == wanted_.end() || wanted->second.queued) {
        continue;
      }
      if (isLost) {
        wanted->second.queued = true;
        queue_.push_back(key);
      } else if (wanted->second.waiters == 0) {
        wanted_.erase(wanted);
      } else {
        wanted->second.failed = true;
      }
    }
    decided_.notify_all();
  }
  due_.notify_one();
}

void ClaimLedger::Stop()
{
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  decided_.notify_all();
  due_.notify_all();
}

void ClaimLedger::OnRecord(LogOffset aOffset, const ClaimBatch& aBatch)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  index_.Apply(aOffset, aBatch);
  for (const KeyHash& key : aBatch.keys) {
    const auto wanted = wanted_.find(key);
    if (wanted != wanted_.end() && wanted->second.waiters == 0) {
      wanted_.erase(wanted);
    }
  }
  decided_.notify_all();
}

void ClaimLedger::OnGap(LogOffset /*aFrom*/, LogOffset aTo)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  index_.SkipTo(aTo);
  decided_.notify_all();
}

void ClaimLedger::OnPosition(const LogPosition& aPosition)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  position_ = aPosition.position;
}

}
