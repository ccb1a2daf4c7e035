#include "http/EndpointIo.h"

#include "http/EndpointConnection.h"

#include "hemlockhaven/metrics/Counters.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace hemlockhaven::Detail {

namespace {

// Waiting attempts end within this time after their limit.
constexpr Duration kWaitingSweep = std::chrono::milliseconds(50);
// Idle connections that the endpoint closed are dropped within this time; one
// that is used sooner is checked before its use.
constexpr Duration kIdleSweep = std::chrono::seconds(1);

void Remove(std::vector<EndpointPool::ConnectionPtr>& aFrom,
            const EndpointPool::ConnectionPtr& aConnection)
{
  const auto at = std::find(aFrom.begin(), aFrom.end(), aConnection);
  if (at != aFrom.end()) {
    aFrom.erase(at);
  }
}

}

EndpointIo::EndpointIo(const EndpointClientLimits& aLimits,
                       std::string aAttemptPrefix,
                       Counters& aCounters,
                       EndpointClient::Finished aFinished)
  : limits_(aLimits)
  , attemptPrefix_(std::move(aAttemptPrefix))
  , counters_(aCounters)
  , finished_(std::move(aFinished))
  , thread_([this] { context_.run(); })
{
}

EndpointIo::~EndpointIo()
{
  Stop();
}

void EndpointIo::Post(const Attempt& aAttempt)
{
  const TimePoint deadline = SteadyNow() + aAttempt.limit;
  bool isFirst = false;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!isStopped_) {
      inbox_.push_back({ aAttempt, deadline });
      isFirst = !std::exchange(isDrainPosted_, true);
      if (!isFirst) {
        return;
      }
    }
  }
  if (isFirst) {
    boost::asio::post(context_, [this] { Drain(); });
  } else {
    FinishStopped(aAttempt.id);
  }
}

void EndpointIo::Stop()
{
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (std::exchange(isStopped_, true)) {
      return;
    }
  }
  boost::asio::post(context_, [this] { EndAll(); });
  thread_.join();
}

void EndpointIo::Drain()
{
  std::vector<PendingAttempt> attempts;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    attempts.swap(inbox_);
    isDrainPosted_ = false;
  }
  for (PendingAttempt& pending : attempts) {
    Start(std::move(pending), false);
  }
}

void EndpointIo::EndAll()
{
  stopping_ = true;
  Drain();
  for (auto& [id, pool] : pools_) {
    while (!pool.waiting.empty()) {
      const AttemptId attempt = pool.waiting.front().attempt.id;
      pool.waiting.pop_front();
      FinishStopped(attempt);
    }
    // Closing changes the list, so a copy is walked.
    const auto connections = pool.all;
    for (const ConnectionPtr& connection : connections) {
      connection->Abort();
    }
  }
  sweepTimer_.cancel();
  work_.reset();
}

void EndpointIo::Start(PendingAttempt&& aPending, bool aFresh)
{
  if (stopping_) {
    FinishStopped(aPending.attempt.id);
    return;
  }
  EndpointPool& pool = pools_[aPending.attempt.endpoint];
  UseAddress(pool, aPending.attempt);
  if (!aFresh) {
    const ConnectionPtr idle = TakeIdle(pool);
    if (idle) {
      idle->Run(std::move(aPending));
      return;
    }
  }
  if (pool.all.size() >= limits_.connectionsPerEndpoint) {
    pool.waiting.push_back(std::move(aPending));
    ScheduleSweep(kWaitingSweep);
    return;
  }
  const auto connection = std::make_shared<EndpointConnection>(*this, pool);
  pool.all.push_back(connection);
  connection->Run(std::move(aPending));
}

void EndpointIo::UseAddress(EndpointPool& aPool, const Attempt& aAttempt)
{
  if (aPool.address == aAttempt.address && aPool.port == aAttempt.port) {
    return;
  }
  aPool.address = aAttempt.address;
  aPool.port = aAttempt.port;
  ++aPool.generation;
  const auto idle = std::move(aPool.idle);
  aPool.idle.clear();
  for (const ConnectionPtr& connection : idle) {
    connection->Close();
    Remove(aPool.all, connection);
  }
}

EndpointIo::ConnectionPtr EndpointIo::TakeIdle(EndpointPool& aPool)
{
  while (!aPool.idle.empty()) {
    ConnectionPtr connection = std::move(aPool.idle.back());
    aPool.idle.pop_back();
    if (connection->IsQuiet()) {
      return connection;
    }
    counters_.Count(Event::ConnectionReplaced);
    connection->Close();
    Remove(aPool.all, connection);
  }
  return nullptr;
}

