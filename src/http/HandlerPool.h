#ifndef HEMLOCKHAVEN_SRC_HTTP_HANDLERPOOL_H
#define HEMLOCKHAVEN_SRC_HTTP_HANDLERPOOL_H

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace hemlockhaven {

//! Threads for handlers that may block. A thread is added when none is idle,
//! up to a bound; beyond it handlers wait for a thread.
class HandlerPool
{
public:
  explicit HandlerPool(std::size_t aMostThreads);
  ~HandlerPool();
  HandlerPool(const HandlerPool&) = delete;
  HandlerPool& operator=(const HandlerPool&) = delete;

  //! False after Stop: the handler will not run.
  bool Run(std::function<void()> aHandler);

  //! Runs what waits and joins the threads.
  void Stop();

private:
  void Work();

  const std::size_t mostThreads_;
  std::mutex mutex_; //!< Guards all members below.
  std::condition_variable wake_;
  std::deque<std::function<void()>> waiting_;
  std::size_t idle_ = 0;
  bool stopping_ = false;
  std::vector<std::thread> threads_;
};

}

#endif
