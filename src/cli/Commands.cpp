#include "cli/Commands.h"

#include "cli/Submission.h"
#include "net/HttpRequestView.h"

#include <unistd.h>

#include <fstream>
#include <iostream>
#include <iterator>

namespace hemlockhaven {

namespace {

using nlohmann::json;

Error Usage(std::string_view aDetail)
{
  return Error::NotRun("read arguments", Reason::MalformedRequest, aDetail);
}

//! Reads a whole file; "-" is stdin.
Result<std::string> ReadFile(const std::string& aPath)
{
  const auto read = [](std::istream& aIn) {
    return std::string{ std::istreambuf_iterator<char>(aIn),
                        std::istreambuf_iterator<char>() };
  };
  if (aPath == "-") {
    return read(std::cin);
  }
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    return Usage("cannot read " + aPath);
  }
  return read(file);
}

Result<json> ReadJson(const std::string& aPath)
{
  BOOST_OUTCOME_TRY(text, ReadFile(aPath));
  json document = json::parse(text, nullptr, false);
  if (document.is_discarded()) {
    return Usage(aPath + " is not JSON");
  }
  return document;
}

//! One line for each difference, as paths with their old and new values.
void ShowDifferences(const json& aPatch, const json& aOld)
{
  for (const json& change : aPatch) {
    const std::string path = change.value("path", "");
    std::cout << change.value("op", "") << ' ' << path;
    const json::json_pointer pointer(path);
    if (change.value("op", "") != "add" && aOld.contains(pointer)) {
      std::cout << ": " << aOld[pointer].dump();
    }
    if (change.contains("value")) {
      std::cout << " -> " << change["value"].dump();
    }
    std::cout << '\n';
  }
}

}

Commands::Commands(const CommandOptions& aOptions)
  : options_(aOptions)
  , callers_(aOptions.server)
  , operators_(aOptions.operators)
  , output_(aOptions.isJson)
{
}

ExitCode Commands::Request() const
{
  auto body = SpecOf();
  if (body.has_error()) {
    return output_.Show(body.error());
  }
  const auto payloads = Payloads();
  if (payloads.has_error()) {
    return output_.Show(payloads.error());
  }
  if (payloads.value().size() != 1) {
    return output_.Show(Usage("expected one payload"));
  }
  body.value()["payload"] = payloads.value().front();
  if (options_.isIdempotent) {
    body.value()["idempotent"] = true;
  }
  return Submit("requests", body.value());
}

ExitCode Commands::Job() const
{
  auto body = SpecOf();
  if (body.has_error()) {
    return output_.Show(body.error());
  }
  const auto payloads = Payloads();
  if (payloads.has_error()) {
    return output_.Show(payloads.error());
  }
  body.value()["tasks"] = payloads.value();
  return Submit("jobs", body.value());
}

ExitCode Commands::Submit(const char* aPlural, const json& aBody) const
{
  Submission submission(callers_, aPlural);
  if (options_.id.empty()) {
    const auto id = submission.Reserve();
    if (id.has_error()) {
      return output_.Show(id.error());
    }
    // A person whose tool is interrupted can go on with `wait`.
    std::cerr << "id " << id.value() << '\n';
  } else {
    submission.SetId(options_.id);
  }
  const auto reply =
    submission.Run(aBody, [this](const json& aState) { ShowProgress(aState); });
  return output_.Show(reply, ShowAnswer);
}

ExitCode Commands::Wait() const
{
  Submission submission(callers_, Plural());
  submission.SetId(options_.id);
  return output_.Show(
    submission.Wait([this](const json& aState) { ShowProgress(aState); }),
    ShowAnswer);
}

ExitCode Commands::Cancel() const
{
  return output_.Show(
    callers_.Send("DELETE", std::string("/v1/") + Plural() + "/" + options_.id),
    ShowAnswer);
}

ExitCode Commands::Status() const
{
  const auto reply = operators_.Send("GET", "/v1/status");
  const ExitCode code = output_.Show(reply, ShowStatus);
  if (code != ExitCode::Done || options_.isJson) {
    return code;
  }
  const auto counters = operators_.Send("GET", "/metrics");
  if (counters.has_error()) {
    return output_.Show(counters.error());
  }
  // Only refusals that happened.
  constexpr std::string_view kPrefix = "hemlockhaven_refused_total{reason=\"";
  std::string_view text = counters.value().text;
  while (!text.empty()) {
    const std::size_t end = text.find('\n');
    std::string_view line = text.substr(0, end);
    text = end == std::string_view::npos ? "" : text.substr(end + 1);
    const bool isZero = line.size() > 2 && line.substr(line.size() - 2) == " 0";
    if (StripPrefix(line, kPrefix) && !isZero) {
      std::cout << "refused " << line.substr(0, line.find('"'))
                << line.substr(line.rfind(' ')) << '\n';
    }
  }
  return ExitCode::Done;
}

