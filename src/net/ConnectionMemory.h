#ifndef HEMLOCKHAVEN_SRC_NET_CONNECTIONMEMORY_H
#define HEMLOCKHAVEN_SRC_NET_CONNECTIONMEMORY_H

#include "hemlockhaven/core/Time.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace hemlockhaven {

//! What a connection does at present.
enum class ConnectionPhase : std::uint8_t
{
  Silent,     //!< No byte of a first request has arrived.
  Idle,       //!< Between two requests.
  Receiving,  //!< A request has begun and is not complete.
  Waiting,    //!< A complete request waits for its reply.
  Answering,  //!< The reply is being written.
  Discarding, //!< The reply was a refusal; further input is discarded.
};

//! Why a connection has to give way.
enum class GiveWayCause : std::uint8_t
{
  BudgetExhausted,
  ListenerFull,
};

//! The memory that the connections of a process hold, and the choice of those
//! that give way when it exceeds the budget, or when all connections of a
//! listener are taken. Performs no I/O. Thread-safe: sharded by connection, one
//! lock for each shard, and no hook is called under a lock.
class ConnectionMemory
{
public:
  using ConnectionId = std::uint64_t;
  //! Tells listeners apart.
  using ListenerId = const void*;
  //! Asks a connection to release its memory. May be called by any thread,
  //! also after Close has begun.
  using GiveWayHook = std::function<void(GiveWayCause)>;
  //! Returns freed memory to the system. May be called by any thread.
  using ReturnFreedHook = std::function<void()>;

  //! The hook is called each time that connections have released an eighth of
  //! the budget in large blocks.
  explicit ConnectionMemory(std::size_t aBudgetBytes,
                            ReturnFreedHook aReturnFreed = nullptr);

  ConnectionId Open(ListenerId aListener, TimePoint aNow, GiveWayHook aHook);
  void Close(ConnectionId aId);

  //! Records what the connection holds. While the total exceeds the budget,
  //! unfinished requests give way, then replies that are not read. Returns
  //! false if this connection is to give way; only one that receives can be.
  //! It also is if those that give way have not released enough memory yet.
  [[nodiscard]] bool Update(ConnectionId aId,
                            ConnectionPhase aPhase,
                            std::size_t aBytes,
                            TimePoint aNow);

  //! Makes one connection of the listener give way to a new one. Returns
  //! whether there was one that may.
  bool MakeRoom(ListenerId aListener, TimePoint aNow);

  //! Adds memory beside what connections hold, for a request that has reserved
  //! aTotalBytes with it. Unfinished requests and replies that are not read
  //! give way if they hold as much. Returns false, and adds nothing, if that
  //! does not suffice.
  [[nodiscard]] bool Reserve(std::size_t aBytes, std::size_t aTotalBytes);
  void Unreserve(std::size_t aBytes);
  //! The most that one request may reserve. With the largest body it fits into
  //! the budget.
  std::size_t MaxReservationBytes() const { return budget_ / 8 * 5; }

  //! Includes what connections hold that have been asked to give way.
  std::size_t ChargedBytes() const { return charged_; }
  std::size_t BudgetBytes() const { return budget_; }

private:
  struct Connection
  {
    ListenerId listener = nullptr;
    ConnectionPhase phase = ConnectionPhase::Silent;
    std::size_t bytes = 0;
    TimePoint since{}; //!< Start of the phase.
    bool yields = false;
    GiveWayHook hook;
  };

  struct Shard
  {
    mutable std::mutex mutex;
    std::unordered_map<ConnectionId, Connection> connections;
  };

  //! A connection that may give way, with what the choice depends on.
  struct Candidate
  {
    ConnectionId id = 0;
    unsigned rank = 0;
    unsigned sizeClass = 0;
    TimePoint since{};
    ConnectionPhase phase = ConnectionPhase::Silent;
  };

  //! Rank of a connection, higher ones give way first; 0: it may not.
  using RankHook = std::function<unsigned(ConnectionId, const Connection&)>;

  Shard& ShardOf(ConnectionId aId);
  //! Without what connections hold that give way.
  bool IsOverBudget() const;
  //! With what connections hold that give way.
  bool IsFarOverBudget() const;
  //! Lets connections give way until the total is within the budget. Returns
  //! false if aId is the next to give way, or no connection is left.
  bool FreeBudget(const RankHook& aRank, ConnectionId aId);
  std::optional<Candidate> Choose(const RankHook& aRank) const;
  void Yield(const Candidate& aCandidate, GiveWayCause aCause);
  //! To be called without a lock.
  void CountReleased(std::size_t aBytes);

  const std::size_t budget_;
  const ReturnFreedHook returnFreed_;
  std::atomic<std::size_t> charged_{ 0 };
  std::atomic<std::size_t> yielding_{ 0 }; //!< Part of charged_.
  std::atomic<std::size_t> released_{ 0 }; //!< Since the last hook.
  std::atomic<ConnectionId> lastId_{ 0 };
  std::array<Shard, 8> shards_;
};

}

#endif
