#ifndef HEMLOCKHAVEN_ADMISSION_FAIRQUEUE_H
#define HEMLOCKHAVEN_ADMISSION_FAIRQUEUE_H

#include "hemlockhaven/admission/CallerAccount.h"
#include "hemlockhaven/admission/KindAccount.h"
#include "hemlockhaven/admission/QueuePosition.h"
#include "hemlockhaven/admission/QueuedTasks.h"
#include "hemlockhaven/core/Span.h"
#include "hemlockhaven/core/Time.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hemlockhaven {

//! Start-time fair queueing over slot time: callers by weight, inside a caller
//! its kinds, inside a kind rank, deadline and arrival. Not thread-safe.
//!
//! Tasks are taken in rounds: Peek shows the first task in fair order that was
//! not passed over in this round; PopTask, PopEntry, PassOver or
//! PassOverKind say what becomes of it.
class FairQueue
{
public:
  //! The account for a position. Its number of callers and of kinds is
  //! bounded; those beyond share the account with the empty name.
  KindAccount& Account(std::string_view aCaller, std::string_view aKind);

  //! Sets weights; callers not named get 1.
  void SetWeights(Span<const std::pair<std::string, double>> aWeights);

  //! aEstimate is the slot time of one task.
  void Push(KindAccount& aKind,
            const QueuePosition& aPosition,
            QueuedTasks&& aTasks,
            Duration aEstimate);

  void BeginRound();

  //! The first entry in fair order, or null.
  const QueuedTasks* Peek();
  KindAccount& PeekedKind() const { return *peeked_.kind; }

  //! What the last Peek showed, if it showed an entry that is still queued.
  const QueuedTasks& Peeked() const { return peeked_.entry->second.tasks; }

  //! Takes the first task of the entry that Peek showed.
  QueuedTasks PopTask();

  //! Takes the whole entry that Peek showed.
  QueuedTasks PopEntry();

  //! Passes over all entries of the same eligibility for this round.
  void PassOver();

  //! Passes over the kind for this round.
  void PassOverKind();

  //! Charges the slot time that a started attempt is expected to take.
  void Charge(KindAccount& aKind, Duration aEstimate);

  //! Replaces the expected slot time of an ended attempt by its real one.
  void Correct(KindAccount& aKind, Duration aEstimate, Duration aActual);

  //! Charges slot time used on other daemons, from aSlots own slots' view. A
  //! caller never falls back by more than 2 s of its share: what it used
  //! elsewhere may have been idle there.
  void ChargeRemote(std::string_view aCaller,
                    Duration aSlotTime,
                    std::size_t aSlots);

  //! Slot time of each caller that used any since the last call.
  std::vector<std::pair<std::string, Duration>> TakeSlotTimes();

  //! Removes entries that have stopped or whose deadline has passed, looking
  //! at aMost entries from where the last call ended. Returns true at the end
  //! of a pass over the whole queue.
  bool Sweep(TimePoint aNow,
             bool aDropStopped,
             std::size_t aMost,
             std::vector<QueuedTasks>& aRemoved);

  std::size_t TaskCount() const { return tasks_; }
  bool IsIdempotentQueued() const { return idempotent_ > 0; }

  //! Sum of weights of the callers with queued tasks.
  double ActiveWeight() const { return activeWeight_; }

  //! Sum of weights of all known callers.
  double KnownWeight() const { return knownWeight_; }

  Span<const std::unique_ptr<CallerAccount>> Callers() const
  {
    return callers_;
  }

private:
  //! Place of a caller in the fair order. It holds the tag, so that a search
  //! reads no account.
  struct Turn
  {
    double tag = 0;
    std::uint64_t number = 0;
    CallerAccount* caller = nullptr;

    bool operator<(const Turn& aOther) const
    {
      return tag != aOther.tag ? tag < aOther.tag : number < aOther.number;
    }
  };

  using Turns = std::set<Turn>;

  //! What is queued of one eligibility.
  struct Waiting
  {
    Turns callers;
    std::size_t entries = 0;
    std::size_t place = 0;      //!< In waitingIds_, if it has entries.
    std::uint64_t passedIn = 0; //!< Round.
  };

  //! The first caller of one eligibility that was not ruled out in the round.
  struct Head
  {
    Turn turn;
    EligibilityId id = 0;
  };

  //! Order of the heap of heads.
  struct IsLater
  {
    bool operator()(const Head& aLeft, const Head& aRight) const
    {
      return aRight.turn < aLeft.turn;
    }
  };

  struct Place
  {
    KindAccount* kind = nullptr;
    std::size_t lane = 0;
    KindAccount::Entries::iterator entry;
  };

  struct Cursor
  {
    std::size_t caller = 0;
    std::size_t kind = 0;
    std::size_t lane = 0;
    KindAccount::Order after{};
  };

  void Retag(CallerAccount& aCaller, double aTag);
  bool FindIn(KindAccount& aKind);
  bool FindIn(CallerAccount& aCaller);
  void CollectHeads();
  QueuedTasks Remove(const Place& aPlace);
  void Deactivate(KindAccount& aKind);
  bool IsPassedOver(EligibilityId aId) const;
  void AddEntry(CallerAccount& aCaller, EligibilityId aId);
  void RemoveEntry(CallerAccount& aCaller, EligibilityId aId);
  static Turn TurnOf(CallerAccount& aCaller);

  std::vector<std::unique_ptr<CallerAccount>> callers_;
  std::unordered_map<std::string_view, CallerAccount*> callerByName_;
  std::unordered_map<std::string, double> weights_;
  std::vector<Turns::node_type> spareTurns_;
  std::vector<KindAccount::Entries::node_type> spareEntries_;
  std::vector<Waiting> waiting_;          //!< By eligibility.
  std::vector<EligibilityId> waitingIds_; //!< With entries.
  std::size_t passed_ = 0;                //!< Of these, in this round.
  std::vector<Head> heads_;               //!< Heap, the earliest on top.
  bool areHeadsCollected_ = false;
  std::uint64_t round_ = 1;
  std::uint64_t arrivals_ = 0;
  double virtualTime_ = 0;
  std::size_t activeCallers_ = 0;
  double activeWeight_ = 0;
  double knownWeight_ = 0;
  std::size_t tasks_ = 0;
  std::size_t idempotent_ = 0; //!< Queued tasks that are idempotent.
  Place peeked_;
  Cursor cursor_;
};

}

#endif
