#ifndef HEMLOCKHAVEN_FRONT_JOBQUERY_H
#define HEMLOCKHAVEN_FRONT_JOBQUERY_H

#include "hemlockhaven/scheduler/JobState.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace hemlockhaven {

enum class JobQueryKind : std::uint8_t
{
  State,
  Cancel,
};

//! Longest job id that a query may name.
constexpr std::size_t kMaxQueriedIdBytes = 64;

//! Asks a leader for the state of a job, or to cancel it. An empty workId marks
//! a message that could not be decoded.
struct JobQuery
{
  std::uint64_t id = 0; //!< Unique at the sender; 0: no reply is wanted.
  JobQueryKind kind = JobQueryKind::State;
  std::string workId;
  std::uint64_t term = 0; //!< Of the sender, if it leads.
};

//! The reply of a leader. A queryId of 0 marks a message that could not be
//! decoded.
struct JobQueryReply
{
  std::uint64_t queryId = 0;
  JobState state = JobState::Unknown;
  std::uint64_t term = 0; //!< Of the sender; 0 only with NotLeading.
};

inline bool IsWellFormed(const JobQuery& aQuery)
{
  return !aQuery.workId.empty() && aQuery.workId.size() <= kMaxQueriedIdBytes;
}

inline bool IsWellFormed(const JobQueryReply& aReply)
{
  return aReply.queryId != 0 &&
         (aReply.term == 0) == (aReply.state == JobState::NotLeading);
}

}

#endif
