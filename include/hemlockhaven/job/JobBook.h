#ifndef HEMLOCKHAVEN_JOB_JOBBOOK_H
#define HEMLOCKHAVEN_JOB_JOBBOOK_H

#include "hemlockhaven/core/Guard.h"
#include "hemlockhaven/core/Result.h"
#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/job/Job.h"

#include <array>
#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace hemlockhaven {

//! A job's answer, copied out of the book.
struct JobAnswer
{
  SubmissionId id;
  JobState state = JobState::Running;
  std::size_t tasks = 0;
  std::size_t ended = 0;
  Ran ran = Ran::NotRun;
  std::optional<Error> error;
  TimePoint firstStart{}; //!< Of any task; not sent to other daemons.
  std::string zone;       //!< Availability zone of the last task to end.
  std::vector<TaskOutcome> results; //!< Only if state is Complete.

  //! Approximate memory, in bytes.
  std::size_t SizeBytes() const;
};

//! The jobs whose home is this daemon, in shards by sequence.
class JobBook
{
public:
  //! Called once, outside of any lock, when the job is over.
  using Ended = std::function<void(const JobAnswer&)>;

  //! Receives a job's answer when it is over.
  using Over = std::function<void(Result<JobAnswer>&&)>;

  //! Called outside of any lock when tasks that have not started must not
  //! start any more, with the reason. May be called more than once.
  using Stop = std::function<void(Reason)>;

  struct Hooks
  {
    Stop stop;
    Ended ended;
  };

  //! Bounds of the answers that are kept for later fetches. The oldest are
  //! forgotten first.
  struct Limits
  {
    Duration keepFinished = std::chrono::minutes(10);
    std::size_t finishedJobs = 200'000;
    std::size_t finishedBytes = 256U << 20U; //!< Of results.
  };

  JobBook(Clock aClock, Limits aLimits, GuardHook aGuard = {});

  //! Adds a job; false if the id is present. The hash is that of its
  //! specification.
  bool Create(const SubmissionId& aId,
              std::size_t aTasks,
              Hooks aHooks,
              std::uint64_t aSpecHash = 0);

  //! Whether the job's specification has another hash; false if the job is
  //! not kept, because then nothing is known.
  bool IsOtherSpec(const SubmissionId& aId, std::uint64_t aSpecHash) const;

  //! Removes a job of which nothing started. Threads that wait for it get the
  //! error.
  void Withdraw(const SubmissionId& aId, const Error& aError);

  //! Records a task's outcome. Outcomes of unknown jobs are ignored.
  void EndTask(const SubmissionId& aId,
               std::uint32_t aIndex,
               TaskOutcome&& aOutcome);

  //! Asks for cancellation; Reason::NotFound if the job is unknown.
  Result<JobState> Cancel(const SubmissionId& aId);

  //! The job's present state; Reason::NotFound if the job is unknown.
  Result<JobAnswer> Find(const SubmissionId& aId) const;

  //! Waits until the job is over or the time has passed, then as Find.
  Result<JobAnswer> WaitFor(const SubmissionId& aId, Duration aLimit) const;

  //! Calls aOver once, outside of any lock, when the job is over; at once if it
  //! is over or unknown.
  void Subscribe(const SubmissionId& aId, Over aOver);

  //! All jobs that are over and still kept, for a handover.
  std::vector<JobAnswer> FinishedAnswers() const;

  //! Forgets jobs that ended longer ago than the limit for finished jobs.
  void Expire();

  //! Number of jobs that are not over.
  std::size_t RunningCount() const { return running_.load(); }

  //! Number of jobs kept.
  std::size_t Size() const;

private:
  struct Entry
  {
    Entry(const SubmissionId& aId,
          std::size_t aTasks,
          Hooks aHooks,
          std::uint64_t aSpecHash,
          const GuardHook& aGuard)
      : job(aId, aTasks, aGuard)
      , hooks(std::move(aHooks))
      , specHash(aSpecHash)
    {
    }
    std::mutex mutex;
    std::condition_variable over;
    Job job;
    Hooks hooks;
    const std::uint64_t specHash;
    std::optional<Error> withdrawn;
    std::vector<Over> subscribers;
  };

  struct Finished
  {
    TimePoint at{};
    std::uint64_t sequence = 0;
    std::size_t bytes = 0;
  };

  struct Shard
  {
    mutable std::mutex mutex;
    std::unordered_map<std::uint64_t, std::shared_ptr<Entry>> jobs;
    std::deque<Finished> finished; //!< Oldest first.
    std::size_t finishedBytes = 0;
  };

  static constexpr std::size_t kShards = 16;

  //! Keeps a finished job and forgets the oldest over the bounds.
  void Keep(const JobAnswer& aAnswer);
  static void ForgetOldest(Shard& aShard);
  Shard& ShardOf(const SubmissionId& aId);
  const Shard& ShardOf(const SubmissionId& aId) const;
  std::shared_ptr<Entry> GetEntry(const SubmissionId& aId) const;
  static Result<JobAnswer> AnswerOf(const Entry& aEntry);

  Clock clock_;
  Limits limits_;
  GuardHook guard_;
  std::atomic<std::size_t> running_{ 0 };
  std::array<Shard, kShards> shards_;
};

}

#endif