ExitCode Commands::Where() const
{
  std::string query = "selector=" + UrlEncoded(options_.selector);
  if (!options_.since.empty()) {
    query += "&since=" + UrlEncoded(options_.since);
  }
  if (options_.most) {
    query += "&most=" + std::to_string(*options_.most);
  }
  return output_.Show(operators_.Send("GET", "/v1/where", query), ShowWhere);
}

ExitCode Commands::GetConfiguration() const
{
  return output_.Show(operators_.Send("GET", "/v1/configuration"), ShowJson);
}

ExitCode Commands::CheckConfiguration() const
{
  const auto text = ReadFile(options_.file);
  if (text.has_error()) {
    return output_.Show(text.error());
  }
  return output_.Show(
    operators_.Send("POST", "/v1/configuration/check", "", text.value()),
    ShowJson);
}

ExitCode Commands::DiffConfiguration() const
{
  const auto document = ReadJson(options_.file);
  if (document.has_error()) {
    return output_.Show(document.error());
  }
  const auto reply = operators_.Send("GET", "/v1/configuration");
  if (reply.has_error() || reply.value().status != 200) {
    return output_.Show(reply, ShowJson);
  }
  const json old = reply.value().body.value("document", json::object());
  const json patch = json::diff(old, document.value());
  if (options_.isJson) {
    std::cout << json{
      { "version", reply.value().body["version"] }, { "changes", patch }
    }.dump() << '\n';
  } else {
    ShowDifferences(patch, old);
  }
  return ExitCode::Done;
}

ExitCode Commands::PublishConfiguration() const
{
  const auto text = ReadFile(options_.file);
  if (text.has_error()) {
    return output_.Show(text.error());
  }
  return output_.Show(
    operators_.Send("PUT",
                    "/v1/configuration",
                    "base=" + std::to_string(options_.base.value_or(0)),
                    text.value()),
    ShowJson);
}

ExitCode Commands::Drain() const
{
  const json body = { { "selector", options_.selector },
                      { "drain", !options_.takeBack } };
  return output_.Show(
    operators_.Send("POST", "/v1/endpoints/drain", "", body.dump()), ShowJson);
}

ExitCode Commands::ShowCounters() const
{
  return output_.Show(operators_.Send("GET", "/metrics"), ShowJson);
}

Result<json> Commands::SpecOf() const
{
  json body = { { "caller", options_.caller }, { "kind", options_.kind } };
  if (!options_.urgency.empty()) {
    body["urgency"] = options_.urgency;
  }
  if (!options_.selector.empty()) {
    body["selector"] = options_.selector;
  }
  if (options_.deadlineMs) {
    body["deadlineMs"] = *options_.deadlineMs;
  }
  for (const std::string& label : options_.labels) {
    const std::size_t equals = label.find('=');
    if (equals == std::string::npos || equals == 0) {
      return Usage("--label: expected key=value, found " + label);
    }
    body["labels"][label.substr(0, equals)] = label.substr(equals + 1);
  }
  return body;
}

Result<std::vector<std::string>> Commands::Payloads() const
{
  std::vector<std::string> payloads = options_.payloads;
  if (!options_.file.empty()) {
    BOOST_OUTCOME_TRY(text, ReadFile(options_.file));
    std::string_view rest = text;
    while (!rest.empty()) {
      const std::size_t end = rest.find('\n');
      payloads.emplace_back(rest.substr(0, end));
      rest = end == std::string_view::npos ? "" : rest.substr(end + 1);
    }
  }
  return payloads;
}

void Commands::ShowProgress(const json& aBody) const
{
  if (!options_.isJson && isatty(STDERR_FILENO) != 0 &&
      aBody.contains("tasks")) {
    std::cerr << aBody.value("ended", 0) << " of " << aBody.value("tasks", 0)
              << " tasks ended\n";
  }
}

}
