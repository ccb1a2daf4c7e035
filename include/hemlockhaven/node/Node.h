#ifndef HEMLOCKHAVEN_NODE_NODE_H
#define HEMLOCKHAVEN_NODE_NODE_H

#include "hemlockhaven/configuration/ConfigurationStore.h"
#include "hemlockhaven/core/Result.h"
#include "hemlockhaven/core/Span.h"
#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/dispatch/Dispatcher.h"
#include "hemlockhaven/fleet/EndpointDescription.h"
#include "hemlockhaven/history/HistoryBatcher.h"
#include "hemlockhaven/history/HistoryBook.h"
#include "hemlockhaven/identity/ClaimLedger.h"
#include "hemlockhaven/identity/IdIssuer.h"
#include "hemlockhaven/identity/KeyHash.h"
#include "hemlockhaven/job/JobBook.h"
#include "hemlockhaven/job/JobSpec.h"
#include "hemlockhaven/membership/Messages.h"
#include "hemlockhaven/membership/Roster.h"
#include "hemlockhaven/metrics/Counters.h"
#include "hemlockhaven/node/ArchiveBook.h"
#include "hemlockhaven/node/DigestSender.h"
#include "hemlockhaven/node/FetchWaiters.h"
#include "hemlockhaven/node/Forwarder.h"
#include "hemlockhaven/node/HomeRouter.h"
#include "hemlockhaven/node/NodeHooks.h"
#include "hemlockhaven/node/NodeLimits.h"
#include "hemlockhaven/platform/VmList.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hemlockhaven {

//! What `where` finds.
struct WhereResult
{
  std::vector<RequestRecord> records; //!< Newest submission first.
  std::uint64_t lost = 0;          //!< Records that were dropped in an outage.
  std::vector<std::string> silent; //!< Daemons that did not answer.
};

//! One daemon without sockets: it wires the aggregates to each other and to
//! the hooks. Thread-safe; methods may block only where they say so.
class Node
{
public:
  //! aOwnVm names this daemon, its availability zone and its weight.
  Node(const Incarnation& aSelf,
       const EntryVm& aOwnVm,
       NodeHooks aHooks,
       NodeLimits aLimits);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  const Incarnation& Self() const { return issuer_.Self(); }

  // Callers.

  //! Reserves consecutive ids and returns the first; nothing starts.
  Result<SubmissionId> ReserveIds(std::uint32_t aCount);

  //! Submits under an id. A repeated submission joins the first one and
  //! starts nothing. Blocks while the home of the id, if it is another
  //! daemon, is asked.
  Result<void> Submit(const SubmissionId& aId, JobSpec aSpec);

  //! Submits under the caller's own key, which is claimed in the platform's
  //! log; blocks for that. Returns the id under which it runs.
  Result<SubmissionId> SubmitByKey(const KeyHash& aKey,
                                   LogOffset aEpoch,
                                   JobSpec aSpec);

  //! Waits for the answer until the limit; state Running if it is not over.
  Result<JobAnswer> WaitFor(const SubmissionId& aId, Duration aLimit);

  //! Cancels what has not started. Blocks as Submit does.
  Result<JobState> Cancel(const SubmissionId& aId);

  //! Whether this incarnation issued the id and nothing was submitted under
  //! it, so that a refusal of it may say "not run".
  bool IsUnused(const SubmissionId& aId) const { return issuer_.IsUnused(aId); }

  // Operators.

  //! Records of requests of all daemons that answer within the limit, and of
  //! the log. Blocks.
  WhereResult Where(const WhereQuery& aQuery, Duration aLimit);

  // Endpoints and the platform.

  //! Ends an attempt that the send hook started.
  void FinishAttempt(AttemptId aId, AttemptResult&& aResult);

  //! Takes the VM list's present state. Not called while it cannot be read.
  void SetVmList(VmList aList);

  //! Listed endpoints that the selector matches.
  std::size_t CountListed(const Selector& aSelector);

  // Fed from the platform's log.
  ClaimLedger& Claims() { return claims_; }
  ConfigurationStore& Configurations() { return configurations_; }
  HistoryBook& History() { return history_; }

  // Peers.

  Roster& Peers() { return roster_; }

  //! A digest arrived on a link.
  void OnDigest(const Incarnation& aFrom, const PeerDigest& aDigest);

  // What peers ask for; PeerRequests calls these and none of them blocks.

  //! As Submit for an id of this incarnation or of a stopped home whose
  //! answers it keeps.
  Result<void> SubmitFromPeer(const SubmissionId& aId, JobSpec aSpec);
  Result<JobState> CancelHere(const SubmissionId& aId);

