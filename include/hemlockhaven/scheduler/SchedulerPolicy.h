#ifndef HEMLOCKHAVEN_SCHEDULER_SCHEDULERPOLICY_H
#define HEMLOCKHAVEN_SCHEDULER_SCHEDULERPOLICY_H

#include "hemlockhaven/admission/RoomShares.h"
#include "hemlockhaven/core/Time.h"

#include <functional>

namespace hemlockhaven {

//! Timeouts and limits of a scheduler. The defaults suit tasks of 50 ms to 1 s
//! and round trips to endpoints of a few milliseconds.
struct SchedulerPolicy
{
  //! Lease of all runs at an endpoint; limited by what endpoints grant.
  Duration lease{ 600000 };
  //! Longest lease that an endpoint grants, whatever the deadline.
  Duration maxGrantedLease{ 1000000 };
  //! How long a poll waits for a run to end. A poll without a reply and another
  //! one fit into a lease.
  Duration pollWait{ 150000 };
  //! Interval at which an endpoint without runs is polled, for each endpoint of
  //! the part, up to maxIdlePollDelay. Polls of idle endpoints must not take up
  //! the leader's link and processor. Without effect below pollWait.
  Duration idlePollDelayPerEndpoint{ 2500 };
  Duration maxIdlePollDelay{ 500000 };
  //! A start that arrives later is rejected; covers a few round trips and a
  //! slow sender.
  Duration startValidity{ 400000 };
  //! An endpoint that has not replied for this long gets no starts; covers a
  //! poll's wait and some round trips.
  Duration responseTimeout{ 350000 };
  //! No work is started and no lease renewed if the last tick is longer ago: a
  //! process that was paused handles its input before its timers. With the time
  //! after which a member is lost and a lease it ends before a caller sends its
  //! job again.
  Duration maxViewAge{ 250000 };
  //! Delay before a failed poll is retried.
  Duration pollRetryDelay{ 30000 };
  //! Runs of unknown work are stopped after this; entry VMs resubmit their work
  //! within a few round trips of a new leader's first heartbeat.
  Duration orphanGracePeriod{ 200000 };
  //! Longest wait of polls to an endpoint with runs of unknown work.
  Duration orphanPollWait{ 50000 };
  //! After a takeover, runs at endpoints that do not reply have ended after
  //! this: the old leader drops entry VMs that it lost, and leases expire.
  Duration takeoverHoldTime{ 1300000 };
  //! Work of another leader starts a new term, at most one in this time: such
  //! work is resubmitted one by one, and a term polls every endpoint.
  Duration minTermDuration{ 50000 };
  //! The same limit per endpoint; the longer of the two applies. Several times
  //! the cost of a poll.
  Duration minTermPerEndpoint{ 500 };
  //! Endpoints are expected to reply to a new leader's first poll within this.
  Duration takeoverTime{ 300000 };
  //! A new endpoint gets no work until heartbeats have announced it, or until
  //! the work of an entry VM that received none of them was dropped.
  Duration newEndpointDelay{ 450000 };
  //! An endpoint that left the list is kept this long, as it may still run work
  //! behind a network partition; partitions seldom last longer.
  Duration unlistedRetention{ 30000000 };
  //! Delay between polls of such an endpoint.
  Duration unlistedPollDelay{ 500000 };
  //! A run is considered hung after its predicted time multiplied by this, ...
  double hangFactor = 4;
  //! ... and at least this.
  Duration minHangTime{ 400000 };
  //! An answer after the accepted response time multiplied by this is of no
  //! use; work that has not started by then is refused.
  double uselessFactor = 3;
  //! Time for the messages between the end of a run and the caller.
  Duration replyTime{ 8000 };
  //! How long finished work is kept, to answer repeated submissions.
  Duration finishedRetention{ 5000000 };
  //! Run time of a task away from the rack of its data, or spread over racks,
  //! relative to its run time there; the first value of what is learned.
  double remoteFactor = 2;
  //! Shortest retry delay that a refused caller is told.
  Duration minRetryAfter{ 1000000 };
  //! Whether scarce capacity is divided among groups of callers (RoomShares);
  //! otherwise work is taken in order of arrival.
  bool sharesRoom = false;
  //! Room that work of a group over its share leaves free, as a part of the
  //! time that it may wait.
  double reservedSlack = 0.5;
  //! Replaces the rule by which accepted work gives way to new work, with
  //! sharesRoom; for comparisons with other rules.
  std::function<bool(const RoomClaim& aAccepted, const RoomClaim& aNew)>
    givesWay;
};

}

#endif
