#ifndef HEMLOCKHAVEN_SCHEDULER_SCHEDULERPOLICY_H
#define HEMLOCKHAVEN_SCHEDULER_SCHEDULERPOLICY_H

#include "hemlockhaven/core/Time.h"

namespace hemlockhaven {

//! Times and limits of a scheduler. The defaults fit tasks of 50 ms to a
//! second on endpoints within a few milliseconds.
struct SchedulerPolicy
{
  //! Lease of all runs at an endpoint; bounded by what endpoints grant.
  Duration lease{ 600000 };
  //! How long a look waits for an end: a look without an answer, and another
  //! one, fit into a lease.
  Duration pollWait{ 150000 };
  //! A start that arrives later is void: a few round trips and a slow sender.
  Duration startValidity{ 400000 };
  //! Without an answer for so long an endpoint gets no starts: a look's wait
  //! and some round trips.
  Duration responseTimeout{ 350000 };
  //! Pause before a failed look is tried again.
  Duration pollRetryDelay{ 30000 };
  //! Runs of unknown work are stopped after this; their fronts hand the work
  //! in again within a few round trips of a new leader's first beat.
  Duration orphanGracePeriod{ 200000 };
  //! Looks at an endpoint with runs of unknown work wait no longer than this.
  Duration orphanPollWait{ 50000 };
  //! After taking over, runs at endpoints that do not answer are over after
  //! this: the old leader gives up lost fronts, and leases lapse.
  Duration takeoverHoldTime{ 1300000 };
  //! Work of another leader begins a new term, at most one in this time: such
  //! work comes in many pieces, and a term costs a look at each endpoint.
  Duration minTermDuration{ 50000 };
  //! ... and longer where there are many: several times what a look costs.
  Duration minTermPerEndpoint{ 500 };
  //! Endpoints are expected to answer a new leader's first look within this.
  Duration takeoverTime{ 300000 };
  //! A new endpoint gets no work until the beats have told of it, or until the
  //! work of a front that heard none of them has been given up.
  Duration newEndpointDelay{ 450000 };
  //! An endpoint that left the list may still run work behind a cut for so
  //! long; cuts seldom last longer.
  Duration unlistedRetention{ 30000000 };
  //! Pause between looks at such an endpoint.
  Duration unlistedPollDelay{ 500000 };
  //! A run is taken to hang after its predicted time times this, ...
  double hangFactor = 4;
  //! ... and at least this.
  Duration minHangTime{ 400000 };
  //! An answer later than this many times the accepted time is of no use.
  double uselessFactor = 3;
  //! Time for messages from a run's end to the caller.
  Duration replyTime{ 8000 };
  //! Finished work is remembered for repeated submissions.
  Duration finishedRetention{ 5000000 };
  //! Least time that a refused caller is told to wait.
  Duration minRetryAfter{ 1000000 };
};

}

#endif
