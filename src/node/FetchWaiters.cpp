#include "hemlockhaven/node/FetchWaiters.h"

#include <utility>
#include <vector>

namespace hemlockhaven {

FetchWaiters::FetchWaiters(JobBook& aJobs, Clock aClock)
  : jobs_(aJobs)
  , clock_(std::move(aClock))
{
}

void FetchWaiters::Add(const SubmissionId& aId, Duration aWait, Reply aReply)
{
  if (aWait <= Duration{ 0 }) {
    aReply(jobs_.Find(aId));
    return;
  }
  auto waiter = std::make_shared<Waiter>();
  waiter->id = aId;
  waiter->reply = std::move(aReply);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    byLimit_.emplace(clock_() + aWait, waiter);
  }
  jobs_.Subscribe(aId, [waiter](Result<JobAnswer>&& aAnswer) {
    ReplyOnce(*waiter, std::move(aAnswer));
  });
}

void FetchWaiters::Tick()
{
  std::vector<std::shared_ptr<Waiter>> due;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto end = byLimit_.upper_bound(clock_());
    for (auto at = byLimit_.begin(); at != end; ++at) {
      if (auto waiter = at->second.lock()) {
        due.push_back(std::move(waiter));
      }
    }
    byLimit_.erase(byLimit_.begin(), end);
  }
  for (const std::shared_ptr<Waiter>& waiter : due) {
    ReplyOnce(*waiter, jobs_.Find(waiter->id));
  }
}

void FetchWaiters::ReplyOnce(Waiter& aWaiter, Result<JobAnswer>&& aAnswer)
{
  {
    const std::lock_guard<std::mutex> lock(aWaiter.mutex);
    if (aWaiter.replied) {
      return;
    }
    aWaiter.replied = true;
  }
  aWaiter.reply(std::move(aAnswer));
}

}