void EndpointIo::OnIdle(const ConnectionPtr& aConnection)
{
  EndpointPool& pool = aConnection->Pool();
  if (aConnection->Generation() != pool.generation) {
    aConnection->Close();
    OnClosed(aConnection);
    return;
  }
  pool.idle.push_back(aConnection);
  ScheduleSweep(kIdleSweep);
  ServeWaiting(pool);
}

void EndpointIo::OnClosed(const ConnectionPtr& aConnection)
{
  EndpointPool& pool = aConnection->Pool();
  Remove(pool.all, aConnection);
  Remove(pool.idle, aConnection);
  ServeWaiting(pool);
}

void EndpointIo::Replace(const ConnectionPtr& aClosed,
                         PendingAttempt&& aPending)
{
  // The attempt takes the place before a waiting one can.
  EndpointPool& pool = aClosed->Pool();
  Remove(pool.all, aClosed);
  Start(std::move(aPending), true);
}

void EndpointIo::DropUnprobed(EndpointPool& aPool)
{
  const TimePoint now = SteadyNow();
  const auto idle = aPool.idle;
  for (const ConnectionPtr& connection : idle) {
    if (now - connection->IdleSince() >= limits_.probeAfterIdle) {
      counters_.Count(Event::ConnectionReplaced);
      connection->Close();
      Remove(aPool.all, connection);
      Remove(aPool.idle, connection);
    }
  }
}

void EndpointIo::ServeWaiting(EndpointPool& aPool)
{
  if (stopping_ || aPool.waiting.empty()) {
    return;
  }
  PendingAttempt pending = std::move(aPool.waiting.front());
  aPool.waiting.pop_front();
  Start(std::move(pending), false);
}

void EndpointIo::ScheduleSweep(Duration aIn)
{
  const TimePoint at = SteadyNow() + aIn;
  if (stopping_ || sweepAt_ <= at) {
    return;
  }
  sweepAt_ = at;
  sweepTimer_.expires_at(at);
  sweepTimer_.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      Sweep();
    }
  });
}

void EndpointIo::Sweep()
{
  sweepAt_ = TimePoint::max();
  const TimePoint now = SteadyNow();
  bool isAnyWaiting = false;
  bool isAnyIdle = false;
  for (auto at = pools_.begin(); at != pools_.end();) {
    EndpointPool& pool = at->second;
    SweepWaiting(pool, now);
    SweepIdle(pool, now);
    isAnyWaiting = isAnyWaiting || !pool.waiting.empty();
    isAnyIdle = isAnyIdle || !pool.idle.empty();
    const bool isUnused = pool.all.empty() && pool.waiting.empty();
    at = isUnused ? pools_.erase(at) : std::next(at);
  }
  if (isAnyWaiting) {
    ScheduleSweep(kWaitingSweep);
  } else if (isAnyIdle) {
    ScheduleSweep(kIdleSweep);
  }
}

void EndpointIo::SweepWaiting(EndpointPool& aPool, TimePoint aNow)
{
  // Limits differ, so an attempt behind the first may pass its limit earlier.
  std::vector<AttemptId> passed;
  for (auto at = aPool.waiting.begin(); at != aPool.waiting.end();) {
    if (at->deadline <= aNow) {
      passed.push_back(at->attempt.id);
      at = aPool.waiting.erase(at);
    } else {
      ++at;
    }
  }
  for (const AttemptId id : passed) {
    Finish(id,
           { AttemptEnd::NotStarted,
             Reason::AttemptTimeout,
             "",
             "no connection was free within the attempt's limit" });
  }
}

void EndpointIo::SweepIdle(EndpointPool& aPool, TimePoint aNow)
{
  const auto idle = aPool.idle;
  for (const ConnectionPtr& connection : idle) {
    if (aNow - connection->IdleSince() >= limits_.idleLimit ||
        !connection->IsQuiet()) {
      connection->Close();
      Remove(aPool.all, connection);
      Remove(aPool.idle, connection);
    }
  }
}

void EndpointIo::FinishStopped(AttemptId aId)
{
  Finish(
    aId,
    { AttemptEnd::Unknown, Reason::ShuttingDown, "", "the client stopped" });
}

void EndpointIo::Finish(AttemptId aId, AttemptResult&& aResult)
{
  finished_(aId, std::move(aResult));
}

}
