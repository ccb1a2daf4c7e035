// A request that is meant for one incarnation of a server must not reach the
// one that was started at its address since.
#include "net/HttpClient.h"
#include "net/HttpListener.h"

#include <CppUTest/TestHarness.h>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <cstdlib>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

using namespace hemlockhaven;

namespace {

namespace net = boost::asio;

constexpr std::string_view kIdentify = "/identify";
constexpr std::string_view kRun = "/run";

//! A server that names its incarnation, and can be restarted at its address.
class RestartableServer
{
public:
  void Start(std::string aIncarnation)
  {
    if (listener_) {
      listener_->Drain(); // Closes its connections, as the end of a process.
      context.poll();
      context.restart();
      listener_.reset();
    }
    incarnation_ = std::move(aIncarnation);
    listener_ = std::make_unique<HttpListener>(
      context,
      net::ip::tcp::endpoint{ net::ip::make_address("127.0.0.1"), port_ },
      HttpListener::Limits(),
      [this](const IncomingRequest& aRequest, const ReplyHook& aReply) {
        targets.emplace_back(aRequest.target);
        if (aRequest.target == kIdentify && isSilent) {
          return DisconnectHook([] {});
        }
        OutgoingReply reply;
        reply.body = incarnation_;
        aReply(std::move(reply));
        return DisconnectHook();
      });
    port_ = listener_->Port();
  }

  HttpRequest MakeRequest(std::string_view aTarget) const
  {
    HttpRequest request;
    request.address = "127.0.0.1:" + std::to_string(port_);
    request.method = "POST";
    request.target = aTarget;
    request.body = "{}";
    request.readIncarnation = [](const HttpResult& aResult) {
      return std::int64_t{ std::atoi(aResult.body.c_str()) };
    };
    return request;
  }

  HttpResult Send(HttpRequest aRequest)
  {
    std::optional<HttpResult> result;
    client.Send(std::move(aRequest),
                [&result](HttpResult aResult) { result = std::move(aResult); });
    for (int step = 0; step < 500 && !result; ++step) {
      context.run_for(std::chrono::milliseconds(10));
      context.restart();
    }
    CHECK(result.has_value());
    return *result;
  }

  net::io_context context;
  std::vector<std::string> targets; //!< Of the requests that arrived.
  bool isSilent = false;            //!< Leaves identifications unanswered.
  HttpClient client{ context, HttpClient::Limits() };

private:
  std::string incarnation_;
  std::uint16_t port_ = 0;
  std::unique_ptr<HttpListener> listener_;
};

struct IncarnationRow
{
  const char* guardsAgainst;
  std::function<void(RestartableServer&)> arrange;
  HttpOutcome outcome;
  std::vector<std::string_view> targets; //!< After the arrangement.
};

void PollOnce(RestartableServer& aServer)
{
  aServer.Send(aServer.MakeRequest("/poll"));
}

const IncarnationRow kIncarnationRows[] = {
  { "a request that is never sent on a new connection",
    [](RestartableServer&) {},
    HttpOutcome::Answered,
    { kIdentify, kRun } },
  { "an identification for each request",
    PollOnce,
    HttpOutcome::Answered,
    { kRun } },
  { "a request on a new connection to another incarnation",
    [](RestartableServer& aServer) {
      PollOnce(aServer);
      aServer.Start("2");
    },
    HttpOutcome::OtherIncarnation,
    { kIdentify } },
  { "a request on a known connection to another incarnation",
    [](RestartableServer& aServer) {
      aServer.Start("2");
      PollOnce(aServer);
    },
    HttpOutcome::OtherIncarnation,
    {} },
  { "a request to a server that does not name its incarnation",
    [](RestartableServer& aServer) { aServer.Start("none"); },
    HttpOutcome::NotSent,
    { kIdentify } },
  { "a request counted as sent while the identification is unanswered",
    [](RestartableServer& aServer) { aServer.isSilent = true; },
    HttpOutcome::NotSent,
    { kIdentify } },
};

}

TEST_GROUP(HttpIncarnation){};

TEST(HttpIncarnation, ReachesTheExpectedOneOnly)
{
  for (const IncarnationRow& row : kIncarnationRows) {
    RestartableServer server;
    server.Start("1");
    row.arrange(server);
    server.targets.clear();
    HttpRequest request = server.MakeRequest(kRun);
    request.timeout = std::chrono::milliseconds(300);
    request.incarnationCheck = { 1, std::string(kIdentify), "{}" };
    const HttpResult result = server.Send(std::move(request));
    LONGS_EQUAL_TEXT(static_cast<int>(row.outcome),
                     static_cast<int>(result.end),
                     row.guardsAgainst);
    UNSIGNED_LONGS_EQUAL_TEXT(
      row.targets.size(), server.targets.size(), row.guardsAgainst);
    for (std::size_t i = 0; i < row.targets.size(); ++i) {
      CHECK_TEXT(row.targets[i] == server.targets[i], row.guardsAgainst);
    }
  }
}
