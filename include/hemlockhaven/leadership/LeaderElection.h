#ifndef HEMLOCKHAVEN_LEADERSHIP_LEADERELECTION_H
#define HEMLOCKHAVEN_LEADERSHIP_LEADERELECTION_H

#include "hemlockhaven/core/Span.h"
#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/leadership/Heartbeat.h"
#include "hemlockhaven/leadership/KnownLeader.h"
#include "hemlockhaven/scheduler/EntryVmContact.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hemlockhaven {

//! Timeouts and group sizes of the election.
struct ElectionParameters
{
  //! Interval of heartbeats from and to leaders and their likely successors,
  //! and between all members of a small group.
  Duration heartbeatInterval{ 70000 };
  //! Interval of all other heartbeats, and of those to silent addresses.
  Duration slowHeartbeatInterval{ 700000 };
  //! A member is lost after this time without heartbeats or echoes from it:
  //! five heartbeat intervals. Scaled up for members on a slower interval.
  Duration memberTimeout{ 350000 };
  //! Time before a daemon that has become able to lead does so: two heartbeats,
  //! which tell it of the others that became able at the same moment.
  Duration candidacyDelay{ 150000 };
  //! Time without a leader before a daemon takes over, since members do not
  //! detect the loss of a leader at the same moment.
  Duration electionDelay{ 60000 };
  //! Time without a leader after which a member that has not been heard since
  //! is passed over, though its slow heartbeats are not overdue yet: two fast
  //! heartbeats and a reply. Without it the members of an isolated zone would
  //! wait for preferred members of other zones for seconds.
  Duration successionProbeTime{ 200000 };
  //! Preferred members that a daemon without a leader asks.
  std::size_t maxProbedSuccessors = 16;
  //! Time to receive heartbeats again after this process was suspended.
  Duration resumeDelay{ 150000 };
  //! Time to discover members after the start. Daemons that start together
  //! discover each other within 0.4 s.
  Duration discoveryPeriod{ 500000 };
  //! Discovery goes on until no member has been learned of for this time, ...
  Duration discoveryQuietTime{ 150000 };
  //! ... and ends after this time whatever happens. A daemon that cannot lead
  //! all endpoints waits as long for one that can: larger daemons may have
  //! started 0.45 s later, and are heard 0.5 s after that at the latest.
  Duration maxDiscoveryPeriod{ 1200000 };
  //! Time after the start in which seeds of other parts get heartbeats. They
  //! know the members that started before.
  Duration seedContactTime{ 5000000 };
  //! A fenced leader without a majority does not lead again for this time,
  //! doubled with each fencing, up to eight times the value.
  Duration fencedBackoff{ 2000000 };
  //! Members silent for longer than this do not count towards a majority.
  Duration memberRetention{ 30000000 };
  //! Delay before endpoints are retaken a second time in a row, doubled each
  //! time. A reachable leader is heard from within a few heartbeats.
  Duration retakeBackoff{ 40000 };
  //! A leader that sheds load for this long steps down in favour of a larger
  //! daemon that has been alive for as long. Twice the time in which the shed
  //! share converges, or in which a started daemon discovers the others.
  Duration overloadPeriod{ 1000000 };
  //! A link opens anew when its member has not been alive for this long, plus
  //! up to the same again by a hash, so that a group does not do so at once;
  //! doubled with each attempt, up to eight times the value. An answer on a new
  //! link takes a slow heartbeat interval.
  Duration silentLinkTimeout{ 1000000 };
  //! The most preferred candidates, which exchange fast heartbeats.
  std::size_t successorCount = 3;
  //! Groups up to this size use the fast interval throughout, and any number
  //! of their members may lead.
  std::size_t smallGroupSize = 12;
  //! In larger groups, less than one in this many members is a fragment, which
  //! is too slow to receive heartbeats or partitioned on its own. An isolated
  //! availability zone holds more members than that.
  std::size_t fragmentDivisor = 6;
  //! Election delay of a fragment, plus up to the same again by a hash of the
  //! name. Fragments lead too, since all other members may have lost power.
  Duration fragmentElectionDelay{ 1000000 };
};

//! State changes to apply and heartbeats to send.
struct ElectionEffects
{
  //! Members whose links must open anew, before the heartbeats are sent.
  std::vector<Member> silentLinks;
  //! Heartbeats to send, each with its addressee.
  std::vector<std::pair<Member, Heartbeat>> heartbeats;
  //! Fencing token of a term that this daemon started as leader.
  std::optional<std::uint64_t> termToken;
  std::string termReason; //!< Set with termToken.
  //! Set if this daemon must stop leading.
  std::optional<std::string> stepDownReason;
  //! New destination of this daemon's work; an empty name means no leader.
  std::optional<std::string> newLeader;
  std::vector<std::string> lostMembers;   //!< Members no longer alive.
  std::vector<std::string> joinedMembers; //!< Members that became alive.
};

