#ifndef HEMLOCKHAVEN_STANDINS_LOG_LOGSTORE_H
#define HEMLOCKHAVEN_STANDINS_LOG_LOGSTORE_H

#include "hemlockhaven/platform/LogHooks.h"
#include "http/CallerApi.h"
#include "http/HttpReply.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>

namespace hemlockhaven {

//! The stand-in's log with its faults. Thread-safe.
class LogStore
{
public:
  LogStore(std::chrono::milliseconds aAppendTime, std::size_t aMostRecords);

  //! POST /append, GET /read, POST /control.
  //! Members of a control body, all optional: "outage" (bool: 503 for all),
  //! "slownessMs" (added to each call), "loseAnswers" (the next appends take
  //! effect and are answered with 504).
  HttpReply Handle(const HttpRequestView& aRequest);

private:
  HttpReply Append(std::string_view aData);
  HttpReply Read(std::string_view aQuery) const;
  HttpReply Control(std::string_view aBody);

  const std::chrono::milliseconds appendTime_;
  const std::size_t mostRecords_;
  mutable std::mutex mutex_; //!< Guards all members below.
  std::deque<LogRecord> records_;
  LogOffset next_ = 0;
  bool outage_ = false;
  std::chrono::milliseconds slowness_{ 0 };
  std::uint64_t loseAnswers_ = 0;
};

}

#endif
