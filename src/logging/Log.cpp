#include "logging/Log.h"

#include "hemlockhaven/core/Time.h"
#include "logging/RateLimiter.h"

#include <glog/logging.h>

#include <array>
#include <atomic>
#include <ctime>
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
  if (level_ < MinLevel().load()) {
    return;
  }
  const std::int64_t now = WallNowMs();
  const std::string key =
    line_["step"].get<std::string>() + '\n' + std::string(aMessage);
  const auto dropped = Limiter().Admit(key, now / 1000);
  if (!dropped) {
    return;
  }
  line_["time"] = TimeText(now);
  line_["level"] = kLevelNames.at(static_cast<std::size_t>(level_));
  line_["message"] = aMessage;
  if (*dropped > 0) {
    line_["dropped"] = *dropped;
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
