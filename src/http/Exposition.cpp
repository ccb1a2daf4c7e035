#include "http/Exposition.h"

#include "http/StatusJson.h"

#include <array>
#include <cstdio>
#include <map>
#include <utility>

namespace hemlockhaven {

namespace {

//! Text that numbers are appended to. The standard streams would format by
//! the process's locale.
class Writer
{
public:
  Writer& operator<<(std::string_view aText)
  {
    text_ += aText;
    return *this;
  }
  Writer& operator<<(std::uint64_t aNumber)
  {
    text_ += std::to_string(aNumber);
    return *this;
  }
  Writer& operator<<(Duration aDuration)
  {
    std::array<char, 48> digits{};
    const std::int64_t count = aDuration.count();
    std::snprintf(digits.data(),
                  digits.size(),
                  "%lld.%06lld",
                  static_cast<long long>(count / 1'000'000),
                  static_cast<long long>(count % 1'000'000));
    text_ += digits.data();
    return *this;
  }

  std::string Take() { return std::move(text_); }

private:
  std::string text_;
};

void WriteHead(Writer& aOut,
               std::string_view aName,
               std::string_view aType,
               std::string_view aHelp)
{
  aOut << "# HELP " << aName << " " << aHelp << "\n# TYPE " << aName << " "
       << aType << "\n";
}

void WriteReasons(Writer& aOut,
                  std::string_view aName,
                  std::string_view aHelp,
                  const Counters& aCounters,
                  std::uint64_t (Counters::*aCount)(Reason) const)
{
  WriteHead(aOut, aName, "counter", aHelp);
  for (std::size_t i = 1; i < kReasonCount; ++i) {
    const auto reason = static_cast<Reason>(i);
    aOut << aName << "{reason=\"" << ReasonName(reason) << "\"} "
         << (aCounters.*aCount)(reason) << "\n";
  }
}

struct Gauge
{
  std::string_view name;
  std::string_view help;
  std::size_t value;
};

void WriteGauges(Writer& aOut, const NodeStatus& aStatus)
{
  const std::array<Gauge, 8> gauges{ {
    { "hemlockhaven_ready", "1 if this daemon is ready.", aStatus.ready },
    { "hemlockhaven_queued_tasks", "Tasks in the queues.", aStatus.queued },
    { "hemlockhaven_running_attempts", "Attempts.", aStatus.running },
    { "hemlockhaven_running_jobs", "Jobs under way.", aStatus.jobsRunning },
    { "hemlockhaven_kept_jobs", "Jobs that can be read.", aStatus.jobsKept },
    { "hemlockhaven_waiting_callers",
      "Callers that wait for an answer.",
      aStatus.waitingCallers },
    { "hemlockhaven_configuration_version",
      "Version of the configuration in force.",
      aStatus.configurationVersion },
    { "hemlockhaven_peers", "Peers known.", aStatus.peers.size() },
  } };
  for (const Gauge& gauge : gauges) {
    WriteHead(aOut, gauge.name, "gauge", gauge.help);
    aOut << gauge.name << " " << gauge.value << "\n";
  }
  std::map<std::string_view, std::size_t> states{
    { "live", 0 }, { "full", 0 }, { "ejected", 0 }, { "leaving", 0 }
  };
  for (const EndpointStatus& endpoint : aStatus.endpoints) {
    ++states[EndpointStateName(endpoint)];
  }
  WriteHead(aOut, "hemlockhaven_endpoints", "gauge", "Endpoints by state.");
  for (const auto& [state, count] : states) {
    aOut << "hemlockhaven_endpoints{state=\"" << state << "\"} " << count
         << "\n";
  }
}

void WriteSummary(Writer& aOut, Series aSeries, const SummaryValue& aValue)
{
  const std::string name =
    "hemlockhaven_" + std::string(SeriesName(aSeries)) + "_seconds";
  WriteHead(aOut, name, "summary", "Since the start of the process.");
  aOut << name << "{quantile=\"0.5\"} " << aValue.p50 << "\n"
       << name << "{quantile=\"0.99\"} " << aValue.p99 << "\n"
       << name << "_sum " << aValue.sum << "\n"
       << name << "_count " << aValue.count << "\n";
}

}

std::string WriteExposition(const Counters& aCounters,
                            const Summaries& aSummaries,
                            const NodeStatus& aStatus)
{
  Writer out;
  WriteReasons(out,
               "hemlockhaven_refused_total",
               "Refusals by reason.",
               aCounters,
               &Counters::RefusedCount);
  WriteReasons(out,
               "hemlockhaven_retried_total",
               "Retries by reason.",
               aCounters,
               &Counters::RetriedCount);
  WriteHead(out, "hemlockhaven_events_total", "counter", "Events by name.");
  for (std::size_t i = 0; i < kEventCount; ++i) {
    const auto event = static_cast<Event>(i);
    out << "hemlockhaven_events_total{event=\"" << EventName(event) << "\"} "
        << aCounters.EventCount(event) << "\n";
  }
  WriteGauges(out, aStatus);
  for (std::size_t i = 0; i < kSeriesCount; ++i) {
    const auto series = static_cast<Series>(i);
    WriteSummary(out, series, aSummaries.Read(series));
  }
  return out.Take();
}

}
