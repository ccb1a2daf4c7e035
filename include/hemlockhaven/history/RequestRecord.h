#ifndef HEMLOCKHAVEN_HISTORY_REQUESTRECORD_H
#define HEMLOCKHAVEN_HISTORY_REQUESTRECORD_H

#include "hemlockhaven/core/Labels.h"
#include "hemlockhaven/core/Refusal.h"
#include "hemlockhaven/job/Job.h"
#include "hemlockhaven/selector/Selector.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace hemlockhaven {

//! What happened to one submission, for people.
struct RequestRecord
{
  std::string id; //!< Text of the submission id.
  std::string caller;
  std::string kind;
  Labels labels; //!< Includes "caller", "kind" and "urgency".
  std::uint32_t tasks = 1;
  std::int64_t submittedMs = 0; //!< Milliseconds since the Unix epoch.
  std::int64_t startedMs = 0;   //!< 0: nothing started.
  std::int64_t endedMs = 0;     //!< 0: not over.
  JobState state = JobState::Running;
  Reason reason = Reason::None; //!< Why it failed, was refused or waits.
  Ran ran = Ran::NotRun;
  std::string zone;      //!< Availability zone that it went to.
  Labels endpointLabels; //!< Labels of the last endpoint.
};

//! Which records a person asks for.
struct WhereQuery
{
  Selector selector;        //!< Over the records' labels.
  std::int64_t sinceMs = 0; //!< By time of submission.
  std::int64_t untilMs = INT64_MAX;
  std::size_t most = 20; //!< Records in the answer, newest first.
};

}

#endif
