#ifndef HEMLOCKHAVEN_MEMBERSHIP_ROSTER_H
#define HEMLOCKHAVEN_MEMBERSHIP_ROSTER_H

#include "hemlockhaven/core/Span.h"
#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/identity/SubmissionId.h"
#include "hemlockhaven/membership/Messages.h"
#include "hemlockhaven/membership/PeerDigest.h"
#include "hemlockhaven/platform/VmList.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hemlockhaven {

//! What missed digests say of a peer.
enum class PeerState : std::uint8_t
{
  Unmet,   //!< Known by name only.
  Alive,   //!< Fewer than 3 digests missed.
  Suspect, //!< Keeps its endpoints and gets no new work.
  Dead,    //!< 6 digests missed, or another incarnation took its place.
};

//! Whether the home of an id can still answer.
enum class HomeState : std::uint8_t
{
  Alive,
  Gone,        //!< It never answers again.
  Unreachable, //!< It may answer later.
};

//! One daemon, copied out of the roster.
struct PeerView
{
  Incarnation incarnation; //!< Number 0: not met.
  std::string address;
  std::uint16_t port = 0;
  std::string zone;
  std::uint32_t cores = 1;
  PeerState state = PeerState::Unmet;
  bool leaving = false;  //!< The VM list says so.
  bool draining = false; //!< It says so.
  std::uint64_t sequence = 0;
  Duration heardAgo{ 0 };
  std::uint64_t configurationVersion = 0;
  FreeSlots freeSlots{};
  Duration queueWait{ 0 };
  Duration roundTrip{ 0 }; //!< Zero: not measured.

  //! Whether endpoints may be given to it.
  bool CanOwn() const
  {
    return (state == PeerState::Alive || state == PeerState::Suspect) &&
           !leaving && !draining;
  }
};

struct RosterTimes
{
  Duration zoneInterval = std::chrono::milliseconds(500);
  Duration acrossInterval = std::chrono::seconds(2);
  int suspectAfter = 3; //!< Missed digests.
  int deadAfter = 6;    //!< Missed digests.
};

//! All daemons that this one knows of, in shards by node name.
//!
//! States follow from the age of the newest digest when they are asked for, so
//! nothing has to run for a peer to become suspect or dead.
class Roster
{
public:
  Roster(Incarnation aSelf, EntryVm aOwnVm, RosterTimes aTimes, Clock aClock);

  const Incarnation& Self() const { return self_; }
  const std::string& OwnZone() const { return own_.zone; }
  std::uint32_t OwnCores() const { return own_.cores; }
  const RosterTimes& Times() const { return times_; }

  //! Adds peers from the settings; they stay for good.
  void AddConfigured(Span<const EntryVm> aPeers);

  //! Takes the VM list's present entries. Not called while the list cannot be
  //! read, so that its last state holds.
  void SetListed(Span<const EntryVm> aEntries);

  //! A link to the peer is up. False if this incarnation was replaced before.
  bool Meet(const Hello& aHello);

  //! A digest arrived from a met peer. False if it is not the present
  //! incarnation, or older than what is known.
  bool Observe(const Incarnation& aFrom, const PeerDigest& aDigest);

  //! The link to the peer broke.
  void LoseLink(std::string_view aNode);

  //! The peer's address refused a connection.
  void Refuse(std::string_view aNode);

  //! Sets whether this daemon drains, for its own entry.
  void SetDraining(bool aDraining);

  //! Records a measured round trip; it is averaged.
  void MeasureRoundTrip(std::string_view aNode, Duration aTime);

  //! All known daemons except this one, ordered by node.
  std::vector<PeerView> Peers() const;

  //! Daemons, this one included, that may own endpoints, ordered by node.
  std::vector<PeerView> Owners() const;

  //! One peer by the name of its node.
  std::optional<PeerView> FindNode(std::string_view aNode) const;

  //! The peer, if this incarnation is the present one of its node.
  std::optional<PeerView> Find(const Incarnation& aIncarnation) const;

  //! Whether the home is alive, gone or out of reach.
  HomeState StateOfHome(const Incarnation& aHome) const;

  //! Who holds the finished answers of a stopped home, over several stops.
  std::optional<Incarnation> GetSuccessor(const Incarnation& aHome) const;

  //! This daemon's availability zone for the others; the caller adds itself.
  ZoneSummary SummarizeOwnZone() const;

  //! Summaries that came from other availability zones since the last call.
  std::vector<ZoneSummary> TakeSummaries();

  //! Approximate memory of the roster in bytes.
  std::size_t MemoryBytes() const;

private:
  struct Peer
  {
    EntryVm vm;
    bool configured = false;
    bool listed = false;
    bool linked = false;  //!< It said Hello since the last broken link.
    bool refused = false; //!< Its address refused the last connection.
    std::uint64_t number = 0;
    bool draining = false;
    std::uint64_t sequence = 0;
    TimePoint heardAt{};
    std::uint64_t configurationVersion = 0;
    FreeSlots freeSlots{};
    Duration queueWait{ 0 };
    Duration roundTrip{ 0 };
  };

  //! Remembered of an incarnation that is no longer, or about to stop.
  struct Former
  {
    bool replaced = false;
    std::optional<Incarnation> successor;
  };

  struct Shard
  {
    mutable std::mutex mutex;
    std::unordered_map<std::string, Peer> peers;
    std::unordered_map<std::uint64_t, Former> formers;
    std::deque<std::uint64_t> formerOrder; //!< Oldest first.
  };

  static constexpr std::size_t kShards = 8;

  //! Incarnations remembered in a shard. 300 restarts a day fill all shards in
  //! more than a month.
  static constexpr std::size_t kFormersPerShard = 2048;

  Shard& ShardOf(std::string_view aNode);
  const Shard& ShardOf(std::string_view aNode) const;
  static Former& Remember(Shard& aShard, std::uint64_t aNumber);
  static bool IsReplaced(const Shard& aShard, std::uint64_t aNumber);
  static void Replace(Shard& aShard, Peer& aPeer, std::uint64_t aNumber);
  static void NameSuccessor(Shard& aShard,
                            std::uint64_t aNumber,
                            const Incarnation& aSuccessor);
  void ObserveMember(std::string_view aZone, const ZoneMember& aMember);
  PeerState StateOf(const Peer& aPeer, TimePoint aNow) const;
  PeerView ViewOf(const Peer& aPeer, TimePoint aNow) const;

  Incarnation self_;
  EntryVm own_;
  RosterTimes times_;
  Clock clock_;
  std::array<Shard, kShards> shards_;

  mutable std::mutex ownMutex_; //!< Guards the members below.
  bool draining_ = false;
  std::vector<ZoneSummary> summaries_;
};

}

#endif
