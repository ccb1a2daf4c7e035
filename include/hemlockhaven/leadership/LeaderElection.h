#ifndef HEMLOCKHAVEN_LEADERSHIP_LEADERELECTION_H
#define HEMLOCKHAVEN_LEADERSHIP_LEADERELECTION_H

#include "hemlockhaven/core/Span.h"
#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/leadership/Heartbeat.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hemlockhaven {

//! Times of an election.
struct ElectionParameters
{
  //! Pause between beats of daemons that matter to each other: leaders,
  //! those that may follow them, and all in a small group.
  Duration heartbeatInterval{ 70000 };
  //! Pause between beats of any other two, and to addresses that are silent.
  Duration slowHeartbeatInterval{ 700000 };
  //! A member that is not heard, or that does not hear us, for so long is
  //! taken to be lost: five beats. Longer by as much as its beats are slower.
  Duration memberTimeout{ 350000 };
  //! A daemon waits so long without a leader before it leads, since members do
  //! not lose a leader at the same moment.
  Duration electionDelay{ 60000 };
  //! Time to hear other members after this process stood still.
  Duration resumeDelay{ 150000 };
  //! Time to find other members after the start: daemons that start together
  //! do so within 0.4 s.
  Duration discoveryPeriod{ 500000 };
  //! After another leader took its endpoints, a minority stays away for this,
  //! doubled each time up to eight times.
  Duration fencedBackoff{ 2000000 };
  //! Members that were not seen for so long do not count for a majority.
  Duration memberRetention{ 30000000 };
  //! Pause before endpoints are taken back a second time in a row, doubled each
  //! time: another leader shows up within a few beats.
  Duration retakeBackoff{ 40000 };
  //! A leader that refuses work for want of its own processor for so long gives
  //! up for a larger daemon that it has heard for as long: twice the time that
  //! the share takes to settle, or a daemon to find others after its start.
  Duration overloadPeriod{ 1000000 };
  //! Daemons that may follow a leader, in order of preference.
  std::size_t successorCount = 3;
  //! Up to so many members all beat fast, and any number of them may lead.
  std::size_t smallGroupSize = 12;
  //! In larger groups, less than one in so many members is a fragment: too
  //! slow to hear the others, or cut off by itself. An availability zone is
  //! more.
  std::size_t fragmentDivisor = 6;
  //! A fragment leads after this, and again as much by its name: the others
  //! may all have lost power.
  Duration fragmentElectionDelay{ 1000000 };
};

//! What changed, in order.
struct ElectionEffects
{
  //! Beats to send, by member.
  std::vector<std::pair<Member, Heartbeat>> heartbeats;
  //! This daemon became leader with this fencing token.
  std::optional<std::uint64_t> termToken;
  std::string termReason; //!< With lead.
  //! This daemon must stop leading.
  std::optional<std::string> stepDownReason;
  //! The leader that this daemon's work goes to changed; empty: none.
  std::optional<std::string> newLeader;
  std::vector<std::string> lostMembers;   //!< Members that are gone.
  std::vector<std::string> joinedMembers; //!< Members that appeared.
};

//! Chooses one leader among the daemons that reach each other. Two groups that
//! do not reach each other have a leader each; endpoints obey the one with the
//! higher fencing token, so that leaders never both start work at one endpoint.
class LeaderElection
{
public:
  LeaderElection(Member aSelf,
                 const ElectionParameters& aParameters,
                 Clock aClock,
                 WallClock aWallClock);

  //! A daemon that may exist; beats will be sent there.
  void AddMember(const Member& aMember);

  ElectionEffects OnHeartbeat(const Heartbeat& aHeartbeat);

  //! The connection from this member ended: its process is gone or restarts.
  ElectionEffects OnLinkLost(std::string_view aName);

  //! Endpoints follow another leader that this daemon does not see.
  ElectionEffects OnFenced();

  //! Begins a new term, so that endpoints refuse whoever took them since.
  ElectionEffects RenewTerm();

