#ifndef HEMLOCKHAVEN_IDENTITY_CLAIMLEDGER_H
#define HEMLOCKHAVEN_IDENTITY_CLAIMLEDGER_H

#include "hemlockhaven/core/Result.h"
#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/identity/ClaimIndex.h"
#include "hemlockhaven/platform/LogReader.h"

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace hemlockhaven {

//! Who holds a key.
struct ClaimAnswer
{
  bool won = false; //!< The caller of Claim starts the submission, now.
  Incarnation holder;
  //! Local sequence of the submission if the holder is this incarnation.
  std::uint64_t sequence = 0;
};

//! Claims of callers' own keys through the log. Thread-safe.
//!
//! Calls of Claim queue their keys; a ClaimAppender takes them in batches, at
//! most one append in flight; the reader of the log applies what it reads.
//! Only a read record decides, so a lost answer of an append is settled by
//! reading on. Appending a claim twice is harmless, because the first counts.
class ClaimLedger
{
public:
  struct Options
  {
    Incarnation self;
    std::size_t entries = 200000;                     //!< Bound of the index.
    std::size_t batchKeys = 512;                      //!< Keys in an append.
    Duration limit = std::chrono::seconds(2);         //!< Wait of a Claim.
    Duration settle = std::chrono::milliseconds(200); //!< See BatchEnded.
    Clock clock = SteadyNow;
    std::function<std::uint64_t()> random; //!< For nonces.
    GuardHook guard;
  };

  explicit ClaimLedger(Options aOptions);

  //! Claims the key for the local submission aSequence, which is not 0, and
  //! waits until the log has decided and a submission that was won here has
  //! started. MarkStarted or Release must follow a won claim. Errors:
  //! key-epoch-too-old (unknown), claim-log-unavailable (unknown; the claim may
  //! be in the log, but only a later call of Claim can start it).
  Result<ClaimAnswer> Claim(const KeyHash& aKey,
                            LogOffset aEpoch,
                            std::uint64_t aSequence);

  //! As Claim without waiting. An undecided key is queued for an append.
  ClaimDecision Ask(const KeyHash& aKey,
                    LogOffset aEpoch,
                    std::uint64_t aSequence);

  //! After a won claim: its submission can be found under its id now.
  void MarkStarted(const KeyHash& aKey);

  //! After a won claim whose submission was refused before it started.
  void Release(const KeyHash& aKey);

  //! The epoch for a caller's new key: this daemon has read the log up to it.
  Result<LogOffset> CurrentEpoch() const;

  LogOffset Floor() const;

  //! All daemons together make about 200 claim appends a second.
  void SetDaemonCount(std::size_t aCount);

  //! The next batch to append, if one is due. BatchEnded must follow.
  std::optional<ClaimBatch> TakeBatch();

  //! Waits for a batch; nothing after Stop.
  std::optional<ClaimBatch> AwaitBatch();

  //! Ends the append of a batch. After ran = unknown its undecided keys are
  //! appended again unless reading settles them within Options::settle.
  void BatchEnded(const ClaimBatch& aBatch, const Result<LogOffset>& aOffset);

  //! Ends all waits; later claims are refused as not run.
  void Stop();

  // From the reader of the log, in order.
  void OnRecord(LogOffset aOffset, const ClaimBatch& aBatch);
  void OnGap(LogOffset aFrom, LogOffset aTo);
  void OnPosition(const LogPosition& aPosition);

private:
  //! A key whose claim was not read yet.
  struct Wanted
  {
    std::uint32_t waiters = 0;
    bool queued = true;  //!< In queue_; otherwise an append took it.
    bool failed = false; //!< Its append certainly failed.
  };

  ClaimDecision Decide(const KeyHash& aKey,
                       LogOffset aEpoch,
                       std::uint64_t aSequence);
  Wanted& Want(const KeyHash& aKey);
  void StopWaiting(const KeyHash& aKey);
  std::optional<ClaimBatch> TakeDue();

  Options options_;
  mutable std::mutex mutex_;        //!< Guards all members below.
  std::condition_variable decided_; //!< For Claim.
  std::condition_variable due_;     //!< For AwaitBatch.
  ClaimIndex index_;
  std::optional<LogOffset> position_; //!< Nothing before the first read.
  std::unordered_map<KeyHash, Wanted, KeyHashHasher> wanted_;
  std::deque<KeyHash> queue_;
  Duration interval_;
  TimePoint nextAppend_;
  bool inFlight_ = false;
  bool stopping_ = false;
};

}

#endif
