#include "hemlockhaven/membership/Roster.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace hemlockhaven {

namespace {

//! A chain of planned stops longer than this is taken as a fault.
constexpr int kMostSuccessors = 16;

//! Weight of the newest round trip in the average.
constexpr int kRoundTripShare = 8;

}

Roster::Roster(Incarnation aSelf,
               EntryVm aOwnVm,
               RosterTimes aTimes,
               Clock aClock)
  : self_(std::move(aSelf))
  , own_(std::move(aOwnVm))
  , times_(aTimes)
  , clock_(std::move(aClock))
{
}

Roster::Shard& Roster::ShardOf(std::string_view aNode)
{
  return shards_[std::hash<std::string_view>{}(aNode) % kShards];
}

const Roster::Shard& Roster::ShardOf(std::string_view aNode) const
{
  return shards_[std::hash<std::string_view>{}(aNode) % kShards];
}

Roster::Former& Roster::Remember(Shard& aShard, std::uint64_t aNumber)
{
  const auto [entry, isNew] = aShard.formers.try_emplace(aNumber);
  if (isNew) {
    aShard.formerOrder.push_back(aNumber);
    if (aShard.formerOrder.size() > kFormersPerShard) {
      aShard.formers.erase(aShard.formerOrder.front());
      aShard.formerOrder.pop_front();
    }
  }
  return entry->second;
}

bool Roster::IsReplaced(const Shard& aShard, std::uint64_t aNumber)
{
  const auto former = aShard.formers.find(aNumber);
  return former != aShard.formers.end() && former->second.replaced;
}

void Roster::Replace(Shard& aShard, Peer& aPeer, std::uint64_t aNumber)
{
  if (aPeer.number == aNumber) {
    return;
  }
  if (aPeer.number != 0) {
    Remember(aShard, aPeer.number).replaced = true;
  }
  aPeer.number = aNumber;
  aPeer.linked = false;
  aPeer.refused = false;
  aPeer.draining = false;
  aPeer.sequence = 0;
  aPeer.heardAt = TimePoint{};
  aPeer.configurationVersion = 0;
  aPeer.freeSlots = FreeSlots{};
  aPeer.queueWait = Duration{ 0 };
}

void Roster::NameSuccessor(Shard& aShard,
                           std::uint64_t aNumber,
                           const Incarnation& aSuccessor)
{
  Remember(aShard, aNumber).successor = aSuccessor;
}

void Roster::AddConfigured(Span<const EntryVm> aPeers)
{
  for (const EntryVm& vm : aPeers) {
    if (vm.node == self_.node) {
      continue;
    }
    Shard& shard = ShardOf(vm.node);
    const std::lock_guard lock(shard.mutex);
    Peer& peer = shard.peers[vm.node];
    if (!peer.listed) {
      peer.vm = vm;
    }
    peer.configured = true;
  }
}

void Roster::SetListed(Span<const EntryVm> aEntries)
{
  std::unordered_set<std::string_view> names;
  for (const EntryVm& vm : aEntries) {
    names.insert(vm.node);
  }
  for (Shard& shard : shards_) {
    const TimePoint now = clock_();
    const std::lock_guard lock(shard.mutex);
    for (auto entry = shard.peers.begin(); entry != shard.peers.end();) {
      Peer& peer = entry->second;
      peer.listed = names.count(entry->first) != 0;
      // A peer that neither the settings nor the list name is kept while it
      // may answer. Its refusal is remembered: the home of its ids is gone.
      const bool isForgotten = !peer.listed && !peer.configured &&
                               !peer.linked && peer.refused &&
                               StateOf(peer, now) != PeerState::Alive;
      if (isForgotten && peer.number != 0) {
        Remember(shard, peer.number).replaced = true;
      }
      entry = isForgotten ? shard.peers.erase(entry) : std::next(entry);
    }
  }
  for (const EntryVm& vm : aEntries) {
    if (vm.node == self_.node) {
      continue;
    }
    Shard& shard = ShardOf(vm.node);
    const std::lock_guard lock(shard.mutex);
    Peer& peer = shard.peers[vm.node];
    peer.vm = vm;
    peer.listed = true;
  }
}

