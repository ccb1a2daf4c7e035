// Stand-in for one endpoint of the platform: serves starts, stops and looks,
// and writes a JSON line for each begin and end of a run. A task's payload is
// "MILLISECONDS MILLICORES".

#include "hemlockhaven/core/Time.h"
#include "net/HttpListener.h"
#include "platform/EndpointCommandClient.h"
#include "platform/Protocol.h"
#include "standins/platform/FakeEndpoint.h"

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <memory>
#include <sstream>
#include <string>
#include <unordered_map>
#include <vector>

#include <unistd.h>

namespace {

using namespace hemlockhaven;
using nlohmann::json;
using Testing::FakeEndpoint;

const char* NameOf(RunOutcome aEnd)
{
  switch (aEnd) {
    case RunOutcome::Done:
      return "done";
    case RunOutcome::Failed:
      return "failed";
    case RunOutcome::Stopped:
      return "stopped";
    case RunOutcome::LeaseExpired:
      return "lapsed";
    case RunOutcome::Other:
      break;
  }
  return "broken";
}

//! Decodes the protocol's calls for a FakeEndpoint.
class Server
{
public:
  Server(boost::asio::io_context& aContext,
         std::string aId,
         std::int64_t aBornMs,
         std::int64_t aCpuMillis,
         double aSpeed)
    : id_(std::move(aId))
    , bornMs_(aBornMs)
    , endpoint_(
        { SteadyNow,
          [&aContext](Duration aDelay, std::function<void()> aEvent) {
            auto timer =
              std::make_shared<boost::asio::steady_timer>(aContext, aDelay);
            timer->async_wait(
              [timer, event = std::move(aEvent)](const auto&) { event(); });
          } },
        id_,
        { aCpuMillis, 65536, 0 },
        aSpeed,
        [this](const TaskKey& aTask) { return work_[aTask.workId]; },
        [this](const Testing::RunEvent& aEvent) { Write(aEvent); })
  {
  }

  DisconnectHook Handle(const IncomingRequest& aRequest, ReplyHook aReply)
  {
    const std::string_view meant =
      aRequest.header(Platform::Protocol::kExpectInstanceHeader);
    const json body = json::parse(aRequest.body, nullptr, false);
    if (!meant.empty() && meant != id_) {
      Reply(aReply, 421, json::object());
    } else if (!body.is_object()) {
      Reply(aReply, 400, json::object());
    } else if (aRequest.target == Platform::Protocol::kRunStartPath) {
      Start(body, aReply);
    } else if (aRequest.target == Platform::Protocol::kRunStopPath) {
      StopCommand order;
      order.target.fencingToken = body.at("fencing_token");
      order.run = RunOf(body);
      Reply(aReply, endpoint_.Stop(order).outcome);
    } else if (aRequest.target == Platform::Protocol::kHoldPath) {
      Look(body, std::move(aReply));
    } else {
      Reply(aReply, 404, json::object());
    }
    return nullptr;
  }

private:
  static RunKey RunOf(const json& aBody)
  {
    RunKey run;
    run.task =
      *Platform::Detail::DecodeTask(aBody.at("task").get<std::string>());
    run.run = aBody.at("run");
    return run;
  }

  void Start(const json& aBody, const ReplyHook& aReply)
  {
    StartCommand order;
    order.target.fencingToken = aBody.at("fencing_token");
    order.run = RunOf(aBody);
    order.deadlineClockMs = aBody.at("deadline_ms");
    std::istringstream payload(aBody.at("spec").get<std::string>());
    std::int64_t workMs = 0;
    std::int64_t cpuMillis = 0;
    payload >> workMs >> cpuMillis;
    work_[order.run.task.workId] = std::chrono::milliseconds(workMs);
    Reply(aReply, endpoint_.Start(order, { cpuMillis, 64, 0 }).outcome);
  }

  void Look(const json& aBody, ReplyHook aReply)
  {
    PollCommand order;
    order.target.fencingToken = aBody.at("fencing_token");
    order.ackPosition = aBody.value("ack_position", std::uint64_t{ 0 });
    order.deadlineClockMs = aBody.value("deadline_ms", std::int64_t{ 0 });
    order.wait = std::chrono::milliseconds(aBody.value("wait_ms", 0));
    endpoint_.Look(
      order, [this, reply = std::move(aReply)](const PollResult& aResult) {
        if (aResult.outcome != CommandOutcome::Accepted) {
          Reply(reply, aResult.outcome);
          return;
        }
        json body{ { "born", bornMs_ },
                   { "running", json::array() },
                   { "finished", json::array() } };
        for (const RunKey& run : aResult.report.running) {
          body["running"].push_back(
            { Platform::Detail::EncodeTask(run.task), run.run, "", 0, 0 });
        }
        for (const EndedRun& ended : aResult.report.ended) {
          body["finished"].push_back(
            { ended.position,
              Platform::Detail::EncodeTask(ended.run.task),
              ended.run.run,
              NameOf(ended.outcome),
              "" });
        }
        Reply(reply, 200, std::move(body));
      });
  }

