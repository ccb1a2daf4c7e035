#include "hemlockhaven/platform/LogTail.h"

#include <algorithm>
#include <utility>

namespace hemlockhaven {

LogTail::LogTail(LogReader& aReader, Read aRead, Options aOptions)
  : reader_(aReader)
  , read_(std::move(aRead))
  , options_(std::move(aOptions))
  , thread_([this] { Run(); })
{
}

LogTail::~LogTail()
{
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  wakeCondition_.notify_all();
  thread_.join();
}

void LogTail::Wake()
{
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    wakeRequested_ = true;
  }
  wakeCondition_.notify_all();
}

void LogTail::Run()
{
  Duration backoff = options_.initialBackoff;
  Duration pause{ 0 };
  while (WaitForWakeup(pause)) {
    const LogOffset before = reader_.Position().position;
    const Result<LogPage> page = read_(before, options_.maxPageRecords);
    if (page.has_error()) {
      if (options_.onReadError) {
        options_.onReadError(page.error());
      }
      pause = backoff;
      backoff = std::min(backoff * 2, options_.maxBackoff);
      continue;
    }
    backoff = options_.initialBackoff;
    reader_.Feed(page.value());
    // If a page makes no progress, wait for the poll interval rather than spin.
    const bool hasMore =
      !reader_.Position().IsAtEnd() && reader_.Position().position != before;
    pause = hasMore ? Duration{ 0 } : options_.pollInterval;
  }
}

bool LogTail::WaitForWakeup(Duration aTimeout)
{
  std::unique_lock<std::mutex> lock(mutex_);
  wakeCondition_.wait_for(
    lock, aTimeout, [this] { return wakeRequested_ || stopping_; });
  wakeRequested_ = false;
  return !stopping_;
}

}
