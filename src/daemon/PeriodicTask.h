#ifndef HEMLOCKHAVEN_SRC_DAEMON_PERIODICTASK_H
#define HEMLOCKHAVEN_SRC_DAEMON_PERIODICTASK_H

#include "hemlockhaven/core/Time.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace hemlockhaven {

//! Runs a task at intervals on a thread of its own until it is destroyed.
class PeriodicTask
{
public:
  PeriodicTask(Duration aInterval, std::function<void()> aTask);
  ~PeriodicTask();
  PeriodicTask(const PeriodicTask&) = delete;
  PeriodicTask& operator=(const PeriodicTask&) = delete;

private:
  void Run();

  Duration interval_;
  std::function<void()> task_;
  std::mutex mutex_;
  std::condition_variable wake_;
  bool isRunning_ = true; //!< Guarded by mutex_.
  std::thread thread_;    //!< Last, because it uses the other members.
};

}

#endif