bool Roster::Meet(const Hello& aHello)
{
  const TimePoint now = clock_();
  Shard& shard = ShardOf(aHello.self.node);
  const std::lock_guard lock(shard.mutex);
  if (aHello.self.number == 0 || aHello.self.node == self_.node ||
      IsReplaced(shard, aHello.self.number)) {
    return false;
  }
  Peer& peer = shard.peers[aHello.self.node];
  Replace(shard, peer, aHello.self.number);
  peer.vm.node = aHello.self.node;
  peer.vm.zone = aHello.zone;
  peer.vm.cores = std::max(aHello.cores, 1U);
  peer.linked = true;
  peer.refused = false;
  peer.heardAt = now;
  return true;
}

bool Roster::Observe(const Incarnation& aFrom, const PeerDigest& aDigest)
{
  const TimePoint now = clock_();
  bool isAcrossZones = false;
  {
    Shard& shard = ShardOf(aFrom.node);
    const std::lock_guard lock(shard.mutex);
    const auto entry = shard.peers.find(aFrom.node);
    if (entry == shard.peers.end() || entry->second.number != aFrom.number ||
        aDigest.sequence <= entry->second.sequence) {
      return false;
    }
    Peer& peer = entry->second;
    peer.heardAt = now;
    peer.sequence = aDigest.sequence;
    peer.configurationVersion = aDigest.configurationVersion;
    peer.draining = aDigest.draining;
    peer.freeSlots = aDigest.freeSlots;
    peer.queueWait = aDigest.queueWait;
    if (aDigest.successor) {
      NameSuccessor(shard, aFrom.number, *aDigest.successor);
    }
    isAcrossZones = peer.vm.zone != own_.zone;
  }
  for (const ZoneSummary& summary : aDigest.zones) {
    if (summary.zone == own_.zone) {
      continue;
    }
    for (const ZoneMember& member : summary.members) {
      ObserveMember(summary.zone, member);
    }
  }
  if (isAcrossZones && !aDigest.zones.empty()) {
    const std::lock_guard lock(ownMutex_);
    // A later summary of a zone makes an earlier one that waits superfluous.
    for (const ZoneSummary& summary : aDigest.zones) {
      const auto waiting = std::find_if(
        summaries_.begin(), summaries_.end(), [&](const ZoneSummary& aOther) {
          return aOther.zone == summary.zone;
        });
      if (waiting != summaries_.end()) {
        *waiting = summary;
      } else {
        summaries_.push_back(summary);
      }
    }
  }
  return true;
}

void Roster::ObserveMember(std::string_view aZone, const ZoneMember& aMember)
{
  const TimePoint now = clock_();
  const TimePoint heardAt = now - aMember.heardAgo;
  const Incarnation& incarnation = aMember.incarnation;
  Shard& shard = ShardOf(incarnation.node);
  const std::lock_guard lock(shard.mutex);
  // Only peers that the settings or the list name have an address; hearsay
  // adds none.
  const auto entry = shard.peers.find(incarnation.node);
  if (entry == shard.peers.end() || incarnation.number == 0 ||
      IsReplaced(shard, incarnation.number)) {
    return;
  }
  Peer& peer = entry->second;
  if (aMember.successor) {
    NameSuccessor(shard, incarnation.number, *aMember.successor);
  }
  if (heardAt <= peer.heardAt) {
    return;
  }
  // A link answers for its own incarnation; hearsay cannot overrule it.
  if (peer.number != incarnation.number && peer.linked) {
    return;
  }
  Replace(shard, peer, incarnation.number);
  peer.vm.zone = aZone;
  peer.vm.cores = std::max(aMember.cores, 1U);
  peer.heardAt = heardAt;
  peer.sequence = std::max(peer.sequence, aMember.sequence);
  peer.draining = aMember.draining;
  peer.freeSlots = aMember.freeSlots;
  peer.queueWait = aMember.queueWait;
}

void Roster::LoseLink(std::string_view aNode)
{
  Shard& shard = ShardOf(aNode);
  const std::lock_guard lock(shard.mutex);
  const auto entry = shard.peers.find(std::string(aNode));
  if (entry != shard.peers.end()) {
    entry->second.linked = false;
  }
}

