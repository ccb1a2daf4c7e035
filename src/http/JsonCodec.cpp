#include "http/JsonCodec.h"

#include "net/JsonDocument.h"

#include <nlohmann/json.hpp>

#include <array>
#include <string>
#include <utility>

namespace hemlockhaven {

namespace {

using nlohmann::json;

struct UrgencyName
{
  std::string_view name;
  Urgency urgency;
};

constexpr std::array<UrgencyName, 3> kUrgencyNames{
  { { "low", Urgency::Low },
    { "normal", Urgency::Normal },
    { "urgent", Urgency::Urgent } }
};

//! The caller's name and the kind are keys of accounts.
constexpr std::size_t kMaxNameBytes = 1024;
//! Labels stay in the history after a job is over.
constexpr std::size_t kMaxLabels = 64;
constexpr std::size_t kMaxLabelBytes = 4096; //!< Keys and values of a job.
//! A long selector costs time for each endpoint and task.
constexpr std::size_t kMaxSelectorBytes = 16384;
//! Bytes of a parsed selector for each byte of its text: an entry of a list of
//! values takes two bytes, and 48 while the list grows.
constexpr std::size_t kSelectorFactor = 48;

constexpr std::array<std::string_view, 12> kKnownMembers{
  "caller",     "kind",       "urgency",    "labels",  "selector", "needs",
  "deadlineMs", "declaredMs", "idempotent", "payload", "tasks",    "waitMs"
};

Error Malformed(std::string_view aMember, std::string_view aDetail)
{
  return Error::NotRun("parse submission",
                       Reason::MalformedRequest,
                       std::string(aMember) + ": " + std::string(aDetail));
}

Result<std::string> ReadText(const json& aBody,
                             const char* aMember,
                             bool aRequired)
{
  const auto found = aBody.find(aMember);
  if (found == aBody.end()) {
    if (aRequired) {
      return Malformed(aMember, "expected a text, found nothing");
    }
    return std::string();
  }
  if (!found->is_string()) {
    return Malformed(
      aMember, std::string("expected a text, found ") + found->type_name());
  }
  return found->get<std::string>();
}

//! A text that has to be present.
Result<std::string> ReadName(const json& aBody, const char* aMember)
{
  auto name = ReadText(aBody, aMember, true);
  if (name.has_value() && name.value().size() > kMaxNameBytes) {
    return Malformed(aMember, "expected at most 1024 bytes");
  }
  return name;
}

Result<Duration> ReadMilliseconds(const json& aBody, const char* aMember)
{
  constexpr std::int64_t kMostMs = 3'600'000;
  const auto found = aBody.find(aMember);
  if (found == aBody.end()) {
    return Duration{ 0 };
  }
  if (!found->is_number_integer() || found->get<std::int64_t>() < 0 ||
      found->get<std::int64_t>() > kMostMs) {
    return Malformed(aMember, "expected a number from 0 to 3600000");
  }
  return Duration(std::chrono::milliseconds(found->get<std::int64_t>()));
}

Result<void> CheckMembers(const json& aBody)
{
  for (const auto& [name, value] : aBody.items()) {
    bool known = false;
    for (const std::string_view member : kKnownMembers) {
      known = known || member == name;
    }
    if (!known) {
      return Malformed(name, "unknown member");
    }
  }
  return outcome::success();
}

Result<void> ReadLabels(const json& aBody, Labels& aLabels)
{
  const auto found = aBody.find("labels");
  if (found == aBody.end()) {
    return outcome::success();
  }
  if (!found->is_object()) {
    return Malformed("labels", "expected an object of texts");
  }
  if (found->size() > kMaxLabels) {
    return Malformed("labels", "expected at most 64 labels");
  }
  std::size_t bytes = 0;
  for (const auto& [key, value] : found->items()) {
    if (!value.is_string()) {
      return Malformed("labels." + key, "expected a text");
    }
    const auto& text = value.get_ref<const std::string&>();
    bytes += key.size() + text.size();
    if (bytes > kMaxLabelBytes) {
      return Malformed("labels", "expected at most 4096 bytes in all");
    }
    aLabels.Set(key, text);
  }
  return outcome::success();
}

Result<void> ReadUrgency(const json& aBody, Urgency& aUrgency)
{
  BOOST_OUTCOME_TRY(text, ReadText(aBody, "urgency", false));
  if (text.empty()) {
    return outcome::success();
  }
  for (const UrgencyName& row : kUrgencyNames) {
    if (row.name == text) {
      aUrgency = row.urgency;
      return outcome::success();
    }
  }
  return Malformed("urgency", "expected 'low', 'normal' or 'urgent'");
}

Result<void> ReadNeeds(const json& aBody, Needs& aNeeds)
{
  const auto found = aBody.find("needs");
  if (found == aBody.end()) {
    return outcome::success();
  }
  if (!found->is_object()) {
    return Malformed("needs", "expected an object");
  }
  for (const auto& [key, value] : found->items()) {
    if (!value.is_number_unsigned()) {
      return Malformed("needs." + key, "expected a number, 0 or more");
    }
    if (key == "cores") {
      aNeeds.cores = value.get<std::uint32_t>();
    } else if (key == "memoryMb") {
      aNeeds.memoryMb = value.get<std::uint64_t>();
    } else if (key == "accelerators") {
      aNeeds.accelerators = value.get<std::uint32_t>();
    } else {
      return Malformed("needs." + key, "unknown member");
    }
  }
  return outcome::success();
}

Result<void> ReadTasks(const json& aBody, JobSpec& aSpec)
{
  const auto found = aBody.find("tasks");
  if (found == aBody.end() || !found->is_array() || found->empty() ||
      found->size() > kMaxTasksPerJob) {
    return Malformed("tasks", "expected a list of 1 to 780 texts");
  }
  aSpec.payloads.reserve(found->size());
  for (const json& task : *found) {
    if (!task.is_string()) {
      return Malformed("tasks", "expected a list of 1 to 780 texts");
    }
    aSpec.payloads.push_back(task.get<std::string>());
  }
  return outcome::success();
}

Result<void> ReadIdempotent(const json& aBody,
                            SubmissionKind aKind,
                            JobSpec& aSpec)
{
  const auto found = aBody.find("idempotent");
  if (found == aBody.end()) {
    return outcome::success();
  }
  if (!found->is_boolean()) {
    return Malformed("idempotent", "expected true or false");
  }
  aSpec.idempotent = found->get<bool>();
  if (aSpec.idempotent && aKind == SubmissionKind::Job) {
    return Malformed("idempotent", "only single requests can be idempotent");
  }
  return outcome::success();
}

}

Result<JobSpec> ParseSubmission(std::string_view aBody,
                                SubmissionKind aKind,
                                const ReserveHook& aReserve)
{
  BOOST_OUTCOME_TRY(body, ParseJson(aBody, aReserve));
  if (!body.is_object()) {
    return Malformed("body", "expected a JSON object");
  }
  BOOST_OUTCOME_TRY(CheckMembers(body));
  JobSpec spec;
  BOOST_OUTCOME_TRY(caller, ReadName(body, "caller"));
  spec.caller = std::move(caller);
  BOOST_OUTCOME_TRY(kind, ReadName(body, "kind"));
  spec.kind = std::move(kind);
  BOOST_OUTCOME_TRY(ReadUrgency(body, spec.urgency));
  BOOST_OUTCOME_TRY(ReadLabels(body, spec.labels));
  BOOST_OUTCOME_TRY(text, ReadText(body, "selector", false));
  if (text.size() > kMaxSelectorBytes) {
    return Malformed("selector", "expected at most 16384 bytes");
  }
  BOOST_OUTCOME_TRY(TryReserve(aReserve, kSelectorFactor * text.size()));
  BOOST_OUTCOME_TRY(selector, Selector::Parse(text));
  spec.selector = std::move(selector);
  BOOST_OUTCOME_TRY(ReadNeeds(body, spec.needs));
  BOOST_OUTCOME_TRY(deadline, ReadMilliseconds(body, "deadlineMs"));
  spec.deadline = deadline;
  BOOST_OUTCOME_TRY(declared, ReadMilliseconds(body, "declaredMs"));
  spec.declaredTime = declared;
  BOOST_OUTCOME_TRY(ReadIdempotent(body, aKind, spec));
  if (aKind == SubmissionKind::Job) {
    BOOST_OUTCOME_TRY(ReadTasks(body, spec));
    return spec;
  }
  BOOST_OUTCOME_TRY(payload, ReadText(body, "payload", true));
  spec.payloads.push_back(std::move(payload));
  return spec;
}

json ToJson(const Error& aError)
{
  json value = { { "reason", ReasonName(aError.reason) },
                 { "ran", RanName(aError.ran) },
                 { "step", aError.step },
                 { "detail", aError.detail } };
  if (!aError.peer.empty()) {
    value["peer"] = aError.peer;
  }
  if (aError.retryAfter > Duration{ 0 }) {
    value["retryAfterMs"] = aError.retryAfter.count() / 1000;
  }
  return value;
}

json ToJson(const JobAnswer& aAnswer, SubmissionKind aKind)
{
  json value = { { "id", aAnswer.id.Text() },
                 { "state", JobStateName(aAnswer.state) } };
  if (aKind == SubmissionKind::Job) {
    value["tasks"] = aAnswer.tasks;
    value["ended"] = aAnswer.ended;
  }
  if (aAnswer.state == JobState::Failed) {
    value["ran"] = RanName(aAnswer.ran);
    value["error"] = ToJson(*aAnswer.error);
  }
  if (aAnswer.state == JobState::Complete) {
    if (aKind == SubmissionKind::Request) {
      value["result"] = aAnswer.results.front().body;
    } else {
      json& results = value["results"] = json::array();
      for (const TaskOutcome& outcome : aAnswer.results) {
        results.push_back(outcome.body);
      }
    }
  }
  return value;
}

}
