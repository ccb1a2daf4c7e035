#include "settings/SettingsTable.h"

#include <nlohmann/json.hpp>

namespace hemlockhaven {

namespace {

using nlohmann::json;
using Settings = DaemonSettings;
using T = SettingType;

Duration Milliseconds(const json& aValue)
{
  return Duration(std::chrono::milliseconds(aValue.get<std::int64_t>()));
}

constexpr std::int64_t kHourMs = 3'600'000;
constexpr std::int64_t kGiB = 1LL << 30U;

// Some hooks below are long for one line of a table, so they have names.
void AddPeer(Settings& aSettings, const json& /*aValue*/)
{
  aSettings.peers.emplace_back();
}

void AddEndpoint(Settings& aSettings, const json& /*aValue*/)
{
  aSettings.endpoints.emplace_back();
}

void StoreEndpointLabels(Settings& aSettings, const json& aValue)
{
  for (const auto& [key, value] : aValue.items()) {
    aSettings.endpoints.back().labels.Set(key, value.get<std::string>());
  }
}

// clang-format off
const SettingKey kKeys[] = {
  { "name", T::Name, 0, 0, "", "", "name of this daemon, unique in the fleet",
    [](Settings& aTo, const json& aValue) { aTo.name = aValue; } },
  { "zone", T::Name, 0, 0, "", "", "its availability zone",
    [](Settings& aTo, const json& aValue) { aTo.zone = aValue; } },
  { "cores", T::Number, 1, 4096, "", "1", "weight when endpoints are divided among daemons",
    [](Settings& aTo, const json& aValue) { aTo.cores = aValue; } },
  { "threads", T::Number, 1, 64, "", "1", "shards of the dispatcher",
    [](Settings& aTo, const json& aValue) { aTo.threads = aValue; } },
  { "memoryMb", T::Number, 64, 1048576, "", "256", "memory of the VM in MB; a quarter of it bounds what connections hold",
    [](Settings& aTo, const json& aValue) { aTo.memoryMb = aValue; } },
  { "callers.address", T::IpNumber, 0, 0, "", "\"127.0.0.1\"", "where callers connect",
    [](Settings& aTo, const json& aValue) { aTo.callers.address = aValue; } },
  { "callers.port", T::Number, 1, 65535, "", "", "TCP port of the callers' server",
    [](Settings& aTo, const json& aValue) { aTo.callers.port = aValue; } },
  { "operators.address", T::IpNumber, 0, 0, "", "\"127.0.0.1\"", "where operators connect",
    [](Settings& aTo, const json& aValue) { aTo.operators.address = aValue; } },
  { "operators.port", T::Number, 1, 65535, "", "", "TCP port of the operators' server",
    [](Settings& aTo, const json& aValue) { aTo.operators.port = aValue; } },
  { "peerListen.address", T::IpNumber, 0, 0, "", "\"127.0.0.1\"", "where other daemons connect",
    [](Settings& aTo, const json& aValue) { aTo.peerListen.address = aValue; } },
  { "peerListen.port", T::Number, 1, 65535, "", "", "TCP port of the links between daemons",
    [](Settings& aTo, const json& aValue) { aTo.peerListen.port = aValue; } },
  { "peers", T::List, 0, 4096, "", "[]", "other daemons known from the start", AddPeer },
  { "peers[].name", T::Name, 0, 0, "", "", "the peer's name",
    [](Settings& aTo, const json& aValue) { aTo.peers.back().name = aValue; } },
  { "peers[].address", T::IpNumber, 0, 0, "", "", "the peer's address",
    [](Settings& aTo, const json& aValue) { aTo.peers.back().address = aValue; } },
  { "peers[].port", T::Number, 1, 65535, "", "", "the peer's `peerListen.port`",
    [](Settings& aTo, const json& aValue) { aTo.peers.back().port = aValue; } },
  { "peers[].zone", T::Name, 0, 0, "", "", "the peer's availability zone",
    [](Settings& aTo, const json& aValue) { aTo.peers.back().zone = aValue; } },
  { "peers[].cores", T::Number, 1, 4096, "", "1", "the peer's weight",
    [](Settings& aTo, const json& aValue) { aTo.peers.back().cores = aValue; } },
  { "platform.log", T::Group, 0, 0, "", "null", "the platform's log; absent: none",
    [](Settings& aTo, const json&) { aTo.platformLog.emplace(); } },
  { "platform.log.address", T::IpNumber, 0, 0, "", "", "address of the log",
    [](Settings& aTo, const json& aValue) { aTo.platformLog->address = aValue; } },
  { "platform.log.port", T::Number, 1, 65535, "", "", "TCP port of the log",
    [](Settings& aTo, const json& aValue) { aTo.platformLog->port = aValue; } },
  { "platform.vmList", T::Group, 0, 0, "", "null", "the platform's VM list; absent: none",
    [](Settings& aTo, const json&) { aTo.vmList.emplace(); } },
  { "platform.vmList.address", T::IpNumber, 0, 0, "", "", "address of the VM list",
    [](Settings& aTo, const json& aValue) { aTo.vmList->address = aValue; } },
  { "platform.vmList.port", T::Number, 1, 65535, "", "", "TCP port of the VM list",
    [](Settings& aTo, const json& aValue) { aTo.vmList->port = aValue; } },
  { "endpoints", T::List, 0, 4096, "", "[]", "endpoints that are not in a VM list", AddEndpoint },
  { "endpoints[].id", T::Text, 0, 0, "", "", "the endpoint's id",
    [](Settings& aTo, const json& aValue) { aTo.endpoints.back().id = aValue; } },
  { "endpoints[].address", T::IpNumber, 0, 0, "", "", "the endpoint's address",
    [](Settings& aTo, const json& aValue) { aTo.endpoints.back().address = aValue; } },
  { "endpoints[].port", T::Number, 1, 65535, "", "", "the endpoint's TCP port",
    [](Settings& aTo, const json& aValue) { aTo.endpoints.back().port = aValue; } },
  { "endpoints[].zone", T::Name, 0, 0, "", "\"local\"", "the endpoint's availability zone",
    [](Settings& aTo, const json& aValue) { aTo.endpoints.back().zone = aValue; } },
  { "endpoints[].rack", T::Name, 0, 0, "", "\"local\"", "the endpoint's rack",
    [](Settings& aTo, const json& aValue) { aTo.endpoints.back().rack = aValue; } },
  { "endpoints[].slots", T::Number, 1, 1024, "", "8", "tasks that it runs at a time",
    [](Settings& aTo, const json& aValue) { aTo.endpoints.back().slots = aValue; } },
  { "endpoints[].cores", T::Number, 0, 4096, "", "0", "its cores, for `needs`",
    [](Settings& aTo, const json& aValue) { aTo.endpoints.back().cores = aValue; } },
  { "endpoints[].memoryMb", T::Number, 0, kGiB, "", "0", "its memory in MB, for `needs`",
    [](Settings& aTo, const json& aValue) { aTo.endpoints.back().memoryMb = aValue; } },
  { "endpoints[].accelerators", T::Number, 0, 1024, "", "0", "its accelerators, for `needs`",
    [](Settings& aTo, const json& aValue) { aTo.endpoints.back().accelerators = aValue; } },
  { "endpoints[].labels", T::Labels, 0, 0, "", "{}", "its further labels, for selectors", StoreEndpointLabels },
  { "limits.waitingCallers", T::Number, 1, 8000, "", "2000", "callers that may wait for an answer; each holds a thread",
    [](Settings& aTo, const json& aValue) { aTo.limits.waitingCallers = aValue; } },
  { "limits.connections", T::Number, 1, 65535, "", "4000", "connections that the callers' server answers",
    [](Settings& aTo, const json& aValue) { aTo.limits.connections = aValue; } },
  { "limits.bodyBytes", T::Number, 1024, kGiB, "", "16777216", "largest body of a submission, in bytes; at most a sixteenth of `memoryMb`",
    [](Settings& aTo, const json& aValue) { aTo.limits.bodyBytes = aValue; } },
  { "limits.queuedTasks", T::Number, 1, 10'000'000, "", "100000", "queued tasks in all",
    [](Settings& aTo, const json& aValue) { aTo.limits.queuedTasks = aValue; } },
  { "limits.queuedBytes", T::Number, 1024, 16 * kGiB, "", "67108864", "bytes of queued tasks: payloads, names, labels and selectors; at most 15% of `memoryMb`",
    [](Settings& aTo, const json& aValue) { aTo.limits.queuedBytes = aValue; } },
  { "limits.defaultDeadlineMs", T::Number, 1, kHourMs, "", "60000", "deadline of a submission without one, in ms",
    [](Settings& aTo, const json& aValue) { aTo.limits.defaultDeadline = Milliseconds(aValue); } },
  { "limits.attemptFloorMs", T::Number, 1, kHourMs, "", "30000", "an attempt may last at least this long, in ms",
    [](Settings& aTo, const json& aValue) { aTo.limits.attemptFloor = Milliseconds(aValue); } },
  { "limits.attemptCeilingMs", T::Number, 1, kHourMs, "", "30000", "an attempt may last at most this long, in ms",
    [](Settings& aTo, const json& aValue) { aTo.limits.attemptCeiling = Milliseconds(aValue); } },
  { "limits.keepFinishedMs", T::Number, 1000, 24 * kHourMs, "", "600000", "finished jobs stay readable for this long, in ms",
    [](Settings& aTo, const json& aValue) { aTo.limits.keepFinished = Milliseconds(aValue); } },
  { "limits.readTimeoutMs", T::Number, 100, kHourMs, "", "10000", "a connection whose request has begun and is not whole after this time is closed, in ms",
    [](Settings& aTo, const json& aValue) { aTo.limits.readTimeout = Milliseconds(aValue); } },
  { "leaveDelayMs", T::Number, 0, 60'000, "", "2000", "from the loss of readiness to the refusal of new work, in ms",
    [](Settings& aTo, const json& aValue) { aTo.leaveDelay = Milliseconds(aValue); } },
  { "shutdownLimitMs", T::Number, 0, 600'000, "", "30000", "longest hand-over after the last attempt ended, in ms",
    [](Settings& aTo, const json& aValue) { aTo.shutdownLimit = Milliseconds(aValue); } },
  { "logLevel", T::Choice, 0, 0, "debug|info|warning|error", "\"info\"", "least severe level that is logged",
    [](Settings& aTo, const json& aValue) { aTo.logLevel = aValue; } },
  { "policies.queue", T::Choice, 0, 0, "fair|fifo|strict-priority", "\"fair\"", "order of queued tasks",
    [](Settings& aTo, const json& aValue) { aTo.queuePolicy = aValue; } },
  { "policies.placement", T::Choice, 0, 0, "speed-classes|random|round-robin|least-outstanding", "\"speed-classes\"", "choice of the endpoint",
    [](Settings& aTo, const json& aValue) { aTo.placementPolicy = aValue; } },
};
// clang-format on

}

Span<const SettingKey> SettingKeys()
{
  return kKeys;
}

std::string Expected(const SettingKey& aKey)
{
  switch (aKey.type) {
    case T::Name:
      return "a name of 1 to 64 letters, digits, '-' or '_'";
    case T::Text:
      return "a text of 1 to 64 bytes";
    case T::IpNumber:
      return "an IP number";
    case T::Number:
      return "a whole number from " + std::to_string(aKey.least) + " to " +
             std::to_string(aKey.most);
    case T::Choice: {
      std::string text = "one of ";
      for (const char letter : aKey.choices) {
        text += letter == '|' ? std::string(", ") : std::string(1, letter);
      }
      return text;
    }
    case T::Labels:
      return "an object of texts";
    case T::Group:
      return "an object";
    case T::List:
      break;
  }
  return "a list of objects";
}

std::string MarkdownRow(const SettingKey& aKey)
{
  return "| `" + std::string(aKey.path) + "` | " + Expected(aKey) + " | " +
         (aKey.defaultText.empty()
            ? std::string("required")
            : "`" + std::string(aKey.defaultText) + "`") +
         " | " + std::string(aKey.meaning) + " |";
}

}