//! Elects one leader among the daemons that reach each other. Each side of a
//! network partition has a leader; endpoints obey the higher fencing token, so
//! that two leaders never both start work at one endpoint. Thread-safe.
class LeaderElection
{
public:
  LeaderElection(Member aSelf,
                 const ElectionParameters& aParameters,
                 Clock aClock,
                 WallClock aWallClock);

  //! Sets the addresses ("IP:port") that heartbeats are sent to, whether or not
  //! they answer. Earlier ones that have never been heard are forgotten.
  //! Returns whether there is a new one.
  bool SetSeeds(Span<const std::string> aAddresses);

  ElectionEffects OnHeartbeat(const Heartbeat& aHeartbeat);

  //! The connection from this member closed, so its process ended or restarts.
  ElectionEffects OnLinkLost(std::string_view aName);

  //! An endpoint rejected this leader's token in favour of a higher one.
  ElectionEffects OnFenced();

  //! Starts a new term, so that endpoints reject leaders that used them since.
  ElectionEffects RenewTerm();

  //! Sets whether this daemon may lead; a leader that may not steps down.
  ElectionEffects SetCanLead(bool aCanLead, std::string_view aReason);

  //! Sets whether this daemon could lead all endpoints by itself.
  void SetCanLeadAll(bool aCanLeadAll);

  //! Sets the availability zone whose endpoints this daemon may lead; empty:
  //! those of all zones. Daemons of one part elect a leader among them.
  ElectionEffects SetPart(std::string_view aPart);

  //! Stops leading for good and tells all members.
  ElectionEffects Leave();

  //! Must be called every few tens of milliseconds.
  ElectionEffects Tick();

  //! Sets the endpoints where this daemon may have started work, which its
  //! heartbeats report while it leads.
  void SetEndpointsInUse(const EndpointsInUse& aEndpoints);

  //! Sets the share of new work, 0 to 1, that this daemon refuses as leader.
  void SetShedShare(double aShare);
  //! Returns the share of new work that the leader last reported to refuse.
  double LeaderShedShare() const;

  //! Whether members that started with this daemon may still be unknown.
  bool IsDiscovering() const;

  //! Returns whether another leader leads the endpoints of one zone only.
  bool IsOtherLeaderDivided() const;

  //! Calls the visitor with this daemon and each member that it has learned of.
  //! The visitor must not call this election.
  void VisitMembers(const std::function<void(const Member&)>& aVisitor) const;

  //! The alive members, each with the send time of the last heartbeat that it
  //! has echoed. All that it sent before it received that one has arrived here,
  //! also a withdrawal of its work.
  std::vector<EntryVmContact> EntryVmContacts() const;

  //! The alive daemons that lead, this one included; several if the endpoints
  //! are divided among leaders, or during a change.
  std::vector<KnownLeader> KnownLeaders() const;

  //! Whether no unreachable daemon is likely to lead: this one has a majority,
  //! and an alive leader is known for each part whose leader was lost.
  bool KnowsAllLeaders() const;

  //! Whether a heartbeat of a member of this name has arrived.
  bool HasHeard(std::string_view aName) const;

  std::string Leader() const;
  bool IsLeading() const;
  std::size_t AliveMemberCount() const;
  //! Returns whether the member was alive before and is not now.
  bool IsLost(std::string_view aName) const;

private:
  struct MemberState
  {
    Member member;
    bool isSeed = false; //!< Its address came from SetSeeds.
    bool heard = false;
    bool alive = false;
    bool disconnected = false; //!< Its link closed.
    TimePoint heardAt{};
    TimePoint aliveSince{};
    TimePoint lostAt{}; //!< Older heartbeats and echoes are ignored.
    std::uint64_t receivedSequence = 0;
    Heartbeat lastHeartbeat;
    //! Send times of heartbeats not echoed yet, by sequence.
    std::map<std::uint64_t, TimePoint> pendingEchoes;
    TimePoint echoedSentAt{}; //!< Send time of the last echoed heartbeat.
    //! When the member was found not to be alive, or its link opened anew.
    std::optional<TimePoint> silentSince;
    std::uint32_t reopenings = 0; //!< Of its link, since it was alive.
    TimePoint lastSentAt{};
    Duration interval{ 0 }; //!< Of heartbeats to it.
    bool wantsReply = true; //!< Whether this daemon needs its heartbeats.
    //! Position in the order in which members were learned; 0: address only.
    std::uint64_t learnedAs = 0;
    // Members listed to it, as positions in that order.
    std::uint64_t listAcknowledged = 0;
    std::uint64_t listSent = 0;
    std::uint64_t listSequence = 0; //!< Heartbeat with the last list.
    TimePoint listSentAt{};
    TimePoint listRestartedAt{}; //!< All members are listed anew since then.
  };

