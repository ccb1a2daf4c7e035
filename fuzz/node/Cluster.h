#ifndef HEMLOCKHAVEN_FUZZ_NODE_CLUSTER_H
#define HEMLOCKHAVEN_FUZZ_NODE_CLUSTER_H

#include "fuzz/node/Command.h"
#include "fuzz/node/FakeLog.h"
#include "fuzz/node/Oracle.h"
#include "hemlockhaven/core/Guard.h"
#include "hemlockhaven/node/Node.h"
#include "hemlockhaven/node/PeerRequests.h"
#include "hemlockhaven/platform/LogReader.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockhaven::Fuzz {

//! Three nodes in two availability zones, driven by commands in one thread,
//! with fakes at their hooks.
class Cluster
{
public:
  Cluster(std::uint64_t aSeed, GuardHook aGuard);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  void Apply(const Command& aCommand);
  //! Ends all faults and lets all work end; no job may remain.
  void Quiesce();
  const Oracle& Facts() const { return oracle_; }

private:
  static constexpr std::size_t kNodes = 3;
  static constexpr std::size_t kEndpoints = 4;

  enum class Stage : std::uint8_t
  {
    Serving,
    Leaving,
    ShuttingDown,
    HandOverFailed, //!< Answers stay here until the shutdown limit.
  };

  //! One daemon: its VM and its present incarnation, if it runs.
  struct Member
  {
    EntryVm vm;
    Incarnation self;
    std::unique_ptr<Node> node;
    std::unique_ptr<LogReader> reader;
    Stage stage = Stage::Serving;
    TimePoint stageAt{};
    std::set<std::uint64_t> keysRead; //!< Low halves of key hashes.
    std::set<std::size_t> waiting;    //!< Submissions by key.
    std::set<std::string> leaving;    //!< Endpoints, by its own list.
    std::optional<std::size_t> heir;  //!< Who got its last archive.
  };

  struct UnderWay
  {
    std::size_t node = 0;
    std::uint64_t incarnation = 0;
    Attempt attempt;
    TimePoint limit{};
    bool givenUp = false; //!< Ended at the endpoint before.
  };

  struct PendingCall
  {
    std::size_t from = 0;
    std::size_t to = 0;
    std::uint64_t fromNumber = 0;
    std::uint64_t toNumber = 0;
    std::optional<Message> request; //!< Until it is delivered.
    std::optional<Message> reply;
    PeerHooks::Done done; //!< Empty: the caller has given up.
    TimePoint limit{};
  };

  struct Digest
  {
    std::size_t from = 0;
    std::size_t to = 0;
    std::uint64_t fromNumber = 0;
    std::uint64_t toNumber = 0;
    PeerDigest digest;
  };

  // Life of a node.
  void Start(std::size_t aNode);
  void End(std::size_t aNode);
  void AdvanceStops();
  void FinishStop(Member& aMember);
  void CheckStarted(const Member& aMember);
  void CheckAccepted(Member& aMember);
  NodeHooks HooksOf(std::size_t aNode);
  NodeLimits LimitsOf() const;

  // Peers.
  bool IsCut(std::size_t aFrom, std::size_t aTo) const;
  bool Connect(std::size_t aFrom, std::size_t aTo);
  void LoseLink(std::size_t aFrom, std::size_t aTo);
  void Call(std::size_t aFrom,
            std::string_view aNode,
            const Message& aRequest,
            Duration aLimit,
            PeerHooks::Done aDone);
  void CallNow(std::size_t aTo,
               const Message& aRequest,
               const PeerHooks::Done& aDone);
  void DeliverCall(std::uint64_t aCall);
  void DeliverDigest(std::size_t aAt);
  void DeliverAll();
  void EndCall(std::uint64_t aCall);
  bool IsRunning(std::size_t aNode, std::uint64_t aNumber) const;

  // Endpoints.
  void Send(std::size_t aNode, const Attempt& aAttempt);
  void FinishOne(std::size_t aAt, AttemptEnd aEnd);

  // The platform.
  void GiveList(std::size_t aNode);
  void ReadLog(std::size_t aNode);
  void AppendDue(std::size_t aNode);
  void CheckConfiguration(std::size_t aNode);

  // Commands.
  void SubmitNew(const Command& aCommand);
  void SubmitAgain(const Command& aCommand);
  void SubmitOther(const Command& aCommand);
  void SubmitKey(const Command& aCommand);
  void SubmitAt(std::size_t aNode, std::size_t aSubmission);
  void SubmitKeyAt(std::size_t aNode, std::size_t aSubmission);
  void Fetch(std::size_t aNode, const SubmissionId& aId);
  void Cancel(const Command& aCommand);
  void Finish(const Command& aCommand);
  void Deliver(const Command& aCommand);
  void DropCall(const Command& aCommand);
  void Advance(Duration aTime);
  void TickOne(std::size_t aNode);
  void Configure(const Command& aCommand);
  void Stop(std::size_t aNode);

  JobSpec MakeSpec(const Command& aCommand);
  std::optional<std::size_t> AnyRunning(std::uint32_t aNumber) const;
  std::uint32_t Draw(std::uint32_t aBelow);
  std::string NowText() const;

  std::mt19937_64 random_;
  GuardHook guard_;
  Oracle oracle_;
  FakeLog log_;
  TimePoint now_{ std::chrono::seconds(100) };
  bool calm_ = false; //!< No faults at the hooks any more.
  bool zonesCut_ = false;
  VmList platform_;
  std::uint64_t nextCall_ = 1;
  std::uint64_t nextDocument_ = 1;
  std::map<std::uint64_t, PendingCall> calls_;
  std::vector<Digest> digests_;
  std::vector<UnderWay> underWay_;
  std::vector<UnderWay> ended_; //!< For a second end.
  std::map<std::string, Configuration> documents_;
  //! Incarnation numbers of both ends of each link; 0: no link.
  std::array<std::array<std::uint64_t, kNodes>, kNodes> links_{};
  std::array<Member, kNodes> members_;
};

}

#endif
