#include "adapters/RecordCodec.h"

#include "adapters/ConfigurationJson.h"

#include <cstdint>
#include <memory>
#include <stdexcept>
#include <utility>

namespace hemlockhaven {

namespace {

using nlohmann::json;

constexpr int kFormatVersion = 1;

JobState JobStateFromName(const std::string& aName)
{
  for (const JobState state :
       { JobState::Running, JobState::Complete, JobState::Failed }) {
    if (aName == JobStateName(state)) {
      return state;
    }
  }
  throw std::invalid_argument("unknown job state");
}

json LabelsToJson(const Labels& aLabels)
{
  json labels = json::object();
  for (const auto& [key, value] : aLabels.Items()) {
    labels[key] = value;
  }
  return labels;
}

Labels LabelsFromJson(const json& aJson)
{
  Labels labels;
  for (const auto& [key, value] : aJson.items()) {
    labels.Set(key, value.get_ref<const std::string&>());
  }
  return labels;
}

json RequestToJson(const RequestRecord& aRecord)
{
  return { { "id", aRecord.id },
           { "caller", aRecord.caller },
           { "kind", aRecord.kind },
           { "labels", LabelsToJson(aRecord.labels) },
           { "tasks", aRecord.tasks },
           { "submittedMs", aRecord.submittedMs },
           { "startedMs", aRecord.startedMs },
           { "endedMs", aRecord.endedMs },
           { "state", JobStateName(aRecord.state) },
           { "reason", ReasonName(aRecord.reason) },
           { "ran", RanName(aRecord.ran) },
           { "zone", aRecord.zone },
           { "endpoint", LabelsToJson(aRecord.endpointLabels) } };
}

RequestRecord RequestFromJson(const json& aJson)
{
  RequestRecord record;
  aJson.at("id").get_to(record.id);
  aJson.at("caller").get_to(record.caller);
  aJson.at("kind").get_to(record.kind);
  record.labels = LabelsFromJson(aJson.at("labels"));
  aJson.at("tasks").get_to(record.tasks);
  aJson.at("submittedMs").get_to(record.submittedMs);
  aJson.at("startedMs").get_to(record.startedMs);
  aJson.at("endedMs").get_to(record.endedMs);
  record.state = JobStateFromName(aJson.at("state").get<std::string>());
  record.reason = ReasonFromName(aJson.at("reason").get<std::string>());
  record.ran = RanFromName(aJson.at("ran").get<std::string>());
  aJson.at("zone").get_to(record.zone);
  record.endpointLabels = LabelsFromJson(aJson.at("endpoint"));
  return record;
}

std::shared_ptr<const Configuration> ConfigurationFromJson(const json& aJson)
{
  ParsedConfiguration parsed = ParseConfiguration(aJson);
  if (!parsed.faults.empty()) {
    throw std::invalid_argument(parsed.faults.front().Describe());
  }
  return std::make_shared<const Configuration>(std::move(parsed.document));
}

// Convert each record type to JSON, without the format version.
json FieldsToJson(const ClaimBatch& aBatch)
{
  json keys = json::array();
  for (const KeyHash& key : aBatch.keys) {
    keys.push_back({ key.high, key.low });
  }
  return { { "type", "claims" },
           { "node", aBatch.holder.node },
           { "incarnation", aBatch.holder.number },
           { "nonce", aBatch.nonce },
           { "keys", std::move(keys) } };
}

json FieldsToJson(const ConfigurationChange& aChange)
{
  return { { "type", "configuration" },
           { "base", aChange.base },
           { "nonce", aChange.nonce },
           { "document", ToJson(*aChange.document) } };
}

json FieldsToJson(const ConfigurationState& aState)
{
  return { { "type", "snapshot" },
           { "version", aState.version },
           { "asOf", aState.asOf },
           { "document", ToJson(*aState.document) } };
}

json FieldsToJson(const HistoryBatch& aBatch)
{
  json records = json::array();
  for (const RequestRecord& record : aBatch.records) {
    records.push_back(RequestToJson(record));
  }
  return { { "type", "history" },
           { "node", aBatch.node },
           { "lost", aBatch.lost },
           { "records", std::move(records) } };
}

//! Throws unless the value is an unsigned integer. nlohmann::json would
//! silently convert a negative number.
std::uint64_t UnsignedFromJson(const json& aJson)
{
  if (!aJson.is_number_unsigned()) {
    throw std::invalid_argument("expected an unsigned integer");
  }
  return aJson.get<std::uint64_t>();
}

ClaimBatch ClaimBatchFromJson(const json& aJson)
{
  ClaimBatch batch;
  aJson.at("node").get_to(batch.holder.node);
  batch.holder.number = UnsignedFromJson(aJson.at("incarnation"));
  batch.nonce = UnsignedFromJson(aJson.at("nonce"));
  for (const json& key : aJson.at("keys")) {
    batch.keys.push_back(
      { UnsignedFromJson(key.at(0)), UnsignedFromJson(key.at(1)) });
  }
  return batch;
}

HistoryBatch HistoryBatchFromJson(const json& aJson)
{
  HistoryBatch batch;
  aJson.at("node").get_to(batch.node);
  batch.lost = UnsignedFromJson(aJson.at("lost"));
  for (const json& record : aJson.at("records")) {
    batch.records.push_back(RequestFromJson(record));
  }
  return batch;
}

std::optional<PlatformRecord> RecordFromJson(const json& aJson)
{
  if (aJson.at("v") != kFormatVersion) {
    return std::nullopt;
  }
  const auto& type = aJson.at("type").get_ref<const std::string&>();
  if (type == "claims") {
    return ClaimBatchFromJson(aJson);
  }
  if (type == "configuration") {
    return ConfigurationChange{ UnsignedFromJson(aJson.at("base")),
                                UnsignedFromJson(aJson.at("nonce")),
                                ConfigurationFromJson(aJson.at("document")) };
  }
  if (type == "snapshot") {
    return ConfigurationState{ UnsignedFromJson(aJson.at("version")),
                               UnsignedFromJson(aJson.at("asOf")),
                               ConfigurationFromJson(aJson.at("document")) };
  }
  if (type == "history") {
    return HistoryBatchFromJson(aJson);
  }
  return std::nullopt;
}

}

std::string EncodeRecord(const PlatformRecord& aRecord)
{
  json fields = std::visit(
    [](const auto& aContent) { return FieldsToJson(aContent); }, aRecord);
  fields["v"] = kFormatVersion;
  return fields.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<PlatformRecord> DecodeRecord(std::string_view aData)
{
  try {
    return RecordFromJson(json::parse(aData));
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}
