#include "hemlockhaven/identity/ClaimIndex.h"

#include <algorithm>
#include <string>
#include <utility>

namespace hemlockhaven {

ClaimIndex::ClaimIndex(Incarnation aSelf, std::size_t aMost, GuardHook aGuard)
  : self_(std::move(aSelf))
  , most_(aMost)
  , guard_(std::move(aGuard))
{
}

void ClaimIndex::Apply(LogOffset aOffset, const ClaimBatch& aBatch)
{
  const auto holder = std::make_shared<const Incarnation>(aBatch.holder);
  for (const KeyHash& key : aBatch.keys) {
    const auto [entry, isNew] = entries_.try_emplace(key);
    if (isNew) {
      order_.push_back(key);
      entry->second = { aOffset, holder, 0 };
    } else if (!IsGuardOn(guard_, Guard::FirstClaimWins)) {
      entry->second.holder = holder;
    }
  }
  while (entries_.size() > most_) {
    DropOldest();
  }
}

void ClaimIndex::SkipTo(LogOffset aOffset)
{
  floor_ = std::max(floor_, aOffset);
  // Entries below the floor answer nobody, since their epochs are below it.
  while (!order_.empty() && entries_.at(order_.front()).offset < floor_) {
    DropOldest();
  }
}

void ClaimIndex::DropOldest()
{
  const auto oldest = entries_.find(order_.front());
  floor_ = std::max(floor_, oldest->second.offset + 1);
  entries_.erase(oldest);
  order_.pop_front();
}

ClaimDecision ClaimIndex::Decide(const KeyHash& aKey,
                                 LogOffset aEpoch,
                                 std::uint64_t aSequence)
{
  using Kind = ClaimDecision::Kind;
  if (aEpoch < floor_ && IsGuardOn(guard_, Guard::OldEpochIsUnknown)) {
    return { Kind::EpochTooOld,
             {},
             0,
             "claims are known from epoch " + std::to_string(floor_) +
               " on, found " + std::to_string(aEpoch) };
  }
  const auto found = entries_.find(aKey);
  if (found == entries_.end()) {
    return {};
  }
  Entry& entry = found->second;
  if (*entry.holder != self_) {
    return { Kind::Held, *entry.holder, 0, {} };
  }
  if (entry.sequence != 0 && IsGuardOn(guard_, Guard::IdIsUsedOnce)) {
    return {
      entry.isStarted ? Kind::Held : Kind::Starting, self_, entry.sequence, {}
    };
  }
  if (aEpoch > entry.offset) {
    // The caller read its epoch after its first try, so an earlier claim may
    // lie below the floor.
    return { Kind::EpochTooOld,
             {},
             0,
             "the epoch must be read before the first try with a key; it is "
             "above the claim at " +
               std::to_string(entry.offset) };
  }
  entry.sequence = aSequence;
  return { Kind::Won, self_, aSequence, {} };
}

void ClaimIndex::MarkStarted(const KeyHash& aKey)
{
  const auto found = entries_.find(aKey);
  if (found != entries_.end()) {
    found->second.isStarted = true;
  }
}

void ClaimIndex::Release(const KeyHash& aKey)
{
  const auto found = entries_.find(aKey);
  if (found != entries_.end()) {
    found->second.sequence = 0;
    found->second.isStarted = false;
  }
}

}
