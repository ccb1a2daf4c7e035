#include "hemlockhaven/node/Forwarder.h"

#include <algorithm>
#include <numeric>
#include <utility>
#include <variant>

namespace hemlockhaven {

namespace {

// A task that takes several seconds in its first attempt is not rare, and the
// reply must not be given up before the attempt's own limit.
constexpr Duration kReplyMargin = std::chrono::seconds(1);

// Endpoints move between daemons, so a mismatch is not remembered for good.
constexpr Duration kMismatchHolds = std::chrono::seconds(5);
constexpr std::size_t kMostMismatches = 4096;

// Until run times of the caller's kind are known to the home.
constexpr Duration kServiceGuess = std::chrono::milliseconds(200);

std::string MismatchKey(const PeerView& aPeer, const TaskGroup& aGroup)
{
  const Needs& needs = aGroup.spec.needs;
  return aPeer.incarnation.node + '\n' + std::to_string(needs.cores) + ' ' +
         std::to_string(needs.memoryMb) + ' ' +
         std::to_string(needs.accelerators) + '\n' +
         std::string(aGroup.spec.selector.Text());
}

bool CanTake(const PeerView& aPeer)
{
  return aPeer.state == PeerState::Alive && !aPeer.draining && !aPeer.leaving;
}

}

Forwarder::Forwarder(Hooks aHooks,
                     Dispatcher& aDispatcher,
                     const Roster& aRoster)
  : hooks_(std::move(aHooks))
  , dispatcher_(aDispatcher)
  , roster_(aRoster)
{
}

void Forwarder::Pump()
{
  if (!hooks_.peers.call || dispatcher_.QueuedCount() == 0) {
    return;
  }
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const TimePoint now = hooks_.clock();
    if (now < nextPump_) {
      return;
    }
    nextPump_ = now + kInterval;
  }
  const std::vector<PeerView> peers = roster_.Peers();
  const std::size_t free = FreeSlotsOf(peers);
  if (free == 0) {
    return;
  }
  std::vector<ForwardedTask> kept;
  for (const ForwardedTask& task :
       dispatcher_.TakeQueued(std::min(free, kMostATime))) {
    const std::vector<PeerView> candidates = CandidatesFor(task, peers);
    const auto target = chooser_.Choose(
      candidates, roster_.OwnZone(), kServiceGuess, Duration::max());
    const auto peer = std::find_if(
      candidates.begin(), candidates.end(), [&target](const PeerView& aPeer) {
        return target && aPeer.incarnation.node == target->node;
      });
    if (peer == candidates.end()) {
      kept.push_back(task);
    } else {
      Send(task, *peer);
    }
  }
  dispatcher_.GiveBack(kept);
}

std::size_t Forwarder::FreeSlotsOf(Span<const PeerView> aPeers) const
{
  std::size_t free = 0;
  for (const PeerView& peer : aPeers) {
    if (CanTake(peer)) {
      free += std::accumulate(
        peer.freeSlots.begin(), peer.freeSlots.end(), std::size_t{ 0 });
    }
  }
  return free;
}

std::vector<PeerView> Forwarder::CandidatesFor(const ForwardedTask& aTask,
                                               Span<const PeerView> aPeers)
{
  std::vector<PeerView> candidates;
  for (const PeerView& peer : aPeers) {
    if (CanTake(peer) && !IsMismatch(peer, *aTask.group)) {
      candidates.push_back(peer);
    }
  }
  return candidates;
}

void Forwarder::Send(const ForwardedTask& aTask, const PeerView& aPeer)
{
  const TaskGroup& group = *aTask.group;
  Run run;
  run.id = group.id;
  run.index = aTask.index;
  run.task = group.spec;
  run.task.payloads = { group.spec.payloads[aTask.index] };
  // To the peer, the task of a job looks like a single request.
  run.task.idempotent =
    group.spec.idempotent && group.spec.payloads.size() == 1;
  run.task.deadline = group.deadline - hooks_.clock();
  const Duration limit = run.task.deadline + kReplyMargin;
  ++outstanding_;
  hooks_.counters->Count(Event::TaskForwarded);
  hooks_.peers.call(aPeer.incarnation.node,
                    Message(std::move(run)),
                    limit,
                    [this, aTask, aPeer](Result<Message>&& aReply) {
                      OnReply(aTask, aPeer, std::move(aReply));
                      --outstanding_;
                    });
}

void Forwarder::OnReply(const ForwardedTask& aTask,
                        const PeerView& aPeer,
                        Result<Message>&& aReply)
{
  if (aReply.has_error()) {
    Error& error = aReply.error();
    if (error.ran == Ran::NotRun) {
      GiveBack(aTask, aPeer, Reason::PeerRefused);
      return;
    }
    EndUnknown(aTask, std::move(error));
    return;
  }
  auto* reply = std::get_if<RunReply>(&aReply.value());
  if (reply == nullptr) {
    EndUnknown(aTask,
               Error::Unknown("read reply",
                              aPeer.incarnation.node,
                              Reason::Internal,
                              "the reply is of another type"));
    return;
  }
  const Error& error = reply->outcome.error;
  if (!reply->outcome.succeeded && error.ran == Ran::NotRun &&
      error.reason != Reason::DeadlinePassed) {
    GiveBack(aTask, aPeer, error.reason);
    return;
  }
  aTask.group->ended(aTask.index, std::move(reply->outcome));
}

void Forwarder::GiveBack(const ForwardedTask& aTask,
                         const PeerView& aPeer,
                         Reason aWhy)
{
  hooks_.counters->Count(Event::ForwardRefused);
  hooks_.counters->Retried(Reason::PeerRefused);
  if (aWhy == Reason::NoEligibleEndpoint) {
    RememberMismatch(aPeer, *aTask.group);
  } else {
    chooser_.Refused(aPeer);
  }
  dispatcher_.GiveBack({ &aTask, 1 });
}

void Forwarder::EndUnknown(const ForwardedTask& aTask, Error&& aError)
{
  TaskOutcome outcome;
  outcome.attempts = 1;
  outcome.error = std::move(aError);
  outcome.error.ran = Ran::Unknown;
  outcome.error.reason = Reason::PeerLost;
  aTask.group->ended(aTask.index, std::move(outcome));
}

void Forwarder::RememberMismatch(const PeerView& aPeer, const TaskGroup& aGroup)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  if (mismatches_.size() >= kMostMismatches) {
    mismatches_.clear();
  }
  mismatches_[MismatchKey(aPeer, aGroup)] = hooks_.clock() + kMismatchHolds;
}

bool Forwarder::IsMismatch(const PeerView& aPeer, const TaskGroup& aGroup)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  if (mismatches_.empty()) {
    return false;
  }
  const auto found = mismatches_.find(MismatchKey(aPeer, aGroup));
  return found != mismatches_.end() && hooks_.clock() < found->second;
}

}
