#include "hemlockhaven/job/Job.h"

#include <algorithm>
#include <utility>

namespace hemlockhaven {

std::string_view JobStateName(JobState aState)
{
  switch (aState) {
    case JobState::Running:
      return "running";
    case JobState::Complete:
      return "complete";
    case JobState::Failed:
      return "failed";
  }
  return "failed";
}

Job::Job(SubmissionId aId, std::size_t aTaskCount, const GuardHook& aGuard)
  : id_(std::move(aId))
  , isWholeOnly_(IsGuardOn(aGuard, Guard::JobAnswerIsWhole))
  , outcomes_(aTaskCount)
{
}

bool Job::EndTask(std::uint32_t aIndex, TaskOutcome&& aOutcome)
{
  if (aIndex >= outcomes_.size() || outcomes_[aIndex].has_value()) {
    return false;
  }
  const Ran ran = aOutcome.succeeded ? Ran::Ran : aOutcome.error.ran;
  ran_ = std::max(ran_, ran);
  if (!aOutcome.succeeded && !firstError_.has_value()) {
    firstError_ = aOutcome.error;
  }
  if (aOutcome.startedAt != TimePoint{} &&
      (firstStart_ == TimePoint{} || aOutcome.startedAt < firstStart_)) {
    firstStart_ = aOutcome.startedAt;
  }
  if (!aOutcome.zone.empty()) {
    zone_ = aOutcome.zone;
  }
  outcomes_[aIndex] = std::move(aOutcome);
  ++ended_;
  if (ended_ == outcomes_.size()) {
    Finish();
  }
  return true;
}

bool Job::Cancel()
{
  if (IsOver()) {
    return false;
  }
  cancelled_ = true;
  return true;
}

const Error* Job::GetFirstError() const
{
  return firstError_ ? &*firstError_ : nullptr;
}

Span<const TaskOutcome> Job::Results() const
{
  return results_;
}

void Job::Finish()
{
  if (firstError_.has_value() && isWholeOnly_) {
    state_ = JobState::Failed;
    return;
  }
  results_.reserve(outcomes_.size());
  for (auto& outcome : outcomes_) {
    results_.push_back(std::move(*outcome));
  }
  outcomes_.assign(results_.size(), std::nullopt);
  state_ = JobState::Complete;
}

}
