#include "logging/AsyncLogWriter.h"

#include <cerrno>
#include <chrono>

#include <poll.h>
#include <unistd.h>

namespace hemlockhaven {

namespace {

//! Time to collect lines for one write.
constexpr std::chrono::milliseconds kBatchDelay{ 50 };
//! On shutdown, pending lines are discarded if the reader stalls this long.
constexpr int kWriteTimeoutMs = 200;

}

AsyncLogWriter::AsyncLogWriter(int aDescriptor)
  : descriptor_(aDescriptor)
  , thread_([this] { Run(); })
{
}

AsyncLogWriter::~AsyncLogWriter()
{
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stop_ = true;
  }
  pendingChanged_.notify_all();
  thread_.join();
}

void AsyncLogWriter::Push(std::string_view aLine)
{
  bool first = false;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (pending_.size() + aLine.size() >= kMaxPendingBytes) {
      ++dropped_;
      return;
    }
    first = pending_.empty();
    pending_.append(aLine).append("\n");
  }
  if (first) {
    pendingChanged_.notify_one();
  }
}

std::uint64_t AsyncLogWriter::Dropped() const
{
  const std::lock_guard<std::mutex> lock(mutex_);
  return dropped_;
}

void AsyncLogWriter::Run()
{
  std::string lines;
  bool stop = false;
  while (!stop) {
    {
      std::unique_lock<std::mutex> lock(mutex_);
      pendingChanged_.wait(lock, [this] { return stop_ || !pending_.empty(); });
      pendingChanged_.wait_for(lock, kBatchDelay, [this] { return stop_; });
      lines.clear();
      lines.swap(pending_);
      stop = stop_;
    }
    std::size_t at = 0;
    while (at < lines.size()) {
      pollfd ready{ descriptor_, POLLOUT, 0 };
      if (::poll(&ready, 1, kWriteTimeoutMs) == 0) {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (stop_) {
          return;
        }
        continue;
      }
      const auto written =
        ::write(descriptor_, lines.data() + at, lines.size() - at);
      if (written < 0 && errno != EINTR && errno != EAGAIN) {
        break; // The reader is gone, so the error cannot be logged either.
      }
      at += written > 0 ? static_cast<std::size_t>(written) : 0;
    }
  }
}

}
