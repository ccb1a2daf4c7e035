#ifndef HEMLOCKHAVEN_SRC_LOGGING_LOG_H
#define HEMLOCKHAVEN_SRC_LOGGING_LOG_H

#include "hemlockhaven/core/Error.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace hemlockhaven {

enum class LogLevel : std::uint8_t
{
  Debug,
  Info,
  Warning,
  Error,
};

//! Builds one line of the log; Write sends it.
//!
//! Log::Info("connect").Peer(peer).Id(id).Field("slots", 8).Write("connected");
class LogLine
{
public:
  LogLine(LogLevel aLevel, std::string_view aStep);

  LogLine& Peer(std::string_view aPeer);
  LogLine& Id(std::string_view aSubmissionId);
  //! Adds step's peer, reason, what ran, and detail of an error.
  LogLine& Cause(const Error& aError);

  template<typename T>
  LogLine& Field(const char* aName, const T& aValue)
  {
    line_[aName] = aValue;
    return *this;
  }

  //! Writes the line unless its level is off or there were too many lines
  //! with this step and message in the present second.
  void Write(std::string_view aMessage);

private:
  LogLevel level_;
  nlohmann::json line_;
};

//! The log of this process: JSON lines on stderr through glog.
class Log
{
public:
  //! Lines of one step and message that are written in one second, unless
  //! SetMaxLinesPerSecond says otherwise. A failing endpoint can produce
  //! thousands.
  static constexpr std::uint32_t kMaxLinesPerSecond = 20;

  //! Not while other threads log.
  static void SetMaxLinesPerSecond(std::uint32_t aLines);

  //! Receives each line.
  using Sink = std::function<void(LogLevel, std::string_view aLine)>;

  //! Starts glog once. aLevel: "debug", "info", "warning" or "error".
  static void Start(std::string_view aLevel);

  //! Sends lines to a sink instead of glog; an empty sink restores glog.
  //! Not while other threads log.
  static void SetSink(Sink aSink);

  static LogLine Debug(std::string_view aStep)
  {
    return { LogLevel::Debug, aStep };
  }
  static LogLine Info(std::string_view aStep)
  {
    return { LogLevel::Info, aStep };
  }
  static LogLine Warning(std::string_view aStep)
  {
    return { LogLevel::Warning, aStep };
  }
  static LogLine Error(std::string_view aStep)
  {
    return { LogLevel::Error, aStep };
  }
};

}

#endif