  //! As SubmitByKey for a key that this incarnation holds.
  Result<SubmissionId> SubmitHeldKey(const KeyHash& aKey,
                                     LogOffset aEpoch,
                                     JobSpec aSpec);

  //! Replies when the job is over, or with its state after the wait.
  void Fetch(const SubmissionId& aId,
             Duration aWait,
             FetchWaiters::Reply aReply);

  //! Starts a task for a peer now, or refuses it as not run.
  void RunForPeer(std::shared_ptr<TaskGroup> aGroup);

  //! Keeps what a stopped home handed over.
  Result<void> AddArchive(Archive&& aPart)
  {
    return archives_.Add(std::move(aPart));
  }

  //! The configuration for a peer; version 0 if none is known.
  ConfigurationOffer OfferConfiguration() const;

  // Life cycle.

  //! Does what is due by time; called several times a second.
  void Tick();

  //! Appends to the log what is due; blocks, so it has a thread of its own.
  void AppendDue();

  //! Whether the configuration is known, where there is one, and the daemon is
  //! not being stopped.
  bool IsReady() const;

  //! Readiness ends; submissions are still taken.
  void BeginLeaving() { leaving_ = true; }

  //! Refuses new submissions as not run from now on.
  void BeginShutdown() { shuttingDown_ = true; }
  bool IsShuttingDown() const { return shuttingDown_; }

  //! Whether nothing that was accepted here is under way.
  bool IsIdle() const;

  //! Gives the endpoints to the other daemons and hands finished answers to a
  //! successor. Called once the node is idle; blocks.
  Result<void> HandOver();

  Counters& Counts() { return counters_; }
  const Counters& Counts() const { return counters_; }
  const Dispatcher& Dispatch() const { return dispatcher_; }
  const JobBook& Jobs() const { return jobs_; }
  std::uint64_t LostHistory() const { return historyBatcher_.LostCount(); }

private:
  Result<void> SubmitHere(const SubmissionId& aId, JobSpec&& aSpec);
  Result<void> Start(const SubmissionId& aId,
                     const std::shared_ptr<TaskGroup>& aGroup);
  Result<SubmissionId> SubmitClaimed(const KeyHash& aKey,
                                     const ClaimAnswer& aClaim,
                                     std::uint64_t aSequence,
                                     JobSpec&& aSpec);
  JobBook::Hooks JobHooksOf(const std::shared_ptr<TaskGroup>& aGroup);
  Result<JobAnswer> Explain(const SubmissionId& aId,
                            Result<JobAnswer>&& aAnswer);
  void ApplySteering(JobSpec& aSpec) const;
  Archive OwnArchive();
  Result<void> SendArchive(std::string_view aNode, const Archive& aPart);
  Error Refuse(Error aError);
  Error RefuseStopping(std::string_view aStep);

  void RecordAccepted(TaskGroup& aGroup);
  void RecordEnded(const TaskGroup& aGroup, const JobAnswer& aAnswer);
  RequestRecord RecordOf(const TaskGroup& aGroup) const;

  void PullConfiguration(const Incarnation& aFrom);
  void OnConfiguration(const ConfigurationStore::State& aState);
  std::uint64_t ConfigurationVersionNow() const;
  void UpdateOwnership();
  NodeHooks hooks_;
  NodeLimits limits_;
  Counters counters_;
  IdIssuer issuer_;
  JobBook jobs_;
  ClaimLedger claims_;
  HistoryBook history_;
  HistoryBatcher historyBatcher_;
  ArchiveBook archives_;
  Roster roster_;
  HomeRouter router_;
  Dispatcher dispatcher_;
  ConfigurationStore configurations_;
  Forwarder forwarder_;
  FetchWaiters fetchWaiters_;
  DigestSender digests_;
  std::mutex slotTimesMutex_; //!< Guards slotTimes_.
  std::unordered_map<std::string, SlotTimeReader> slotTimes_; //!< By node.
  std::mutex fleetMutex_; //!< Guards the members below.
  std::vector<EndpointDescription> listed_;
  std::string ownersSeen_;
  bool fleetChanged_ = false;
  TimePoint nextDispatcherTick_{}; //!< Of the thread that calls Tick.
  std::atomic<bool> pulling_{ false };
  std::atomic<std::size_t> runningForPeers_{ 0 };
  std::atomic<bool> leaving_{ false };
  std::atomic<bool> shuttingDown_{ false };
};

}

#endif
