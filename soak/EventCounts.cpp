#include "soak/EventCounts.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <ctime>

namespace hemlockhaven::Soak {

namespace {

using nlohmann::json;

//! A start so soon after a pause rests on what the daemon knew before it.
constexpr std::int64_t kAfterWakeMs = 30;

}

std::string LogTime(TimePoint aAt)
{
  const std::int64_t ms =
    WallNowMs() -
    std::chrono::duration_cast<std::chrono::milliseconds>(SteadyNow() - aAt)
      .count();
  const std::time_t seconds = ms / 1000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 32> text{};
  const std::size_t length =
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  return std::string(text.data(), length) + "." +
         std::to_string(1000 + ms % 1000).substr(1) + "Z";
}

LogCounts::LogCounts(Span<const DaemonPause> aPauses)
{
  for (const DaemonPause& pause : aPauses) {
    const TimePoint woke = pause.period.until;
    wakes_.push_back(
      { pause.daemon,
        LogTime(woke),
        LogTime(woke + std::chrono::milliseconds(kAfterWakeMs)) });
  }
}

void LogCounts::Add(std::size_t aDaemon, std::string_view aLine)
{
  const json line = json::parse(aLine, nullptr, false);
  if (!line.is_object()) {
    return; // The check of the logs reports it.
  }
  const std::string step = line.value("step", "");
  const std::string message = line.value("message", "");
  leftOut_ += line.value("dropped", std::size_t{ 0 });
  if (step == "lead") {
    ++(message == "taking over" ? terms_ : yields_);
  } else if (step == "hold" && message == "released") {
    const bool answered =
      line.value("detail", "").find("answered") != std::string::npos;
    ++(answered ? heldUntilAnswers_ : heldUntilLapse_);
  } else if (step == "run" &&
             line.value("detail", "") == "lease lapsed unseen") {
    unseenLapses_.emplace(line.value("id", ""), line.value("endpoint", ""));
  } else if (step == "submit") {
    ++(message == "joined" ? joined_ : afterStop_);
  } else if (step == "place" && message == "sent") {
    ++starts_;
    const std::string time = line.value("time", "");
    startsAfterWake_ += static_cast<std::size_t>(
      std::any_of(wakes_.begin(), wakes_.end(), [&](const Wake& aWake) {
        return aWake.daemon == aDaemon && aWake.from <= time &&
               time <= aWake.until;
      }));
  }
}

std::string LogCounts::Text(const RunCounts& aRuns,
                            const PlanCounts& aPlan) const
{
  const auto inMs = [](Duration aTime) {
    return static_cast<double>(aTime.count()) / 1000;
  };
  const json margin =
    aRuns.smallestMargin ? json(inMs(*aRuns.smallestMargin)) : json();
  return json{
    { "doubleRuns", aRuns.doubleRuns },
    { "excusedDoubleRuns", aRuns.excusedDoubleRuns },
    { "lapsedRuns", aRuns.lapsed },
    { "longestLapseMs", inMs(aRuns.longestLapse) },
    { "startsAfterLapse", aRuns.startsAfterLapse },
    { "startsAfterUnseenLapse", aRuns.startsAfterUnseenLapse },
    { "smallestMarginMs", margin },
    { "resent", aRuns.resent },
    { "resentWhileRunning", aRuns.resentWhileRunning },
    { "terms", terms_ },
    { "yields", yields_ },
    { "heldUntilAnswers", heldUntilAnswers_ },
    { "heldUntilLapse", heldUntilLapse_ },
    { "submitJoined", joined_ },
    { "submitAfterStop", afterStop_ },
    { "startsLogged", starts_ },
    { "startsAfterWake", startsAfterWake_ },
    { "logLinesLeftOut", leftOut_ },
    { "zoneCuts", aPlan.zoneCuts },
    { "zoneCutsWithPausedLeader", aPlan.zoneCutsWithPausedLeader },
    { "shortPauses", aPlan.shortPauses },
    { "longPauses", aPlan.longPauses },
    { "slowed", aPlan.slowed },
    { "callerResets", aPlan.callerResets },
    { "killsAfterAnswer", aPlan.killsAfterAnswer },
    { "longestStallMs", inMs(aPlan.longestStall) },
  }
    .dump();
}

}
