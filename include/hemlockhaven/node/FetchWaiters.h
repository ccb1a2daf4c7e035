#ifndef HEMLOCKHAVEN_NODE_FETCHWAITERS_H
#define HEMLOCKHAVEN_NODE_FETCHWAITERS_H

#include "hemlockhaven/core/Result.h"
#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/job/JobBook.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>

namespace hemlockhaven {

//! Peers that wait for the end of a job. Each gets one reply: the answer when
//! the job is over, or its state when the wait has passed.
class FetchWaiters
{
public:
  using Reply = std::function<void(Result<JobAnswer>&&)>;

  FetchWaiters(JobBook& aJobs, Clock aClock);

  //! Replies when the job is over, at the latest at a Tick after the wait.
  void Add(const SubmissionId& aId, Duration aWait, Reply aReply);

  //! Replies to those whose wait has passed.
  void Tick();

private:
  struct Waiter
  {
    SubmissionId id;
    Reply reply;
    std::mutex mutex;
    bool replied = false; //!< Guarded by mutex.
  };

  static void ReplyOnce(Waiter& aWaiter, Result<JobAnswer>&& aAnswer);

  JobBook& jobs_;
  Clock clock_;
  std::mutex mutex_; //!< Guards byLimit_.
  std::multimap<TimePoint, std::weak_ptr<Waiter>> byLimit_;
};

}

#endif