  void Reply(const ReplyHook& aReply, CommandOutcome aOutcome) const
  {
    json body = json::object();
    switch (aOutcome) {
      case CommandOutcome::Fenced:
        body["reason"] = "fence";
        break;
      case CommandOutcome::Superseded:
        body["reason"] = "old";
        break;
      case CommandOutcome::Expired:
        body["reason"] = "late";
        break;
      case CommandOutcome::NoRoom:
        body["reason"] = "room";
        break;
      default:
        break;
    }
    const unsigned status = body.empty() ? 200 : 409;
    Reply(aReply, status, std::move(body));
  }

  void Reply(const ReplyHook& aReply, unsigned aStatus, json aBody) const
  {
    aBody["clock_ms"] = endpoint_.ClockMs();
    OutgoingReply reply;
    reply.status = aStatus;
    reply.body = aBody.dump();
    aReply(std::move(reply));
  }

  //! Unbuffered, so that a killed process has written what began.
  void Write(const Testing::RunEvent& aEvent) const
  {
    json line{ { "atUs", aEvent.at.time_since_epoch().count() },
               { "endpoint", id_ },
               { "task", Platform::Detail::EncodeTask(aEvent.task) },
               { "run", aEvent.run },
               { "event",
                 aEvent.outcome ? NameOf(*aEvent.outcome) : "began" } };
    if (aEvent.leaseEnd) {
      line["leaseEndUs"] = aEvent.leaseEnd->time_since_epoch().count();
    }
    const std::string text = line.dump() + '\n';
    if (::write(STDOUT_FILENO, text.data(), text.size()) < 0) {
      std::_Exit(1); // Without its events the checks would be blind.
    }
  }

  const std::string id_;
  const std::int64_t bornMs_;
  std::unordered_map<std::string, Duration> work_;
  FakeEndpoint endpoint_;
};

}

int main(int aCount, char** aArguments)
{
  std::string address;
  std::uint16_t port = 0;
  std::string id;
  std::int64_t bornMs = WallNowMs();
  std::int64_t cpuMillis = 16000;
  double speed = 1;
  std::size_t count = 0;
  CLI::App app("Stand-in for an endpoint of the platform");
  app.add_option("--address", address, "IP number to listen on")->required();
  app.add_option("--port", port, "TCP port")->required();
  app.add_option("--id", id, "Id of the endpoint")->required();
  app.add_option("--count",
                 count,
                 "Endpoints in this process: ID-0 at the port, ID-1 at the "
                 "next one, and so on; 0: one with this very id");
  app.add_option(
    "--born", bornMs, "Start of this incarnation, Unix ms; now unless given");
  app.add_option("--cpu-millis", cpuMillis, "Capacity in thousandths of cores");
  app.add_option("--speed", speed, "Work done in a second, in seconds");
  CLI11_PARSE(app, aCount, aArguments);

  std::signal(SIGPIPE, SIG_IGN);
  boost::asio::io_context context(1);
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&context](const auto&, int) { context.stop(); });
  std::vector<std::unique_ptr<Server>> servers;
  std::vector<std::unique_ptr<HttpListener>> listeners;
  for (std::size_t i = 0; i < std::max<std::size_t>(1, count); ++i) {
    servers.push_back(
      std::make_unique<Server>(context,
                               count == 0 ? id : id + "-" + std::to_string(i),
                               bornMs,
                               cpuMillis,
                               speed));
    listeners.push_back(std::make_unique<HttpListener>(
      context,
      boost::asio::ip::tcp::endpoint{ boost::asio::ip::make_address(address),
                                      static_cast<std::uint16_t>(port + i) },
      HttpListener::Limits(),
      [&server = *servers.back()](const IncomingRequest& aRequest,
                                  ReplyHook aReply) {
        return server.Handle(aRequest, std::move(aReply));
      }));
  }
  context.run();
  return 0;
}
