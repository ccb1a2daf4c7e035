#ifndef HEMLOCKHAVEN_IDENTITY_CLAIMINDEX_H
#define HEMLOCKHAVEN_IDENTITY_CLAIMINDEX_H

#include "hemlockhaven/core/Guard.h"
#include "hemlockhaven/identity/ClaimBatch.h"
#include "hemlockhaven/platform/LogHooks.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

namespace hemlockhaven {

//! Who holds a key, as far as the log was read.
struct ClaimDecision
{
  enum class Kind : std::uint8_t
  {
    Undecided, //!< No claim was read yet.
    Won,       //!< Whoever asked starts the submission, now.
    //! Held by this incarnation, which has not started the submission yet: it
    //! cannot be found under its id.
    Starting,
    Held,           //!< By `holder`.
    EpochTooOld,    //!< Whether the key ran is unknown.
    LogUnavailable, //!< Nothing was started.
  };

  Kind kind = Kind::Undecided;
  Incarnation holder;
  //! Local sequence of the submission if the holder is this incarnation.
  std::uint64_t sequence = 0;
  std::string detail; //!< For the last two kinds.
};

//! The first claim of each key that this daemon has read, in log order.
//!
//! All claims of a key lie at or after the epoch that its caller brings. So
//! with an epoch at or above the floor the indexed claim is the first one, and
//! below the floor nothing is known. It has no lock.
class ClaimIndex
{
public:
  ClaimIndex(Incarnation aSelf, std::size_t aMost, GuardHook aGuard);

  //! Adds the claims of a record; a key that is present keeps its holder.
  void Apply(LogOffset aOffset, const ClaimBatch& aBatch);

  //! Raises the floor over records that were not read.
  void SkipTo(LogOffset aOffset);

  //! If the holder is this incarnation and has not started the key, the first
  //! call wins and binds aSequence to the key. Others are told Starting until
  //! MarkStarted or Release.
  ClaimDecision Decide(const KeyHash& aKey,
                       LogOffset aEpoch,
                       std::uint64_t aSequence);

  //! The submission of a won key can be found under its id.
  void MarkStarted(const KeyHash& aKey);

  //! Lets the key be won again. Only if nothing of it started or will start.
  void Release(const KeyHash& aKey);

  bool Contains(const KeyHash& aKey) const { return entries_.count(aKey) != 0; }

  //! First offset from which all claims are indexed.
  LogOffset Floor() const { return floor_; }

  std::size_t Size() const { return entries_.size(); }

private:
  struct Entry
  {
    LogOffset offset = 0;
    std::shared_ptr<const Incarnation> holder; //!< Shared by a record's keys.
    std::uint64_t sequence = 0; //!< 0: not won by this incarnation.
    bool isStarted = false;
  };

  void DropOldest();

  Incarnation self_;
  std::size_t most_;
  GuardHook guard_;
  LogOffset floor_ = 0;
  std::unordered_map<KeyHash, Entry, KeyHashHasher> entries_;
  std::deque<KeyHash> order_; //!< Keys of entries_ by offset.
};

}

#endif
