#include "net/ConnectionMemory.h"

#include <tuple>
#include <utility>

namespace hemlockhaven {

namespace {

//! Requests up to the usual limit of a header count as equally large, so that
//! the slowest of them gives way and not the one that has just arrived.
constexpr std::size_t kSmallBytes = 32768;

//! Connections that give way may exceed the budget by this part of it. On other
//! threads they release their memory a little later.
constexpr std::size_t kOvershootDivisor = 8;

//! Freed memory is returned to the system in parts of the budget.
constexpr std::size_t kReturnDivisor = 8;

//! A client has 3 s for its header. One that has not sent a byte for longer
//! than this may give way to a new connection.
constexpr Duration kMaxSilence{ 4000000 };

//! Doubles from class to class.
unsigned SizeClass(std::size_t aBytes)
{
  unsigned sizeClass = 0;
  for (std::size_t limit = kSmallBytes; limit < aBytes && limit != 0;
       limit *= 2) {
    ++sizeClass;
  }
  return sizeClass;
}

}

ConnectionMemory::ConnectionMemory(std::size_t aBudgetBytes,
                                   ReturnFreedHook aReturnFreed)
  : budget_(aBudgetBytes)
  , returnFreed_(std::move(aReturnFreed))
{
}

void ConnectionMemory::CountReleased(std::size_t aBytes)
{
  // Ordinary requests are smaller. The allocator reuses what they free.
  if (aBytes < kSmallBytes || !returnFreed_) {
    return;
  }
  if (released_.fetch_add(aBytes) + aBytes >= budget_ / kReturnDivisor) {
    released_ = 0;
    returnFreed_();
  }
}

ConnectionMemory::Shard& ConnectionMemory::ShardOf(ConnectionId aId)
{
  return shards_[aId % shards_.size()];
}

bool ConnectionMemory::IsOverBudget() const
{
  const std::size_t yielding = yielding_;
  const std::size_t charged = charged_;
  return charged > yielding && charged - yielding > budget_;
}

bool ConnectionMemory::IsFarOverBudget() const
{
  return charged_ > budget_ + budget_ / kOvershootDivisor;
}

ConnectionMemory::ConnectionId ConnectionMemory::Open(ListenerId aListener,
                                                      TimePoint aNow,
                                                      GiveWayHook aHook)
{
  const ConnectionId id = ++lastId_;
  Connection connection;
  connection.listener = aListener;
  connection.since = aNow;
  connection.hook = std::move(aHook);
  Shard& shard = ShardOf(id);
  const std::lock_guard<std::mutex> lock(shard.mutex);
  shard.connections.emplace(id, std::move(connection));
  return id;
}

void ConnectionMemory::Close(ConnectionId aId)
{
  GiveWayHook hook; // Destroyed after the lock is released.
  Shard& shard = ShardOf(aId);
  const std::lock_guard<std::mutex> lock(shard.mutex);
  const auto found = shard.connections.find(aId);
  if (found == shard.connections.end()) {
    return;
  }
  Connection& connection = found->second;
  charged_ -= connection.bytes;
  yielding_ -= connection.yields ? connection.bytes : 0;
  hook = std::move(connection.hook);
  shard.connections.erase(found);
}

bool ConnectionMemory::Update(ConnectionId aId,
                              ConnectionPhase aPhase,
                              std::size_t aBytes,
                              TimePoint aNow)
{
  const bool receives = aPhase == ConnectionPhase::Receiving;
  std::size_t released = 0;
  bool yields = false;
  bool grows = false;
  {
    Shard& shard = ShardOf(aId);
    const std::lock_guard<std::mutex> lock(shard.mutex);
    const auto found = shard.connections.find(aId);
    if (found == shard.connections.end()) {
      return false;
    }
    Connection& connection = found->second;
    yields = connection.yields && receives;
    grows = aBytes > connection.bytes;
    if (yields && grows) {
      return false;
    }
    released = grows ? 0 : connection.bytes - aBytes;
    yielding_ -= connection.yields ? connection.bytes : 0;
    yielding_ += yields ? aBytes : 0;
    connection.yields = yields;
    charged_ += aBytes - connection.bytes; // May wrap around; the sum does not.
    connection.bytes = aBytes;
    if (connection.phase != aPhase) {
      connection.phase = aPhase;
      connection.since = aNow;
    }
  }
  CountReleased(released);
  if (yields || !grows) {
    return !yields;
  }
  const bool isWithin = FreeBudget(
    [aId, receives](ConnectionId aOther, const Connection& aConnection) {
      if (aConnection.phase == ConnectionPhase::Receiving) {
        return 2U;
      }
      const bool isUnread = aConnection.phase == ConnectionPhase::Answering;
      // A request that is not complete gives way before any reply does.
      return isUnread && aOther != aId && !receives ? 1U : 0U;
    },
    aId);
  return !receives || (isWithin && !IsFarOverBudget());
}

bool ConnectionMemory::FreeBudget(const RankHook& aRank, ConnectionId aId)
{
  while (IsOverBudget()) {
    const auto candidate = Choose(aRank);
    if (!candidate || candidate->id == aId) {
      return false;
    }
    Yield(*candidate, GiveWayCause::BudgetExhausted);
  }
  return true;
}

bool ConnectionMemory::Reserve(std::size_t aBytes, std::size_t aTotalBytes)
{
  const auto rank = [aTotalBytes](ConnectionId /*aOther*/,
                                  const Connection& aConnection) {
    if (aConnection.bytes < aTotalBytes) {
      return 0U; // Small requests do not give way to a large document.
    }
    if (aConnection.phase == ConnectionPhase::Receiving) {
      return 2U;
    }
    return aConnection.phase == ConnectionPhase::Answering ? 1U : 0U;
  };
  for (;;) {
    std::size_t charged = charged_;
    // Added only if it fits, so that others are not refused meanwhile.
    if (charged + aBytes <= budget_ + yielding_ &&
        charged + aBytes <= budget_ + budget_ / kOvershootDivisor) {
      if (charged_.compare_exchange_weak(charged, charged + aBytes)) {
        return true;
      }
      continue;
    }
    const auto candidate = Choose(rank);
    if (!candidate) {
      return false;
    }
    Yield(*candidate, GiveWayCause::BudgetExhausted);
  }
}

void ConnectionMemory::Unreserve(std::size_t aBytes)
{
  charged_ -= aBytes;
  CountReleased(aBytes);
}

bool ConnectionMemory::MakeRoom(ListenerId aListener, TimePoint aNow)
{
  const auto candidate =
    Choose([aListener, aNow](ConnectionId, const Connection& aConnection) {
      if (aConnection.listener != aListener) {
        return 0U;
      }
      switch (aConnection.phase) {
        case ConnectionPhase::Discarding:
          return 3U;
        case ConnectionPhase::Receiving:
          return 2U;
        case ConnectionPhase::Silent:
          return aNow - aConnection.since > kMaxSilence ? 1U : 0U;
        default:
          return 0U;
      }
    });
  if (candidate) {
    Yield(*candidate, GiveWayCause::ListenerFull);
  }
  return candidate.has_value();
}

std::optional<ConnectionMemory::Candidate> ConnectionMemory::Choose(
  const RankHook& aRank) const
{
  std::optional<Candidate> best;
  for (const Shard& shard : shards_) {
    const std::lock_guard<std::mutex> lock(shard.mutex);
    for (const auto& [id, connection] : shard.connections) {
      const unsigned rank = connection.yields ? 0 : aRank(id, connection);
      if (rank == 0) {
        continue;
      }
      const Candidate candidate{ id,
                                 rank,
                                 SizeClass(connection.bytes),
                                 connection.since,
                                 connection.phase };
      // Ids increase, so that they decide in the order of arrival.
      if (!best ||
          std::tie(candidate.rank, candidate.sizeClass, best->since, best->id) >
            std::tie(
              best->rank, best->sizeClass, candidate.since, candidate.id)) {
        best = candidate;
      }
    }
  }
  return best;
}

void ConnectionMemory::Yield(const Candidate& aCandidate, GiveWayCause aCause)
{
  GiveWayHook hook;
  {
    Shard& shard = ShardOf(aCandidate.id);
    const std::lock_guard<std::mutex> lock(shard.mutex);
    const auto found = shard.connections.find(aCandidate.id);
    // Another thread may have closed it or completed its request since.
    if (found == shard.connections.end() || found->second.yields ||
        found->second.phase != aCandidate.phase) {
      return;
    }
    found->second.yields = true;
    yielding_ += found->second.bytes;
    hook = found->second.hook;
  }
  hook(aCause);
}

}
