#include "net/MemoryReservation.h"

#include "net/ConnectionMemory.h"

#include <chrono>
#include <utility>

namespace hemlockhaven {

Result<void> TryReserve(const ReserveHook& aReserve, std::size_t aBytes)
{
  switch (aReserve ? aReserve(aBytes) : ReserveOutcome::Reserved) {
    case ReserveOutcome::Reserved:
      break;
    case ReserveOutcome::Exhausted:
      return Error::NotRun("reserve memory",
                           Reason::TooManyWaiting,
                           "requests hold too much memory",
                           std::chrono::seconds(1));
    case ReserveOutcome::TooLarge:
      return Error::NotRun("reserve memory",
                           Reason::BodyTooLarge,
                           "the request needs too much memory");
  }
  return outcome::success();
}

MemoryReservation::MemoryReservation(std::shared_ptr<ConnectionMemory> aMemory)
  : memory_(std::move(aMemory))
{
}

MemoryReservation::~MemoryReservation()
{
  if (memory_ && bytes_ > 0) {
    memory_->Unreserve(bytes_);
  }
}

ReserveOutcome MemoryReservation::Add(std::size_t aBytes)
{
  if (memory_) {
    if (bytes_ + aBytes > memory_->MaxReservationBytes()) {
      return ReserveOutcome::TooLarge;
    }
    if (!memory_->Reserve(aBytes, bytes_ + aBytes)) {
      return ReserveOutcome::Exhausted;
    }
  }
  bytes_ += aBytes;
  return ReserveOutcome::Reserved;
}

}
