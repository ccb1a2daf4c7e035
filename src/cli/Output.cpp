#include "cli/Output.h"

#include "http/JsonCodec.h"

#include <iostream>

namespace hemlockhaven {

namespace {

using nlohmann::json;

Error ErrorIn(const json& aBody, unsigned aStatus)
{
  Error error = Error::Unknown(
    "read reply", "", Reason::Internal, "status " + std::to_string(aStatus));
  const auto found = aBody.is_object() ? aBody.find("error") : aBody.end();
  if (!aBody.is_object() || found == aBody.end() || !found->is_object()) {
    return error;
  }
  error.step = found->value("step", "");
  error.peer = found->value("peer", "");
  error.detail = found->value("detail", "");
  error.reason = ReasonFromName(found->value("reason", ""));
  error.ran = RanFromName(found->value("ran", ""));
  error.retryAfter =
    std::chrono::milliseconds(found->value("retryAfterMs", std::int64_t{ 0 }));
  // A job's own "ran" covers all its tasks.
  if (aBody.contains("ran")) {
    error.ran = RanFromName(aBody.value("ran", ""));
  }
  return error;
}

}

ExitCode ExitCodeOf(const Error& aError)
{
  switch (aError.reason) {
    case Reason::ConnectRefused:
      return aError.ran == Ran::NotRun && !aError.peer.empty()
               ? ExitCode::NotReachable
               : ExitCode::Unknown;
    case Reason::MalformedRequest:
    case Reason::ConfigurationInvalid:
      return ExitCode::Usage;
    default:
      break;
  }
  switch (aError.ran) {
    case Ran::NotRun:
      return ExitCode::NotRun;
    case Ran::Ran:
      return ExitCode::Failed;
    case Ran::Unknown:
      break;
  }
  return ExitCode::Unknown;
}

ExitCode Output::Show(const Result<DaemonReply>& aReply,
                      const std::function<void(const json&)>& aShow) const
{
  if (aReply.has_error()) {
    return Show(aReply.error());
  }
  const DaemonReply& reply = aReply.value();
  if (reply.status >= 300) {
    const Error error = ErrorIn(reply.body, reply.status);
    if (isJson_) {
      std::cout << reply.text << '\n';
      return ExitCodeOf(error);
    }
    return Show(error);
  }
  if (isJson_) {
    std::cout << (reply.body.is_discarded() ? json(reply.text).dump()
                                            : reply.text)
              << '\n';
  } else if (reply.body.is_discarded()) {
    std::cout << reply.text;
  } else {
    aShow(reply.body);
  }
  return ExitCode::Done;
}

ExitCode Output::Show(const Error& aError) const
{
  if (isJson_) {
    std::cout << json{ { "error", ToJson(aError) } }.dump() << '\n';
  } else {
    std::cerr << aError.Describe() << " (" << RanName(aError.ran) << ")\n";
    if (aError.retryAfter > Duration{ 0 }) {
      std::cerr << "try again after " << aError.retryAfter.count() / 1000
                << " ms\n";
    }
  }
  return ExitCodeOf(aError);
}

void ShowAnswer(const json& aBody)
{
  if (aBody.contains("result")) {
    std::cout << aBody["result"].get<std::string>() << '\n';
  } else if (aBody.contains("results")) {
    for (const json& result : aBody["results"]) {
      std::cout << result.get<std::string>() << '\n';
    }
  } else {
    std::cout << aBody.value("id", "") << ' ' << aBody.value("state", "")
              << '\n';
  }
}

void ShowStatus(const json& aBody)
{
  std::cout << aBody.value("name", "") << " in " << aBody.value("zone", "")
            << ": " << (aBody.value("ready", false) ? "ready" : "not ready")
            << ", configuration " << aBody.value("configurationVersion", 0)
            << "\nqueued " << aBody.value("queued", 0) << ", running "
            << aBody.value("running", 0) << ", jobs "
            << aBody.value("jobsRunning", 0) << ", waiting callers "
            << aBody.value("waitingCallers", 0) << '\n';
  for (const json& peer : aBody.value("peers", json::array())) {
    std::cout << "peer " << peer.value("name", "") << " in "
              << peer.value("zone", "") << ": " << peer.value("state", "")
              << '\n';
  }
  for (const json& item : aBody.value("endpoints", json::array())) {
    std::cout << "endpoint " << item.value("id", "") << " in "
              << item.value("zone", "") << ": " << item.value("state", "")
              << ", " << item.value("running", 0) << " of "
              << item.value("allowed", 0) << " slots\n";
  }
  for (const json& item : aBody.value("callers", json::array())) {
    std::cout << "caller " << item.value("caller", "") << ": queued "
              << item.value("queued", 0) << ", running "
              << item.value("running", 0) << '\n';
  }
}

void ShowWhere(const json& aBody)
{
  for (const json& sentence : aBody.value("sentences", json::array())) {
    std::cout << sentence.get<std::string>() << '\n';
  }
  const std::string note = aBody.value("note", "");
  if (!note.empty()) {
    std::cout << note << '\n';
  }
}

void ShowJson(const json& aBody)
{
  std::cout << aBody.dump(2) << '\n';
}

}