void Roster::Refuse(std::string_view aNode)
{
  Shard& shard = ShardOf(aNode);
  const std::lock_guard lock(shard.mutex);
  const auto entry = shard.peers.find(std::string(aNode));
  if (entry != shard.peers.end() && !entry->second.linked) {
    entry->second.refused = true;
  }
}

void Roster::SetDraining(bool aDraining)
{
  const std::lock_guard lock(ownMutex_);
  draining_ = aDraining;
}

void Roster::MeasureRoundTrip(std::string_view aNode, Duration aTime)
{
  Shard& shard = ShardOf(aNode);
  const std::lock_guard lock(shard.mutex);
  const auto entry = shard.peers.find(std::string(aNode));
  if (entry == shard.peers.end()) {
    return;
  }
  Duration& average = entry->second.roundTrip;
  average = average.count() == 0
              ? aTime
              : average + (aTime - average) / kRoundTripShare;
}

PeerState Roster::StateOf(const Peer& aPeer, TimePoint aNow) const
{
  if (aPeer.number == 0) {
    return PeerState::Unmet;
  }
  const Duration interval =
    aPeer.vm.zone == own_.zone ? times_.zoneInterval : times_.acrossInterval;
  const Duration silence = aNow - aPeer.heardAt;
  if (silence >= interval * times_.deadAfter) {
    return PeerState::Dead;
  }
  return silence >= interval * times_.suspectAfter ? PeerState::Suspect
                                                   : PeerState::Alive;
}

PeerView Roster::ViewOf(const Peer& aPeer, TimePoint aNow) const
{
  PeerView view;
  view.incarnation = { aPeer.vm.node, aPeer.number };
  view.address = aPeer.vm.address;
  view.port = aPeer.vm.peerPort;
  view.zone = aPeer.vm.zone;
  view.cores = aPeer.vm.cores;
  view.state = StateOf(aPeer, aNow);
  view.leaving = aPeer.vm.leaving;
  view.draining = aPeer.draining;
  view.sequence = aPeer.sequence;
  view.heardAgo = std::max(aNow - aPeer.heardAt, Duration{ 0 });
  view.configurationVersion = aPeer.configurationVersion;
  view.freeSlots = aPeer.freeSlots;
  view.queueWait = aPeer.queueWait;
  view.roundTrip = aPeer.roundTrip;
  return view;
}

std::vector<PeerView> Roster::Peers() const
{
  const TimePoint now = clock_();
  std::vector<PeerView> views;
  for (const Shard& shard : shards_) {
    const std::lock_guard lock(shard.mutex);
    for (const auto& [node, peer] : shard.peers) {
      views.push_back(ViewOf(peer, now));
    }
  }
  std::sort(views.begin(),
            views.end(),
            [](const PeerView& aLeft, const PeerView& aRight) {
              return aLeft.incarnation.node < aRight.incarnation.node;
            });
  return views;
}

std::vector<PeerView> Roster::Owners() const
{
  std::vector<PeerView> views = Peers();
  PeerView self;
  self.incarnation = self_;
  self.address = own_.address;
  self.port = own_.peerPort;
  self.zone = own_.zone;
  self.cores = std::max(own_.cores, 1U);
  self.state = PeerState::Alive;
  {
    const std::lock_guard lock(ownMutex_);
    self.draining = draining_;
  }
  const auto position =
    std::lower_bound(views.begin(),
                     views.end(),
                     self,
                     [](const PeerView& aLeft, const PeerView& aRight) {
                       return aLeft.incarnation.node < aRight.incarnation.node;
                     });
  views.insert(position, std::move(self));
  views.erase(
    std::remove_if(views.begin(),
                   views.end(),
                   [](const PeerView& aView) { return !aView.CanOwn(); }),
    views.end());
  return views;
}

std::optional<PeerView> Roster::FindNode(std::string_view aNode) const
{
  const TimePoint now = clock_();
  const Shard& shard = ShardOf(aNode);
  const std::lock_guard lock(shard.mutex);
  const auto entry = shard.peers.find(std::string(aNode));
  if (entry == shard.peers.end()) {
    return std::nullopt;
  }
  return ViewOf(entry->second, now);
}

