#include "http/CallerApi.h"
#include "http/HttpServer.h"
#include "http/OperatorApi.h"
#include "http/RawSocket.h"
#include "http/TestNode.h"

#include <fstream>
#include <sstream>
#include <string>
#include <vector>

// Last, because its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace hemlockhaven;

namespace {

using nlohmann::json;

//! One example of docs/api.md.
struct Example
{
  bool isForOperators = false;
  std::string method;
  std::string target;
  std::string body;
  int status = 0;
  std::string reply;
};

std::vector<Example> ReadExamples()
{
  std::ifstream page(HEMLOCKHAVEN_SOURCE_DIR "/docs/api.md");
  std::vector<Example> examples;
  std::string line;
  while (std::getline(page, line)) {
    if (line.rfind("```example", 0) != 0) {
      continue;
    }
    Example example;
    example.isForOperators = line == "```example operators";
    page >> example.method >> example.target;
    std::getline(page, line);
    while (std::getline(page, line) && !line.empty()) {
      example.body += line;
    }
    page >> example.status;
    while (std::getline(page, line) && line != "```") {
      example.reply += line;
    }
    examples.push_back(example);
  }
  return examples;
}

void Replace(std::string& aText, const std::string& aId)
{
  const std::size_t at = aText.find("{id}");
  if (at != std::string::npos) {
    aText.replace(at, 4, aId);
  }
}

//! Whether the value has all that the example shows; "..." is any value.
bool Shows(const json& aExample, const json& aValue)
{
  if (aExample == "...") {
    return !aValue.is_null();
  }
  if (aExample.is_object()) {
    if (!aValue.is_object()) {
      return false;
    }
    for (const auto& [name, member] : aExample.items()) {
      if (!aValue.contains(name) || !Shows(member, aValue[name])) {
        return false;
      }
    }
    return true;
  }
  if (aExample.is_array()) {
    if (!aValue.is_array() || aExample.size() != aValue.size()) {
      return false;
    }
    for (std::size_t i = 0; i < aExample.size(); ++i) {
      if (!Shows(aExample[i], aValue[i])) {
        return false;
      }
    }
    return true;
  }
  return aExample == aValue;
}

//! Hooks that answer what the page shows.
OperatorHooks MakeHooks()
{
  OperatorHooks hooks;
  hooks.readiness = [] { return Result<void>(outcome::success()); };
  hooks.status = [] {
    NodeStatus status;
    status.name = "vm-1";
    status.zone = "a";
    status.ready = true;
    status.configurationVersion = 3;
    status.peers.push_back({ "vm-2", "127.0.0.1:7003", "b", "live" });
    EndpointStatus endpoint;
    endpoint.description.id = "e-1";
    endpoint.description.zone = "a";
    endpoint.description.labels.Set("trade", "canopy");
    endpoint.allowed = 8;
    status.endpoints.push_back(endpoint);
    return status;
  };
  hooks.where = [](const WhereQuery&) {
    WhereAnswer answer;
    answer.sentences.emplace_back("The request ended.");
    RequestRecord record;
    record.id = "vm-1.7.1";
    record.caller = "menders";
    record.state = JobState::Complete;
    record.zone = "a";
    answer.records.push_back(record);
    return Result<WhereAnswer>(answer);
  };
  hooks.configuration = [] {
    return Result<ConfigurationView>(ConfigurationView{ 3, "{}" });
  };
  hooks.checkConfiguration = [](std::string_view, const ReserveHook&) {
    return Result<void>(outcome::success());
  };
  hooks.publishConfiguration =
    [](std::uint64_t aBase, std::string_view, const ReserveHook&) {
      return aBase == 3
               ? Result<std::uint64_t>(4)
               : Result<std::uint64_t>(Error::NotRun(
                   "publish", Reason::ConfigurationConflict, "version 3"));
    };
  hooks.drain = [](const DrainOrder&) { return Result<std::size_t>(8); };
  return hooks;
}

}

TEST_GROUP(ApiExamples){};

// Guards against a page that shows what the servers do not do.
TEST(ApiExamples, AnswerAsThePageSays)
{
  TestNode test;
  Summaries summaries;
  CallerApi callerApi(*test.node, summaries, {});
  const OperatorApi operatorApi(MakeHooks());
  HttpServer::Options callers;
  callers.port = FreePort();
  HttpServer::Options operators;
  const HttpServer callerServer(callers, [&](const HttpRequestView& aRequest) {
    return callerApi.Handle(aRequest);
  });
  operators.port = FreePort();
  const HttpServer operatorServer(operators,
                                  [&](const HttpRequestView& aRequest) {
                                    return operatorApi.Handle(aRequest);
                                  });

  std::string id;
  const std::vector<Example> examples = ReadExamples();
  CHECK(examples.size() > 15);
  for (Example example : examples) {
    Replace(example.target, id);
    Replace(example.reply, id);
    const RawSocket socket(example.isForOperators ? operators.port
                                                  : callers.port);
    socket.Send(RequestText(example.method, example.target, example.body));
    const std::string reply = socket.ReadReply();
    const std::string what = example.method + " " + example.target + ": " +
                             BodyIn(reply) + " instead of " + example.reply;
    LONGS_EQUAL_TEXT(example.status, StatusIn(reply), what.c_str());
    const json body = json::parse(BodyIn(reply), nullptr, false);
    const json shown = json::parse(example.reply, nullptr, false);
    CHECK_TEXT(!shown.is_discarded() && Shows(shown, body), what.c_str());
    if (body.contains("ids")) {
      id = body["ids"][0];
    }
  }
}
