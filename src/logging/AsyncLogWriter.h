#ifndef HEMLOCKHAVEN_SRC_LOGGING_ASYNCLOGWRITER_H
#define HEMLOCKHAVEN_SRC_LOGGING_ASYNCLOGWRITER_H

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

namespace hemlockhaven {

//! Writes lines to a file descriptor from a background thread. If the reader
//! stalls, lines are dropped; logging threads do not wait for it.
class AsyncLogWriter
{
public:
  //! Lines beyond this are dropped and counted.
  static constexpr std::size_t kMaxPendingBytes = std::size_t{ 1 } << 20U;

  explicit AsyncLogWriter(int aDescriptor);
  //! Flushes pending lines unless the reader has stalled.
  ~AsyncLogWriter();
  AsyncLogWriter(const AsyncLogWriter&) = delete;
  AsyncLogWriter& operator=(const AsyncLogWriter&) = delete;

  void Push(std::string_view aLine);

  std::uint64_t Dropped() const;

private:
  void Run();

  const int descriptor_;
  mutable std::mutex mutex_;
  std::condition_variable pendingChanged_;
  std::string pending_;
  std::uint64_t dropped_ = 0;
  bool stop_ = false;
  std::thread thread_;
};

}

#endif