  //! Interval of members that get no heartbeats.
  static constexpr Duration kNoHeartbeats = Duration::max();

  //! Whether the member elects the same leader as this daemon.
  bool IsPeer(const MemberState& aState) const
  {
    return part_.empty() || aState.member.zone == self_.zone;
  }

  bool IsAlive(const MemberState& aState) const;
  //! Whether this leader has missed the fast heartbeats that it exchanges with
  //! each member, though the last one still announced a longer interval. The
  //! next leader relies on work of lost entry VMs being dropped in time.
  bool IsLostToLeader(const MemberState& aState) const;
  Duration MemberTimeout(const MemberState& aState) const;
  //! Sets the interval of heartbeats to each member.
  void UpdateHeartbeatIntervals();
  //! The best-ranked members that may lead, which a daemon without a leader
  //! asks for frequent heartbeats.
  std::set<const MemberState*> ProbedSuccessors() const;
  //! Whether a member without a leader waits for heartbeats of this daemon.
  bool IsProbedBy(const MemberState& aState) const;
  //! Whether either side of this link has just started, so that it needs lists
  //! of members at once.
  bool IsDiscoveryLink(const MemberState& aState) const;
  bool IsDiscoveringAt(TimePoint aTime) const;
  //! The same for a member of another part.
  void UpdateDistantInterval(MemberState& aState, bool aHasPeers) const;
  //! Opens the link to a member anew if it does not answer: the connection may
  //! have gone silent without an error.
  void ReopenIfSilent(MemberState& aState, ElectionEffects& aEffects);
  void NotifyAllWithNextTick();
  void SendHeartbeat(MemberState& aState, ElectionEffects& aEffects);
  //! Adds members that another daemon knows.
  void LearnMembers(Span<const Member> aMembers);
  //! Lists the members that the addressee has not been told of.
  std::vector<Member> ListMembers(MemberState& aState);
  bool HasMajority() const;
  //! Ends the backoff of a daemon that has had a majority for a while.
  void EndBackoffWithMajority();
  bool IsFragment() const;
  //! Time without a leader before this daemon takes over.
  Duration ElectionDelay() const;
  void MarkLost(MemberState& aState, ElectionEffects& aEffects);
  void Elect(ElectionEffects& aEffects);
  //! Leads with a token aRounds above the highest known one, or higher.
  void StartTerm(std::uint64_t aRounds,
                 std::string_view aReason,
                 ElectionEffects& aEffects);
  //! Schedules a raise of the token: at once, or after a backoff if the last
  //! one is recent.
  void ScheduleRetake();
  //! Retakes endpoints from another leader once the scheduled time is reached.
  void RetakeIfDue(ElectionEffects& aEffects);
  void StepDown(std::string_view aReason, ElectionEffects& aEffects);
  void SetLeader(const std::string& aName, ElectionEffects& aEffects);
  Heartbeat MakeHeartbeat(const MemberState& aState) const;
  bool IsPreferred() const;
  //! Whether this leader sheds load that a larger daemon could handle.
  bool ShouldYieldToLarger() const;

  mutable std::mutex mutex_;
  Member self_;
  ElectionParameters parameters_;
  Clock clock_;
  WallClock wallClock_;
  TimePoint startedAt_;
  TimePoint now_{};
  std::map<std::string, MemberState> members_; //!< By address.
  std::uint64_t learnedCount_ = 0; //!< Of members with more than an address.
  TimePoint learnedAt_{};          //!< When the last one was learned.
  std::string part_;
  bool knowsPart_ = false; //!< Set by SetPart, not by another daemon.
  std::uint64_t sequence_ = 0;
  std::uint64_t token_ = 0;
  TimePoint leadingSince_{}; //!< Valid if token_ is not 0.
  std::uint64_t highestToken_ = 0;
  EndpointsInUse endpointsInUse_;
  double shedShare_ = 0;
  std::optional<TimePoint> sheddingSince_;
  std::string leader_;
  TimePoint leaderlessSince_;
  TimePoint lastTickAt_;
  TimePoint resumedAt_{};
  bool ledAsFragment_ = false; //!< At the start of the current term.
  bool canLead_ = false;
  bool canLeadAll_ = true;
  TimePoint canLeadSince_{};
  bool leaving_ = false;
  TimePoint backoffUntil_{};
  std::optional<TimePoint> majoritySince_; //!< Set while in backoff only.
  std::uint32_t minorityFencings_ = 0;     //!< Without a majority.
  std::uint32_t consecutiveFencings_ = 0;  //!< With a majority.
  TimePoint fencedAt_{};
  std::optional<TimePoint> retakeAt_;
};

}

#endif
