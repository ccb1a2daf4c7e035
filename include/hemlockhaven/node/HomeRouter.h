#ifndef HEMLOCKHAVEN_NODE_HOMEROUTER_H
#define HEMLOCKHAVEN_NODE_HOMEROUTER_H

#include "hemlockhaven/core/Result.h"
#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/identity/KeyHash.h"
#include "hemlockhaven/identity/SubmissionId.h"
#include "hemlockhaven/job/JobBook.h"
#include "hemlockhaven/job/JobSpec.h"
#include "hemlockhaven/membership/Roster.h"
#include "hemlockhaven/node/PeerHooks.h"
#include "hemlockhaven/platform/LogHooks.h"

#include <optional>
#include <string>

namespace hemlockhaven {

//! Routes submissions to the daemon that issued their id, or to the successor
//! of a stopped one.
//!
//! Its errors never say "not run": an earlier submission under the same id may
//! have run, and only the home or its successor knows.
class HomeRouter
{
public:
  HomeRouter(const Roster& aRoster, PeerHooks aPeers);

  Result<void> Submit(const SubmissionId& aId, const JobSpec& aSpec) const;
  Result<JobAnswer> Fetch(const SubmissionId& aId, Duration aWait) const;
  Result<JobState> Cancel(const SubmissionId& aId) const;

  //! Submits a key whose claim the home holds; returns the submission's id.
  Result<SubmissionId> SubmitByKey(const Incarnation& aHolder,
                                   const KeyHash& aKey,
                                   LogOffset aEpoch,
                                   const JobSpec& aSpec) const;

private:
  //! The node to ask, or why nobody can be asked.
  Result<std::string> NodeFor(const Incarnation& aHome) const;
  Result<Message> Ask(const Incarnation& aHome,
                      const Message& aRequest,
                      Duration aLimit) const;

  const Roster& roster_;
  PeerHooks peers_;
};

}

#endif
