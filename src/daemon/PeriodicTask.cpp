#include "daemon/PeriodicTask.h"

#include <utility>

namespace hemlockhaven {

PeriodicTask::PeriodicTask(Duration aInterval, std::function<void()> aTask)
  : interval_(aInterval)
  , task_(std::move(aTask))
  , thread_([this] { Run(); })
{
}

PeriodicTask::~PeriodicTask()
{
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    isRunning_ = false;
  }
  wake_.notify_all();
  thread_.join();
}

void PeriodicTask::Run()
{
  std::unique_lock<std::mutex> lock(mutex_);
  while (isRunning_) {
    lock.unlock();
    task_();
    lock.lock();
    wake_.wait_for(lock, interval_, [this] { return !isRunning_; });
  }
}

}
