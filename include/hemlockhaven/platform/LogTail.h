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

//! Reads the log in its own thread and feeds a reader.
class LogTail
{
public:
  struct Options
  {
    Duration pollInterval = std::chrono::milliseconds(500);
    Duration initialBackoff = std::chrono::milliseconds(100);
    Duration maxBackoff = std::chrono::seconds(2);
    std::size_t maxPageRecords = 1000;
    //! Told about each failed read, in the tail's thread.
    std::function<void(const Error&)> onReadError;
  };

  using Read =
    std::function<Result<LogPage>(LogOffset aFrom, std::size_t aMaxRecords)>;

  //! Starts to read. The reader must outlive the tail and is not to be used
  //! by another thread meanwhile.
  LogTail(LogReader& aReader, Read aRead, Options aOptions);
  ~LogTail();
  LogTail(const LogTail&) = delete;
  LogTail& operator=(const LogTail&) = delete;

  //! Reads at once, without waiting for the next poll.
  void Wake();

private:
  void Run();
  //! Waits for the time or a wake; false: stop.
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
