#include "hemlockhaven/admission/FairQueue.h"

#include <algorithm>
#include <string>

namespace hemlockhaven {

namespace {

// Names are callers' text, so the number of accounts has to be bounded.
constexpr std::size_t kMaxCallers = 16'384;
constexpr std::size_t kMaxKinds = 1'024;

// Nodes kept for reuse, so that a steady load allocates none.
constexpr std::size_t kMaxSpareNodes = 4'096;

double Microseconds(Duration aTime)
{
  return static_cast<double>(aTime.count());
}

}

KindAccount& FairQueue::Account(std::string_view aCaller,
                                std::string_view aKind)
{
  auto caller = callerByName_.find(aCaller);
  if (caller == callerByName_.end()) {
    if (callers_.size() >= kMaxCallers && !aCaller.empty()) {
      return Account("", aKind);
    }
    callers_.push_back(
      std::make_unique<CallerAccount>(aCaller, callers_.size()));
    CallerAccount& added = *callers_.back();
    const auto weight = weights_.find(added.name_);
    added.weight_ = weight == weights_.end() ? 1.0 : weight->second;
    knownWeight_ += added.weight_;
    caller = callerByName_.emplace(added.name_, &added).first;
  }
  CallerAccount& account = *caller->second;
  const auto kind = account.kindByName_.find(aKind);
  if (kind != account.kindByName_.end()) {
    return *kind->second;
  }
  if (account.kinds_.size() >= kMaxKinds && !aKind.empty()) {
    return Account(aCaller, "");
  }
  account.kinds_.push_back(std::make_unique<KindAccount>(account, aKind));
  KindAccount& added = *account.kinds_.back();
  account.kindByName_.emplace(added.name_, &added);
  return added;
}

void FairQueue::SetWeights(Span<const std::pair<std::string, double>> aWeights)
{
  constexpr double kLeastWeight = 1e-3;
  weights_.clear();
  for (const auto& [caller, weight] : aWeights) {
    weights_[caller] = std::max(weight, kLeastWeight);
  }
  activeWeight_ = 0;
  knownWeight_ = 0;
  for (const auto& caller : callers_) {
    const auto weight = weights_.find(caller->name_);
    caller->weight_ = weight == weights_.end() ? 1.0 : weight->second;
    knownWeight_ += caller->weight_;
    activeWeight_ += caller->isActive_ ? caller->weight_ : 0;
  }
}

void FairQueue::Push(KindAccount& aKind,
                     const QueuePosition& aPosition,
                     QueuedTasks&& aTasks,
                     Duration aEstimate)
{
  CallerAccount& caller = aKind.Caller();
  if (!caller.isActive_) {
    // An idle caller does not bank credit: it starts at the current time.
    caller.isActive_ = true;
    caller.tag_ = std::max(caller.tag_, virtualTime_);
    activeWeight_ += caller.weight_;
    ++activeCallers_;
  }
  if (aKind.entryCount_++ == 0) {
    aKind.tag_ = std::max(aKind.tag_, caller.virtualTime_);
    caller.activeKinds_.push_back(&aKind);
  }
  const std::uint32_t count = aTasks.Count();
  tasks_ += count;
  idempotent_ += aTasks.group->spec.idempotent ? count : 0;
  caller.queued_ += count;
  caller.queuedSlotTime_ += aEstimate * count;
  const EligibilityId eligibility = aTasks.eligibility;
  AddEntry(caller, eligibility);
  auto lane = std::find_if(aKind.lanes_.begin(),
                           aKind.lanes_.end(),
                           [eligibility](const KindAccount::Lane& aLane) {
                             return aLane.eligibility == eligibility;
                           });
  if (lane == aKind.lanes_.end()) {
    // A lane without entries is taken over, which bounds their number.
    lane = std::find_if(
      aKind.lanes_.begin(),
      aKind.lanes_.end(),
      [](const KindAccount::Lane& aLane) { return aLane.entries.empty(); });
    if (lane == aKind.lanes_.end()) {
      lane = aKind.lanes_.emplace(lane);
    }
    lane->eligibility = eligibility;
  }
  const KindAccount::Order order{ aPosition.rank,
                                  aPosition.deadline,
                                  ++arrivals_ };
  if (spareEntries_.empty()) {
    lane->entries.emplace(order,
                          KindAccount::Entry{ std::move(aTasks), aEstimate });
    return;
  }
  auto node = std::move(spareEntries_.back());
  spareEntries_.pop_back();
  node.key() = order;
  node.mapped() = { std::move(aTasks), aEstimate };
  lane->entries.insert(std::move(node));
}

void FairQueue::BeginRound()
{
  ++round_;
  passed_ = 0;
  areHeadsCollected_ = false;
}

const QueuedTasks* FairQueue::Peek()
{
  if (passed_ == waitingIds_.size()) {
    return nullptr;
  }
  if (!areHeadsCollected_) {
    CollectHeads();
  }
  // Since the heads were collected turns were only put off or removed, so a
  // head that is out of date is too early. It is replaced when it is on top.
  while (!heads_.empty()) {
    const Head head = heads_.front();
    const bool isPassedOver = IsPassedOver(head.id);
    if (!isPassedOver && head.turn.tag == head.turn.caller->tag_ &&
        FindIn(*head.turn.caller)) {
      return &peeked_.entry->second.tasks;
    }
    std::pop_heap(heads_.begin(), heads_.end(), IsLater());
    const Turns& turns = waiting_[head.id].callers;
    const auto next = isPassedOver ? turns.end() : turns.upper_bound(head.turn);
    if (next == turns.end()) {
      heads_.pop_back();
    } else {
      heads_.back().turn = *next;
      std::push_heap(heads_.begin(), heads_.end(), IsLater());
    }
  }
  return nullptr;
}

QueuedTasks FairQueue::PopTask()
{
  KindAccount& kind = *peeked_.kind;
  CallerAccount& caller = kind.Caller();
  virtualTime_ = std::max(virtualTime_, caller.tag_);
  caller.virtualTime_ = std::max(caller.virtualTime_, kind.tag_);
  KindAccount::Entry& entry = peeked_.entry->second;
  if (entry.tasks.Count() == 1) {
    return Remove(peeked_);
  }
  QueuedTasks task = entry.tasks;
  task.end = task.next + 1;
  ++entry.tasks.next;
  --tasks_;
  idempotent_ -= task.group->spec.idempotent ? 1 : 0;
  --caller.queued_;
  caller.queuedSlotTime_ -= entry.estimate;
  return task;
}

QueuedTasks FairQueue::PopEntry()
{
  return Remove(peeked_);
}

void FairQueue::PassOver()
{
  const EligibilityId id = peeked_.entry->second.tasks.eligibility;
  if (!IsPassedOver(id)) {
    waiting_[id].passedIn = round_;
    ++passed_;
  }
}

void FairQueue::PassOverKind()
{
  peeked_.kind->skippedIn_ = round_;
}

void FairQueue::Charge(KindAccount& aKind, Duration aEstimate)
{
  CallerAccount& caller = aKind.Caller();
  aKind.tag_ += Microseconds(aEstimate);
  Retag(caller, caller.tag_ + Microseconds(aEstimate) / caller.weight_);
}

void FairQueue::Correct(KindAccount& aKind,
                        Duration aEstimate,
                        Duration aActual)
{
  CallerAccount& caller = aKind.Caller();
  const double difference = Microseconds(aActual - aEstimate);
  aKind.tag_ += difference;
  Retag(caller, caller.tag_ + difference / caller.weight_);
  caller.slotTime_ += aActual;
  caller.untaken_ += aActual;
}

void FairQueue::ChargeRemote(std::string_view aCaller,
                             Duration aSlotTime,
                             std::size_t aSlots)
{
  constexpr Duration kMostBehind = std::chrono::seconds(2);
  CallerAccount& caller = Account(aCaller, "").Caller();
  const double weight = std::max(activeWeight_, caller.weight_);
  const double latest = virtualTime_ + Microseconds(kMostBehind) *
                                         static_cast<double>(aSlots) / weight;
  const double tag = std::max(caller.tag_, virtualTime_) +
                     Microseconds(aSlotTime) / caller.weight_;
  Retag(caller, std::max(caller.tag_, std::min(tag, latest)));
}

std::vector<std::pair<std::string, Duration>> FairQueue::TakeSlotTimes()
{
  std::vector<std::pair<std::string, Duration>> taken;
  for (const auto& caller : callers_) {
    if (caller->untaken_ > Duration{ 0 }) {
      taken.emplace_back(caller->name_, caller->untaken_);
      caller->untaken_ = Duration{ 0 };
    }
  }
  return taken;
}

bool FairQueue::Sweep(TimePoint aNow,
                      bool aDropStopped,
                      std::size_t aMost,
                      std::vector<QueuedTasks>& aRemoved)
{
  for (; cursor_.caller < callers_.size(); ++cursor_.caller, cursor_.kind = 0) {
    CallerAccount& caller = *callers_[cursor_.caller];
    if (!caller.isActive_) {
      continue;
    }
    for (; cursor_.kind < caller.kinds_.size();
         ++cursor_.kind, cursor_.lane = 0) {
      KindAccount& kind = *caller.kinds_[cursor_.kind];
      for (; cursor_.lane < kind.lanes_.size();
           ++cursor_.lane, cursor_.after = {}) {
        KindAccount::Entries& entries = kind.lanes_[cursor_.lane].entries;
        auto at = entries.upper_bound(cursor_.after);
        while (at != entries.end()) {
          if (aMost-- == 0) {
            return false;
          }
          cursor_.after = at->first;
          const auto entry = at++;
          const TaskGroup& group = *entry->second.tasks.group;
          if (group.deadline <= aNow || (aDropStopped && group.IsStopped())) {
            aRemoved.push_back(Remove({ &kind, cursor_.lane, entry }));
          }
        }
      }
    }
  }
  cursor_ = {};
  return true;
}

void FairQueue::Retag(CallerAccount& aCaller, double aTag)
{
  if (!aCaller.isActive_) {
    aCaller.tag_ = aTag;
    return;
  }
  areHeadsCollected_ = areHeadsCollected_ && aTag >= aCaller.tag_;
  const Turn before = TurnOf(aCaller);
  aCaller.tag_ = aTag;
  const Turn after = TurnOf(aCaller);
  for (const auto& [id, entries] : aCaller.entriesOf_) {
    Turns& turns = waiting_[id].callers;
    auto node = turns.extract(before);
    node.value() = after;
    turns.insert(std::move(node));
  }
}

bool FairQueue::FindIn(KindAccount& aKind)
{
  bool isFound = false;
  for (std::size_t lane = 0; lane < aKind.lanes_.size(); ++lane) {
    KindAccount::Lane& candidate = aKind.lanes_[lane];
    if (candidate.entries.empty() || IsPassedOver(candidate.eligibility)) {
      continue;
    }
    const auto first = candidate.entries.begin();
    if (!isFound || first->first < peeked_.entry->first) {
      peeked_ = { &aKind, lane, first };
      isFound = true;
    }
  }
  return isFound;
}

bool FairQueue::FindIn(CallerAccount& aCaller)
{
  // A caller has few kinds at a time, so a search beats a tree.
  Place best;
  for (KindAccount* kind : aCaller.activeKinds_) {
    if (kind->skippedIn_ != round_ &&
        (best.kind == nullptr || kind->tag_ < best.kind->tag_) &&
        FindIn(*kind)) {
      best = peeked_;
    }
  }
  peeked_ = best;
  return best.kind != nullptr;
}

QueuedTasks FairQueue::Remove(const Place& aPlace)
{
  KindAccount& kind = *aPlace.kind;
  CallerAccount& caller = kind.Caller();
  auto node = kind.lanes_[aPlace.lane].entries.extract(aPlace.entry);
  QueuedTasks tasks = std::move(node.mapped().tasks);
  const std::uint32_t count = tasks.Count();
  tasks_ -= count;
  idempotent_ -= tasks.group->spec.idempotent ? count : 0;
  caller.queued_ -= count;
  caller.queuedSlotTime_ -= node.mapped().estimate * count;
  RemoveEntry(caller, tasks.eligibility);
  if (spareEntries_.size() < kMaxSpareNodes) {
    spareEntries_.push_back(std::move(node));
  }
  if (--kind.entryCount_ == 0) {
    Deactivate(kind);
  }
  return tasks;
}

void FairQueue::Deactivate(KindAccount& aKind)
{
  CallerAccount& caller = aKind.Caller();
  auto& kinds = caller.activeKinds_;
  kinds.erase(std::find(kinds.begin(), kinds.end(), &aKind));
  if (!kinds.empty()) {
    return;
  }
  caller.isActive_ = false;
  --activeCallers_;
  activeWeight_ = activeCallers_ == 0 ? 0 : activeWeight_ - caller.weight_;
}

bool FairQueue::IsPassedOver(EligibilityId aId) const
{
  return waiting_[aId].passedIn == round_;
}

FairQueue::Turn FairQueue::TurnOf(CallerAccount& aCaller)
{
  return { aCaller.tag_, aCaller.number_, &aCaller };
}

void FairQueue::CollectHeads()
{
  heads_.clear();
  for (const EligibilityId id : waitingIds_) {
    if (!IsPassedOver(id)) {
      heads_.push_back({ *waiting_[id].callers.begin(), id });
    }
  }
  std::make_heap(heads_.begin(), heads_.end(), IsLater());
  areHeadsCollected_ = true;
}

void FairQueue::AddEntry(CallerAccount& aCaller, EligibilityId aId)
{
  areHeadsCollected_ = false;
  if (aId >= waiting_.size()) {
    waiting_.resize(aId + 1);
  }
  Waiting& waiting = waiting_[aId];
  if (waiting.entries++ == 0) {
    waiting.place = waitingIds_.size();
    waitingIds_.push_back(aId);
    passed_ += IsPassedOver(aId) ? 1 : 0;
  }
  for (auto& [id, entries] : aCaller.entriesOf_) {
    if (id == aId) {
      ++entries;
      return;
    }
  }
  aCaller.entriesOf_.emplace_back(aId, 1);
  if (spareTurns_.empty()) {
    waiting.callers.insert(TurnOf(aCaller));
    return;
  }
  auto node = std::move(spareTurns_.back());
  spareTurns_.pop_back();
  node.value() = TurnOf(aCaller);
  waiting.callers.insert(std::move(node));
}

void FairQueue::RemoveEntry(CallerAccount& aCaller, EligibilityId aId)
{
  Waiting& waiting = waiting_[aId];
  auto& counts = aCaller.entriesOf_;
  const auto count =
    std::find_if(counts.begin(), counts.end(), [aId](const auto& aCount) {
      return aCount.first == aId;
    });
  if (--count->second == 0) {
    *count = counts.back();
    counts.pop_back();
    auto node = waiting.callers.extract(TurnOf(aCaller));
    if (spareTurns_.size() < kMaxSpareNodes) {
      spareTurns_.push_back(std::move(node));
    }
  }
  if (--waiting.entries == 0) {
    const EligibilityId last = waitingIds_.back();
    waitingIds_[waiting.place] = last;
    waiting_[last].place = waiting.place;
    waitingIds_.pop_back();
    passed_ -= IsPassedOver(aId) ? 1 : 0;
  }
}

}
