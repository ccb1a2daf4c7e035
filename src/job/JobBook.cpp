#include "hemlockhaven/job/JobBook.h"

#include <utility>

namespace hemlockhaven {

namespace {

Error JobNotFound(const SubmissionId& aId)
{
  return Error::Unknown("find job",
                        aId.home.node,
                        Reason::NotFound,
                        "no job with id " + aId.Text() + " is kept here");
}

}

std::size_t JobAnswer::SizeBytes() const
{
  std::size_t size = sizeof(JobAnswer);
  for (const TaskOutcome& outcome : results) {
    size += sizeof(TaskOutcome) + outcome.body.size();
  }
  return size;
}

JobBook::JobBook(Clock aClock, Limits aLimits, GuardHook aGuard)
  : clock_(std::move(aClock))
  , limits_(aLimits)
  , guard_(std::move(aGuard))
{
}

bool JobBook::Create(const SubmissionId& aId,
                     std::size_t aTasks,
                     Hooks aHooks,
                     std::uint64_t aSpecHash)
{
  auto entry =
    std::make_shared<Entry>(aId, aTasks, std::move(aHooks), aSpecHash, guard_);
  Shard& shard = ShardOf(aId);
  const std::lock_guard<std::mutex> lock(shard.mutex);
  if (!shard.jobs.emplace(aId.sequence, std::move(entry)).second) {
    return false;
  }
  ++running_;
  return true;
}

bool JobBook::IsOtherSpec(const SubmissionId& aId,
                          std::uint64_t aSpecHash) const
{
  const std::shared_ptr<Entry> entry = GetEntry(aId);
  return entry && entry->specHash != aSpecHash;
}

void JobBook::Withdraw(const SubmissionId& aId, const Error& aError)
{
  std::shared_ptr<Entry> entry;
  {
    Shard& shard = ShardOf(aId);
    const std::lock_guard<std::mutex> lock(shard.mutex);
    const auto found = shard.jobs.find(aId.sequence);
    if (found == shard.jobs.end()) {
      return;
    }
    entry = found->second;
    shard.jobs.erase(found);
  }
  --running_;
  std::vector<Over> subscribers;
  {
    const std::lock_guard<std::mutex> lock(entry->mutex);
    entry->withdrawn = aError;
    entry->over.notify_all();
    subscribers.swap(entry->subscribers);
  }
  for (const Over& over : subscribers) {
    over(aError);
  }
}

void JobBook::EndTask(const SubmissionId& aId,
                      std::uint32_t aIndex,
                      TaskOutcome&& aOutcome)
{
  const std::shared_ptr<Entry> entry = GetEntry(aId);
  if (!entry) {
    return;
  }
  JobAnswer answer;
  std::vector<Over> subscribers;
  Hooks hooks;
  bool isStopping = false;
  {
    const std::lock_guard<std::mutex> lock(entry->mutex);
    if (!entry->job.EndTask(aIndex, std::move(aOutcome))) {
      return;
    }
    isStopping = entry->job.IsStopping();
    if (entry->job.IsOver()) {
      answer = AnswerOf(*entry).value();
      entry->over.notify_all();
      subscribers.swap(entry->subscribers);
    }
    hooks =
      entry->job.IsOver() ? std::exchange(entry->hooks, {}) : entry->hooks;
  }
  if (answer.state == JobState::Running) {
    if (isStopping && hooks.stop) {
      hooks.stop(Reason::JobFailed);
    }
    return;
  }
  --running_;
  Keep(answer);
  if (hooks.ended) {
    hooks.ended(answer);
  }
  for (const Over& over : subscribers) {
    over(answer);
  }
}

void JobBook::Subscribe(const SubmissionId& aId, Over aOver)
{
  const std::shared_ptr<Entry> entry = GetEntry(aId);
  if (!entry) {
    aOver(JobNotFound(aId));
    return;
  }
  Result<JobAnswer> answer = JobNotFound(aId);
  {
    const std::lock_guard<std::mutex> lock(entry->mutex);
    if (!entry->job.IsOver() && !entry->withdrawn.has_value()) {
      entry->subscribers.push_back(std::move(aOver));
      return;
    }
    answer = AnswerOf(*entry);
  }
  aOver(std::move(answer));
}

std::vector<JobAnswer> JobBook::FinishedAnswers() const
{
  std::vector<std::shared_ptr<Entry>> entries;
  for (const Shard& shard : shards_) {
    const std::lock_guard<std::mutex> lock(shard.mutex);
    for (const auto& [sequence, entry] : shard.jobs) {
      entries.push_back(entry);
    }
  }
  std::vector<JobAnswer> answers;
  for (const std::shared_ptr<Entry>& entry : entries) {
    const std::lock_guard<std::mutex> lock(entry->mutex);
    if (entry->job.IsOver()) {
      answers.push_back(AnswerOf(*entry).value());
    }
  }
  return answers;
}

Result<JobState> JobBook::Cancel(const SubmissionId& aId)
{
  const std::shared_ptr<Entry> entry = GetEntry(aId);
  if (!entry) {
    return JobNotFound(aId);
  }
  JobState state = JobState::Running;
  Stop stop;
  {
    const std::lock_guard<std::mutex> lock(entry->mutex);
    entry->job.Cancel();
    state = entry->job.State();
    stop = entry->hooks.stop;
  }
  if (state == JobState::Running && stop) {
    stop(Reason::Cancelled);
  }
  return state;
}

Result<JobAnswer> JobBook::Find(const SubmissionId& aId) const
{
  return WaitFor(aId, Duration{ 0 });
}

Result<JobAnswer> JobBook::WaitFor(const SubmissionId& aId,
                                   Duration aLimit) const
{
  const std::shared_ptr<Entry> entry = GetEntry(aId);
  if (!entry) {
    return JobNotFound(aId);
  }
  std::unique_lock<std::mutex> lock(entry->mutex);
  entry->over.wait_for(lock, aLimit, [&entry] {
    return entry->job.IsOver() || entry->withdrawn.has_value();
  });
  return AnswerOf(*entry);
}

void JobBook::Expire()
{
  const TimePoint before = clock_() - limits_.keepFinished;
  for (Shard& shard : shards_) {
    const std::lock_guard<std::mutex> lock(shard.mutex);
    while (!shard.finished.empty() && shard.finished.front().at < before) {
      ForgetOldest(shard);
    }
  }
}

void JobBook::Keep(const JobAnswer& aAnswer)
{
  const std::size_t bytes = aAnswer.SizeBytes();
  Shard& shard = ShardOf(aAnswer.id);
  const std::lock_guard<std::mutex> lock(shard.mutex);
  shard.finished.push_back({ clock_(), aAnswer.id.sequence, bytes });
  shard.finishedBytes += bytes;
  while (shard.finished.size() > 1 &&
         (shard.finished.size() > limits_.finishedJobs / kShards ||
          shard.finishedBytes > limits_.finishedBytes / kShards)) {
    ForgetOldest(shard);
  }
}

void JobBook::ForgetOldest(Shard& aShard)
{
  const Finished& oldest = aShard.finished.front();
  aShard.finishedBytes -= oldest.bytes;
  aShard.jobs.erase(oldest.sequence);
  aShard.finished.pop_front();
}

std::size_t JobBook::Size() const
{
  std::size_t size = 0;
  for (const Shard& shard : shards_) {
    const std::lock_guard<std::mutex> lock(shard.mutex);
    size += shard.jobs.size();
  }
  return size;
}

JobBook::Shard& JobBook::ShardOf(const SubmissionId& aId)
{
  return shards_[aId.sequence % kShards];
}

const JobBook::Shard& JobBook::ShardOf(const SubmissionId& aId) const
{
  return shards_[aId.sequence % kShards];
}

std::shared_ptr<JobBook::Entry> JobBook::GetEntry(const SubmissionId& aId) const
{
  const Shard& shard = ShardOf(aId);
  const std::lock_guard<std::mutex> lock(shard.mutex);
  const auto found = shard.jobs.find(aId.sequence);
  return found == shard.jobs.end() ? nullptr : found->second;
}

Result<JobAnswer> JobBook::AnswerOf(const Entry& aEntry)
{
  if (aEntry.withdrawn.has_value()) {
    return *aEntry.withdrawn;
  }
  JobAnswer answer;
  answer.id = aEntry.job.Id();
  answer.state = aEntry.job.State();
  answer.tasks = aEntry.job.TaskCount();
  answer.ended = aEntry.job.EndedCount();
  answer.ran = aEntry.job.WhatRan();
  answer.firstStart = aEntry.job.FirstStart();
  answer.zone = aEntry.job.Zone();
  if (const Error* error = aEntry.job.GetFirstError()) {
    answer.error = *error;
  }
  const Span<const TaskOutcome> results = aEntry.job.Results();
  answer.results.assign(results.begin(), results.end());
  return answer;
}

}
