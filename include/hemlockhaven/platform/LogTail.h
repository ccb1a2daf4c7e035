#ifndef HEMLOCKHAVEN_PLATFORM_LOGTAIL_H
#define HEMLOCKHAVEN_PLATFORM_LOGTAIL_H

#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/platform/LogReader.h"

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>
#include <thread>

namespace hemlockhaven {

//! Polls the log on its own thread and feeds a reader.
class LogTail
{
public:
  struct Options
  {
    Duration pollInterval = std::chrono::milliseconds(500);
    Duration initialBackoff = std::chrono::milliseconds(100);
    Duration maxBackoff = std::chrono::seconds(2);
    std::size_t maxPageRecords = 1000;
    //! Called for each failed read, on the tail's thread.
    std::function<void(const Error&)> onReadError;
  };

  using Read =
    std::function<Result<LogPage>(LogOffset aFrom, std::size_t aMaxRecords)>;

  //! Starts reading. The reader must outlive the tail, and no other thread may
  //! use it during that time.
  LogTail(LogReader& aReader, Read aRead, Options aOptions);
  ~LogTail();
  LogTail(const LogTail&) = delete;
  LogTail& operator=(const LogTail&) = delete;

  //! Triggers a read without waiting for the next poll.
  void Wake();

private:
  void Run();
  //! Waits for the timeout or a call to Wake. Returns false on shutdown.
  bool WaitForWakeup(Duration aTimeout);

  LogReader& reader_;
  Read read_;
  Options options_;
  std::mutex mutex_;
  std::condition_variable wakeCondition_;
  bool wakeRequested_ = false; //!< Guarded by mutex_.
  bool stopping_ = false;      //!< Guarded by mutex_.
  std::thread thread_;         //!< Last, because it uses the other members.
};

}

#endif
