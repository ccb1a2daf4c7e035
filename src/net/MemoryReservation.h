#ifndef HEMLOCKHAVEN_SRC_NET_MEMORYRESERVATION_H
#define HEMLOCKHAVEN_SRC_NET_MEMORYRESERVATION_H

#include "hemlockhaven/core/Result.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace hemlockhaven {

class ConnectionMemory;

enum class ReserveOutcome : std::uint8_t
{
  Reserved,
  Exhausted, //!< Other requests hold the memory at present.
  TooLarge,  //!< The request needs more than any request may have.
};

//! Reserves further bytes for the request that is being handled.
using ReserveHook = std::function<ReserveOutcome(std::size_t aBytes)>;

//! Reserves by the hook; an empty one sets no bound. Errors: BodyTooLarge, and
//! TooManyWaiting with a time to try again.
Result<void> TryReserve(const ReserveHook& aReserve, std::size_t aBytes);

//! Memory that is taken to handle a request, beside what its connection holds.
//! It is part of the budget of all connections until the object ends. Not
//! thread-safe.
class MemoryReservation
{
public:
  //! Without a budget everything is reserved.
  explicit MemoryReservation(std::shared_ptr<ConnectionMemory> aMemory);
  ~MemoryReservation();
  MemoryReservation(const MemoryReservation&) = delete;
  MemoryReservation& operator=(const MemoryReservation&) = delete;

  //! Adds to what is reserved; an outcome other than Reserved adds nothing.
  ReserveOutcome Add(std::size_t aBytes);

  std::size_t Bytes() const { return bytes_; }

private:
  const std::shared_ptr<ConnectionMemory> memory_;
  std::size_t bytes_ = 0;
};

}

#endif