std::optional<PeerView> Roster::Find(const Incarnation& aIncarnation) const
{
  std::optional<PeerView> view = FindNode(aIncarnation.node);
  if (view && view->incarnation != aIncarnation) {
    view.reset();
  }
  return view;
}

HomeState Roster::StateOfHome(const Incarnation& aHome) const
{
  if (aHome == self_) {
    return HomeState::Alive;
  }
  if (aHome.node == self_.node) {
    return HomeState::Gone; // This process has taken its place.
  }
  const TimePoint now = clock_();
  const Shard& shard = ShardOf(aHome.node);
  const std::lock_guard lock(shard.mutex);
  if (IsReplaced(shard, aHome.number)) {
    return HomeState::Gone;
  }
  const auto entry = shard.peers.find(aHome.node);
  if (entry == shard.peers.end()) {
    return HomeState::Unreachable;
  }
  const Peer& peer = entry->second;
  const PeerState state = StateOf(peer, now);
  if (peer.number != 0 && peer.number != aHome.number) {
    // An unknown incarnation may be newer than the known one, unless that one
    // answers at the address at present.
    return peer.linked && state == PeerState::Alive ? HomeState::Gone
                                                    : HomeState::Unreachable;
  }
  const bool isRefused = peer.refused && !peer.linked;
  if (isRefused && !peer.listed) {
    return HomeState::Gone;
  }
  const auto former = shard.formers.find(aHome.number);
  const bool hasStopped =
    former != shard.formers.end() && former->second.successor.has_value();
  if (hasStopped && (isRefused || state == PeerState::Dead)) {
    return HomeState::Gone;
  }
  const bool isAlive = state == PeerState::Alive || state == PeerState::Suspect;
  return isAlive ? HomeState::Alive : HomeState::Unreachable;
}

std::optional<Incarnation> Roster::GetSuccessor(const Incarnation& aHome) const
{
  std::optional<Incarnation> successor;
  Incarnation at = aHome;
  for (int step = 0; step < kMostSuccessors; ++step) {
    const Shard& shard = ShardOf(at.node);
    const std::lock_guard lock(shard.mutex);
    const auto former = shard.formers.find(at.number);
    if (former == shard.formers.end() || !former->second.successor) {
      break;
    }
    successor = *former->second.successor;
    at = *successor;
  }
  return successor;
}

ZoneSummary Roster::SummarizeOwnZone() const
{
  ZoneSummary summary;
  summary.zone = own_.zone;
  for (const PeerView& peer : Peers()) {
    const bool isAlive =
      peer.state == PeerState::Alive || peer.state == PeerState::Suspect;
    if (peer.zone != own_.zone || !isAlive) {
      continue;
    }
    ZoneMember member;
    member.incarnation = peer.incarnation;
    member.cores = peer.cores;
    member.sequence = peer.sequence;
    member.heardAgo = peer.heardAgo;
    member.draining = peer.draining || peer.leaving;
    member.freeSlots = peer.freeSlots;
    member.queueWait = peer.queueWait;
    const Shard& shard = ShardOf(peer.incarnation.node);
    const std::lock_guard lock(shard.mutex);
    const auto former = shard.formers.find(peer.incarnation.number);
    if (former != shard.formers.end()) {
      member.successor = former->second.successor;
    }
    summary.members.push_back(std::move(member));
  }
  return summary;
}

std::vector<ZoneSummary> Roster::TakeSummaries()
{
  const std::lock_guard lock(ownMutex_);
  return std::exchange(summaries_, {});
}

std::size_t Roster::MemoryBytes() const
{
  // Nodes of the maps carry two pointers and a hash beside the value.
  constexpr std::size_t kMapNode = 3 * sizeof(void*);
  std::size_t bytes = sizeof(*this);
  for (const Shard& shard : shards_) {
    const std::lock_guard lock(shard.mutex);
    for (const auto& [node, peer] : shard.peers) {
      bytes += sizeof(Peer) + kMapNode + sizeof(std::string) + node.capacity() +
               peer.vm.node.capacity() + peer.vm.address.capacity() +
               peer.vm.zone.capacity();
    }
    bytes += shard.formers.size() *
             (sizeof(Former) + kMapNode + 2 * sizeof(std::uint64_t));
  }
  return bytes;
}

}