  //! Whether this daemon may lead; a leader that may not yields.
  ElectionEffects SetCanLead(bool aCanLead, std::string_view aReason);

  //! This daemon is stopping.
  ElectionEffects Leave();

  //! To be called every few tens of milliseconds.
  ElectionEffects Tick();

  //! Endpoints that this daemon may have started work at, for its beats.
  void SetEndpointsInUse(const EndpointsInUse& aEndpoints);

  //! Share of new work that this daemon would refuse as leader.
  void SetShedShare(double aShare);
  //! Share of new work that the leader last said to refuse.
  double LeaderShedShare() const;

  std::string Leader() const;
  bool IsLeading() const;
  std::size_t AliveMemberCount() const;
  //! Whether the member was alive and has not been since.
  bool IsLost(std::string_view aName) const;

private:
  struct MemberState
  {
    Member member;
    bool heard = false;
    bool alive = false;
    bool disconnected = false; //!< Its link ended; not only silent.
    TimePoint heardAt{};
    TimePoint aliveSince{};
    TimePoint lostAt{}; //!< What was heard before does not count any more.
    std::uint64_t receivedSequence = 0;
    Heartbeat lastHeartbeat;
    //! When beats that may still be echoed were sent.
    std::map<std::uint64_t, TimePoint> pendingEchoes;
    TimePoint echoedSentAt{}; //!< When the last echoed beat was sent.
    TimePoint lastSentAt{};
    TimePoint membersSentAt{}; //!< A beat to it told of other members.
    Duration interval{ 0 };    //!< Of beats to it.
  };

  bool IsAlive(const MemberState& aState) const;
  Duration MemberTimeout(const MemberState& aState) const;
  //! Sets how often each member gets beats.
  void UpdateHeartbeatIntervals();
  bool HasMajority() const;
  bool IsFragment() const;
  //! How long this daemon waits without a leader before it leads.
  Duration ElectionDelay() const;
  void MarkLost(MemberState& aState, ElectionEffects& aEffects);
  void Elect(ElectionEffects& aEffects);
  //! Leads with a token that many rounds above all that are known.
  void StartTerm(std::uint64_t aRounds,
                 std::string_view aReason,
                 ElectionEffects& aEffects);
  //! Plans to raise the token: at once, or after a pause if that was lately.
  void ScheduleRetake();
  //! Takes endpoints back from another leader, if it is time.
  void RetakeIfDue(ElectionEffects& aEffects);
  void StepDown(std::string_view aReason, ElectionEffects& aEffects);
  void SetLeader(const std::string& aName, ElectionEffects& aEffects);
  Heartbeat MakeHeartbeat(const MemberState& aState) const;
  bool IsPreferred() const;
  //! Whether this leader refuses work that a larger daemon could take.
  bool ShouldYieldToLarger() const;

  mutable std::mutex mutex_;
  Member self_;
  ElectionParameters parameters_;
  Clock clock_;
  WallClock wallClock_;
  TimePoint startedAt_;
  TimePoint now_{};
  std::map<std::string, MemberState> members_; //!< By address.
  std::uint64_t sequence_ = 0;
  std::uint64_t token_ = 0;
  std::uint64_t highestToken_ = 0;
  EndpointsInUse endpointsInUse_;
  double shedShare_ = 0;
  std::optional<TimePoint> sheddingSince_;
  std::string leader_;
  TimePoint leaderlessSince_;
  TimePoint lastTickAt_;
  TimePoint resumedAt_{};
  bool ledAsFragment_ = false; //!< When it began to lead.
  bool canLead_ = false;
  bool leaving_ = false;
  TimePoint backoffUntil_{};
  std::uint32_t minorityFencings_ = 0;    //!< As a minority.
  std::uint32_t consecutiveFencings_ = 0; //!< As a majority.
  TimePoint fencedAt_{};
  std::optional<TimePoint> retakeAt_; //!< When to take endpoints back.
};

}

#endif
