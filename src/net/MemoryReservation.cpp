#include "net/MemoryReservation.h"

#include "net/ConnectionMemory.h"

#include <utility>

namespace hemlockhaven {

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
