#include "logging/Log.h"

#include "hemlockhaven/core/Time.h"
#include "logging/RateLimiter.h"

#include <glog/logging.h>

#include <array>
#include <atomic>
#include <ctime>
#include <optional>
#include <utility>

namespace hemlockhaven {

namespace {

constexpr std::array<std::string_view, 4> kLevelNames{ "debug",
                                                       "info",
                                                       "warning",
                                                       "error" };

std::atomic<LogLevel>& MinLevel()
{
  static std::atomic<LogLevel> minLevel{ LogLevel::Info };
  return minLevel;
}

Log::Sink& ActiveSink()
{
  static Log::Sink sink;
  return sink;
}

RateLimiter& Limiter()
{
  static RateLimiter limit(Log::kMaxLinesPerSecond);
  return limit;
}

//! The number of lines dropped before this one; nullopt if it is dropped too.
std::optional<std::uint64_t> Admit(LogLevel aLevel,
                                   std::string_view aStep,
                                   std::string_view aMessage)
{
  if (aLevel < MinLevel().load()) {
    return std::nullopt;
  }
  std::string key;
  key.append(aStep).append("\n").append(aMessage);
  return Limiter().Admit(key, WallNowMs() / 1000);
}

//! ISO 8601 in UTC: "2026-03-01T09:30:00.125Z".
std::string TimeText(std::int64_t aMilliseconds)
{
  const std::time_t seconds = aMilliseconds / 1000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 32> text{};
  const std::size_t length =
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  const std::string fraction = std::to_string(1000 + aMilliseconds % 1000);
  return std::string(text.data(), length) + "." + fraction.substr(1) + "Z";
}

}

LogLine::LogLine(LogLevel aLevel, std::string_view aStep)
  : level_(aLevel)
  , line_({ { "step", aStep } })
{
}

LogLine& LogLine::Peer(std::string_view aPeer)
{
  return Field("peer", aPeer);
}

LogLine& LogLine::Id(std::string_view aSubmissionId)
{
  return Field("id", aSubmissionId);
}

LogLine& LogLine::Cause(const hemlockhaven::Error& aError)
{
  if (!aError.peer.empty()) {
    line_["peer"] = aError.peer;
  }
  line_["reason"] = ReasonName(aError.reason);
  line_["ran"] = RanName(aError.ran);
  line_["detail"] = aError.detail;
  return *this;
}

void LogLine::Write(std::string_view aMessage)
{
  const std::string step = line_["step"].get<std::string>();
  if (const auto dropped = Admit(level_, step, aMessage)) {
    Emit(aMessage, *dropped);
  }
}

void LogLine::Emit(std::string_view aMessage, std::uint64_t aDropped)
{
  const std::int64_t now = WallNowMs();
  line_["time"] = TimeText(now);
  line_["level"] = kLevelNames.at(static_cast<std::size_t>(level_));
  line_["message"] = aMessage;
  if (aDropped > 0) {
    line_["dropped"] = aDropped;
  }
  const std::string text =
    line_.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  if (ActiveSink()) {
    ActiveSink()(level_, text);
    return;
  }
  switch (level_) {
    case LogLevel::Error:
      LOG(ERROR) << text;
      break;
    case LogLevel::Warning:
      LOG(WARNING) << text;
      break;
    default:
      LOG(INFO) << text;
  }
}

void Log::WriteIfAdmitted(LogLevel aLevel,
                          std::string_view aStep,
                          std::string_view aMessage,
                          const std::function<void(LogLine&)>& aAddFields)
{
  if (const auto dropped = Admit(aLevel, aStep, aMessage)) {
    LogLine line(aLevel, aStep);
    aAddFields(line);
    line.Emit(aMessage, *dropped);
  }
}

void Log::Start(std::string_view aLevel)
{
  for (std::size_t i = 0; i < kLevelNames.size(); ++i) {
    if (kLevelNames.at(i) == aLevel) {
      MinLevel() = static_cast<LogLevel>(i);
    }
  }
  static const bool kStarted = [] {
    FLAGS_logtostderr = true;
    FLAGS_log_prefix = false; // The JSON has time and level.
    google::InitGoogleLogging("hemlockhavend");
    return true;
  }();
  static_cast<void>(kStarted);
}

void Log::SetMaxLinesPerSecond(std::uint32_t aLines)
{
  Limiter().SetMaxLinesPerSecond(aLines);
}

void Log::SetSink(Sink aSink)
{
  ActiveSink() = std::move(aSink);
}

}
