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

//! Builder of one structured log line; Write emits it.
//!
//! Log::Info("connect").Peer(peer).Id(id).Field("slots", 8).Write("connected");
class LogLine
{
public:
  LogLine(LogLevel aLevel, std::string_view aStep);

  LogLine& Peer(std::string_view aPeer);
  LogLine& Id(std::string_view aSubmissionId);
  //! Adds peer, reason, detail and execution state of an error.
  LogLine& Cause(const Error& aError);

  template<typename T>
  LogLine& Field(const char* aName, const T& aValue)
  {
    line_[aName] = aValue;
    return *this;
  }

  //! Emits the line unless its level is disabled or the rate limit for its step
  //! and message is reached.
  void Write(std::string_view aMessage);

private:
  friend class Log;

  //! Emits the line, which the rate limit has admitted.
  void Emit(std::string_view aMessage, std::uint64_t aDropped);

  LogLevel level_;
  nlohmann::json line_;
};

//! Log of the process: JSON lines on stderr, through glog by default.
class Log
{
public:
  //! Default limit of lines with the same step and message. A failing endpoint
  //! can produce thousands of lines per second.
  static constexpr std::uint32_t kMaxLinesPerSecond = 20;

  //! Sets the limit for each step and message. Not safe while other threads
  //! log.
  static void SetMaxLinesPerSecond(std::uint32_t aLines);

  //! Receives each formatted line.
  using Sink = std::function<void(LogLevel, std::string_view aLine)>;

  //! Initializes glog once and sets the level. aLevel: "debug", "info",
  //! "warning" or "error".
  static void Start(std::string_view aLevel);

  //! Redirects lines from glog to a sink; an empty sink restores glog. Not safe
  //! while other threads log.
  static void SetSink(Sink aSink);

  //! Emits a line whose fields aAddFields adds. Nothing is built for a line
  //! that is not emitted, which at a leader are most lines.
  static void WriteIfAdmitted(LogLevel aLevel,
                              std::string_view aStep,
                              std::string_view aMessage,
                              const std::function<void(LogLine&)>& aAddFields);

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
