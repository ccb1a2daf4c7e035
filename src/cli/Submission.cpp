#include "cli/Submission.h"

#include <thread>
#include <utility>

namespace hemlockhaven {

namespace {

//! Short enough for a progress line each second.
constexpr const char* kWaitQuery = "waitMs=1000";

//! Tries after lost answers, and the pause between them.
constexpr int kTries = 5;
constexpr Duration kPause = std::chrono::milliseconds(300);

}

Submission::Submission(const DaemonClient& aClient, std::string aPlural)
  : client_(aClient)
  , plural_(std::move(aPlural))
{
}

Result<std::string> Submission::Reserve()
{
  const auto reply = client_.Send("POST", "/v1/ids");
  if (reply.has_error()) {
    // Nothing was submitted, whatever became of the reserved id.
    Error error = reply.error();
    error.ran = Ran::NotRun;
    return error;
  }
  const nlohmann::json& body = reply.value().body;
  if (reply.value().status != 200 || !body.is_object() ||
      !body.contains("ids") || body["ids"].empty()) {
    Error error = Error::NotRun("reserve id", Reason::NotReady, "no id");
    if (body.is_object() && body.contains("error")) {
      error.reason = ReasonFromName(body["error"].value("reason", ""));
      error.detail = body["error"].value("detail", "");
    }
    return error;
  }
  id_ = body["ids"][0].get<std::string>();
  return id_;
}

Result<DaemonReply> Submission::Run(const nlohmann::json& aBody,
                                    const Progress& aProgress) const
{
  return SendUntilOver("PUT", aBody.dump(), aProgress);
}

Result<DaemonReply> Submission::Wait(const Progress& aProgress) const
{
  return SendUntilOver("GET", "", aProgress);
}

Result<DaemonReply> Submission::SendUntilOver(std::string_view aMethod,
                                              const std::string& aBody,
                                              const Progress& aProgress) const
{
  const std::string path = "/v1/" + plural_ + "/" + id_;
  std::string method(aMethod);
  bool mayHaveStarted = method == "GET";
  int lost = 0;
  while (true) {
    auto reply = client_.Send(
      method, path, kWaitQuery, method == "PUT" ? aBody : std::string());
    if (reply.has_error()) {
      Error error = reply.error();
      mayHaveStarted = mayHaveStarted || error.ran != Ran::NotRun;
      if (++lost == kTries) {
        error.ran = mayHaveStarted ? Ran::Unknown : Ran::NotRun;
        return error;
      }
      std::this_thread::sleep_for(kPause);
      continue;
    }
    lost = 0;
    if (reply.value().status != 202) {
      return reply;
    }
    method = "GET"; // The daemon has it; from here on only the state is read.
    mayHaveStarted = true;
    aProgress(reply.value().body);
  }
}

}
