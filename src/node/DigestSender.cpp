#include "hemlockhaven/node/DigestSender.h"

#include "hemlockhaven/membership/Messages.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>
#include <vector>

namespace hemlockhaven {

namespace {

// A queued task is counted with this run time until more is known.
constexpr Duration kQueuedTaskTime = std::chrono::milliseconds(200);

// Classes are steps of 2^(1/4). Slowness is relative to the daemon's own
// endpoints, so the mean of 1 is in the middle.
constexpr double kClassesPerOctave = 4.0;
constexpr int kMiddleClass = static_cast<int>(kDigestSpeedClasses) / 2;

std::size_t ClassOf(double aSlowness)
{
  const int offset =
    static_cast<int>(std::lround(kClassesPerOctave * std::log2(aSlowness)));
  return static_cast<std::size_t>(std::clamp(
    kMiddleClass + offset, 0, static_cast<int>(kDigestSpeedClasses) - 1));
}

// Another zone's receiver changes with each digest, so names go with each.
SlotTimeLimits AcrossLimits()
{
  SlotTimeLimits limits;
  limits.announceEvery = 1;
  return limits;
}

}

DigestSender::DigestSender(const PeerHooks& aPeers,
                           Dispatcher& aDispatcher,
                           Roster& aRoster,
                           std::function<std::uint64_t()> aConfigurationVersion)
  : peers_(aPeers)
  , dispatcher_(aDispatcher)
  , roster_(aRoster)
  , configurationVersion_(std::move(aConfigurationVersion))
  , schedule_(aRoster)
  , acrossReport_(AcrossLimits())
{
}

void DigestSender::Tick(TimePoint aNow)
{
  if (!peers_.send) {
    return;
  }
  std::vector<Outgoing> outgoing;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    DigestPlan plan = schedule_.TakeDue(aNow);
    AddDigests(std::move(plan), outgoing);
  }
  Send(outgoing);
}

void DigestSender::SendNow()
{
  if (!peers_.send) {
    return;
  }
  DigestPlan plan;
  for (const PeerView& peer : roster_.Peers()) {
    const bool isNear = peer.zone == roster_.OwnZone();
    (isNear ? plan.inZone : plan.acrossZones).push_back(peer.incarnation.node);
  }
  std::vector<Outgoing> outgoing;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    AddDigests(std::move(plan), outgoing);
  }
  Send(outgoing);
}

void DigestSender::AddDigests(DigestPlan&& aPlan, std::vector<Outgoing>& aTo)
{
  if (!aPlan.inZone.empty()) {
    aTo.push_back({ std::move(aPlan.inZone), Message(BuildForZone()) });
  }
  if (!aPlan.acrossZones.empty()) {
    aTo.push_back({ std::move(aPlan.acrossZones), Message(BuildAcross()) });
  }
}

void DigestSender::Send(Span<const Outgoing> aOutgoing) const
{
  for (const Outgoing& digest : aOutgoing) {
    for (const std::string& node : digest.nodes) {
      peers_.send(node, digest.message);
    }
  }
}

void DigestSender::SetDraining(bool aDraining)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  draining_ = aDraining;
}

void DigestSender::SetSuccessor(const Incarnation& aSuccessor)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  successor_ = aSuccessor;
}

void DigestSender::PassOn(Span<const SlotTimeUse> aUses)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  zoneReport_.Add(aUses);
}

PeerDigest DigestSender::Build()
{
  const std::vector<SlotTimeUse> uses = dispatcher_.TakeSlotTimeUses();
  zoneReport_.Add(uses);
  acrossReport_.Add(uses);
  PeerDigest digest;
  digest.sequence = ++sequence_;
  digest.configurationVersion = configurationVersion_();
  digest.draining = draining_;
  digest.successor = successor_;
  std::uint32_t slots = 0;
  digest.freeSlots = CountFreeSlots(slots);
  const auto queued = static_cast<Duration::rep>(dispatcher_.QueuedCount());
  digest.queueWait = queued * kQueuedTaskTime / std::max(slots, 1U);
  if (queued > 0 || draining_) {
    // Waiting tasks of this daemon come first.
    digest.freeSlots.fill(0);
  }
  return digest;
}

FreeSlots DigestSender::CountFreeSlots(std::uint32_t& aSlots) const
{
  FreeSlots free{};
  for (const EndpointStatus& endpoint : dispatcher_.Endpoints()) {
    aSlots += endpoint.allowed;
    if (endpoint.allowed > endpoint.running) {
      free[ClassOf(endpoint.slowness)] += endpoint.allowed - endpoint.running;
    }
  }
  return free;
}

PeerDigest DigestSender::BuildForZone()
{
  PeerDigest digest = Build();
  digest.uses = zoneReport_.Take(numbers_);
  digest.zones = roster_.TakeSummaries();
  return digest;
}

PeerDigest DigestSender::BuildAcross()
{
  PeerDigest digest = Build();
  digest.uses = acrossReport_.Take(numbers_);
  ZoneSummary summary = roster_.SummarizeOwnZone();
  ZoneMember self;
  self.incarnation = roster_.Self();
  self.cores = roster_.OwnCores();
  self.sequence = digest.sequence;
  self.draining = digest.draining;
  self.successor = digest.successor;
  self.freeSlots = digest.freeSlots;
  self.queueWait = digest.queueWait;
  summary.members.push_back(std::move(self));
  digest.zones.push_back(std::move(summary));
  return digest;
}

}
