#include "http/StatusJson.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace hemlockhaven {

namespace {

using nlohmann::json;

json LabelsJson(const Labels& aLabels)
{
  json value = json::object();
  for (const Labels::Item& item : aLabels.Items()) {
    value[item.first] = item.second;
  }
  return value;
}

json ToJson(const EndpointStatus& aEndpoint)
{
  return { { "id", aEndpoint.description.id },
           { "zone", aEndpoint.description.zone },
           { "state", EndpointStateName(aEndpoint) },
           { "slots", aEndpoint.description.slots },
           { "allowed", aEndpoint.allowed },
           { "running", aEndpoint.running },
           { "slowness", aEndpoint.slowness },
           { "labels", LabelsJson(aEndpoint.description.labels) } };
}

json ToJson(const CallerStatus& aCaller)
{
  return { { "caller", aCaller.caller },
           { "weight", aCaller.weight },
           { "queued", aCaller.queued },
           { "running", aCaller.running },
           { "slotTimeMs", aCaller.slotTime.count() / 1000 } };
}

json ToJson(const PeerStatus& aPeer)
{
  return { { "name", aPeer.name },
           { "address", aPeer.address },
           { "zone", aPeer.zone },
           { "state", aPeer.state } };
}

template<typename T>
json ListOf(const std::vector<T>& aItems)
{
  json list = json::array();
  for (const T& item : aItems) {
    list.push_back(ToJson(item));
  }
  return list;
}

}

std::string_view EndpointStateName(const EndpointStatus& aEndpoint)
{
  if (aEndpoint.description.leaving) {
    return "leaving";
  }
  if (aEndpoint.ejected) {
    return "ejected";
  }
  return aEndpoint.running >= aEndpoint.allowed ? "full" : "live";
}

json ToJson(const NodeStatus& aStatus)
{
  return { { "name", aStatus.name },
           { "incarnation", aStatus.incarnation },
           { "zone", aStatus.zone },
           { "ready", aStatus.ready },
           { "shuttingDown", aStatus.shuttingDown },
           { "queued", aStatus.queued },
           { "running", aStatus.running },
           { "jobsRunning", aStatus.jobsRunning },
           { "jobsKept", aStatus.jobsKept },
           { "waitingCallers", aStatus.waitingCallers },
           { "configurationVersion", aStatus.configurationVersion },
           { "endpoints", ListOf(aStatus.endpoints) },
           { "callers", ListOf(aStatus.callers) },
           { "peers", ListOf(aStatus.peers) } };
}

json ToJson(const RequestRecord& aRecord)
{
  return { { "id", aRecord.id },
           { "caller", aRecord.caller },
           { "kind", aRecord.kind },
           { "labels", LabelsJson(aRecord.labels) },
           { "tasks", aRecord.tasks },
           { "submittedMs", aRecord.submittedMs },
           { "startedMs", aRecord.startedMs },
           { "endedMs", aRecord.endedMs },
           { "state", JobStateName(aRecord.state) },
           { "reason", ReasonName(aRecord.reason) },
           { "ran", RanName(aRecord.ran) },
           { "zone", aRecord.zone },
           { "endpointLabels", LabelsJson(aRecord.endpointLabels) } };
}

json ToJson(const WhereAnswer& aAnswer)
{
  return { { "sentences", aAnswer.sentences },
           { "records", ListOf(aAnswer.records) },
           { "note", aAnswer.note } };
}

}
