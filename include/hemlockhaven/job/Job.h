#ifndef HEMLOCKHAVEN_JOB_JOB_H
#define HEMLOCKHAVEN_JOB_JOB_H

#include "hemlockhaven/core/Guard.h"
#include "hemlockhaven/core/Span.h"
#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/identity/SubmissionId.h"
#include "hemlockhaven/job/TaskOutcome.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockhaven {

enum class JobState : std::uint8_t
{
  Running,
  Complete,
  Failed,
};

//! The state's name in replies: "running", "complete", "failed".
std::string_view JobStateName(JobState aState);

//! A job and the outcomes of its tasks.
//!
//! It leaves Running once, when its last task has ended. Its answer is whole
//! or absent: outcomes are visible only in Complete. Not thread-safe.
class Job
{
public:
  Job(SubmissionId aId, std::size_t aTaskCount, const GuardHook& aGuard = {});

  const SubmissionId& Id() const { return id_; }
  JobState State() const { return state_; }
  std::size_t TaskCount() const { return outcomes_.size(); }
  std::size_t EndedCount() const { return ended_; }
  bool IsOver() const { return state_ != JobState::Running; }

  //! Whether tasks that have not started must not start any more.
  bool IsStopping() const { return cancelled_ || firstError_.has_value(); }

  //! Records a task's outcome. A second outcome of the same task and an index
  //! out of range are ignored and return false.
  bool EndTask(std::uint32_t aIndex, TaskOutcome&& aOutcome);

  //! Asks for cancellation; false if the job is over. The job ends
  //! Failed with Reason::Cancelled unless all its tasks succeed all the same.
  bool Cancel();

  //! The first error, if a task did not succeed.
  const Error* GetFirstError() const;

  //! Whether any task ran: Ran::Ran before Ran::Unknown before Ran::NotRun.
  Ran WhatRan() const { return ran_; }

  //! When the first task started; the default time if none did.
  TimePoint FirstStart() const { return firstStart_; }

  //! Availability zone of the last task that ended on an endpoint.
  const std::string& Zone() const { return zone_; }

  //! All outcomes in the order of the tasks; empty unless Complete.
  Span<const TaskOutcome> Results() const;

private:
  void Finish();

  SubmissionId id_;
  JobState state_ = JobState::Running;
  bool isWholeOnly_; //!< Guard::JobAnswerIsWhole.
  bool cancelled_ = false;
  Ran ran_ = Ran::NotRun;
  TimePoint firstStart_{};
  std::string zone_;
  std::size_t ended_ = 0;
  std::optional<Error> firstError_;
  std::vector<std::optional<TaskOutcome>> outcomes_; //!< While Running.
  std::vector<TaskOutcome> results_;                 //!< Filled when Complete.
};

}

#endif
