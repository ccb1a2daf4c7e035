// Load for two platform daemons on loopback, to profile the one that leads:
// this process is the store and the callers; the daemons and the stand-in
// endpoints are started beside it (docs/design/leader-cost.md). It writes the
// daemons' settings and prints what the callers got and the leader's processor
// time for each task.
#include "hemlockhaven/fleet/Dice.h"
#include "net/HttpClient.h"
#include "platform/Protocol.h"
#include "soak/StoreStandIn.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <map>
#include <string>

#include <unistd.h>

using namespace hemlockhaven;
using nlohmann::json;

namespace {

struct Kind
{
  const char* name;
  double jobsPerSecond;
  double tasks;
  double runTimeMs;
};

//! As in bench/leader.
constexpr std::array<Kind, 3> kKinds{ { { "short-wide", 206, 8, 60 },
                                        { "long", 37.5, 4, 900 },
                                        { "short-narrow", 600, 2, 200 } } };
constexpr double kSigma = 0.4;
constexpr std::int64_t kCpuMillis = 6800;
constexpr std::uint16_t kStorePort = 21000;
constexpr std::uint16_t kEndpointPort = 22000;

HttpClient::Limits ClientLimits()
{
  HttpClient::Limits limits;
  limits.maxConnectionsPerServer = 1000;
  return limits;
}

//! Processor time of a process, user and system, in seconds.
double ProcessSeconds(const std::string& aPid)
{
  std::ifstream file("/proc/" + aPid + "/stat");
  std::string text;
  std::getline(file, text);
  const std::size_t end = text.rfind(')');
  if (end == std::string::npos) {
    return 0;
  }
  std::array<char, 64> state{};
  unsigned long user = 0;
  unsigned long system = 0;
  std::sscanf(text.c_str() + end + 2,
              "%63s %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu",
              state.data(),
              &user,
              &system);
  return static_cast<double>(user + system) /
         static_cast<double>(sysconf(_SC_CLK_TCK));
}

class Load
{
public:
  Load(boost::asio::io_context& aContext,
       std::size_t aEndpoints,
       double aLoad,
       double aSeconds,
       std::string aLeaderPid)
    : context_(aContext)
    , store_(aContext,
             { boost::asio::ip::make_address("127.0.0.1"), kStorePort })
    , http_(aContext, ClientLimits())
    , load_(aLoad)
    , seconds_(aSeconds)
    , leaderPid_(std::move(aLeaderPid))
    , timer_(aContext)
  {
    for (std::size_t i = 0; i < aEndpoints; ++i) {
      const json record{
        { "service", "work" },
        { "zone", "z" },
        { "state", "ready" },
        { "capacity",
          { { "cpu", 16000 }, { "mem_mb", 65536 }, { "gpus", 0 } } },
        { "labels", json::array({ "rack-" + std::to_string(i / 20) }) },
        { "born", 0 },
        { "address", "127.0.0.1:" + std::to_string(kEndpointPort + i) },
      };
      store_.Put(Platform::Protocol::kEndpointTopic,
                 "e-" + std::to_string(i),
                 record.dump());
    }
    json routes = json::array();
    for (const Kind& kind : kKinds) {
      routes.push_back({ { "name", kind.name },
                         { "host", "127.0.0.1" },
                         { "path_prefix", std::string("/") + kind.name + "/" },
                         { "service", "work" },
                         { "target_latency_ms", 60 },
                         { "stretch", 1.6 },
                         { "attempts", 3 },
                         { "priority", 0 } });
    }
    store_.Put(Platform::Protocol::kOperatorTopic,
               Platform::Protocol::kConfigurationKey,
               json{ { "version", 1 }, { "routes", routes } }.dump());
  }

  void Run()
  {
    constexpr std::chrono::seconds kSettle{ 4 };
    timer_.expires_after(kSettle);
    timer_.async_wait([this](const auto&) {
      begin_ = SteadyNow();
      beginCpu_ = ProcessSeconds(leaderPid_);
      Arrive();
    });
    context_.run();
  }

private:
  double DrawLogNormal(double aMean)
  {
    const double angle = 6.283185307179586 * dice_.NextShare();
    const double normal =
      std::sqrt(-2 * std::log(1 - dice_.NextShare())) * std::cos(angle);
    return aMean * std::exp(kSigma * normal - kSigma * kSigma / 2);
  }

  //! Sends the jobs that are due by now.
  void Arrive()
  {
    const double now =
      std::chrono::duration<double>(SteadyNow() - begin_).count();
    if (now >= seconds_) {
      Finish();
      return;
    }
    double rate = 0;
    for (const Kind& kind : kKinds) {
      rate += kind.jobsPerSecond * load_;
    }
    while (nextAt_ < now) {
      nextAt_ += -std::log(1 - dice_.NextShare()) / rate;
      Send();
    }
    timer_.expires_after(std::chrono::milliseconds(1));
    timer_.async_wait([this](const auto&) { Arrive(); });
  }

  void Send()
  {
    double sum = 0;
    for (const Kind& kind : kKinds) {
      sum += kind.jobsPerSecond;
    }
    double pick = dice_.NextShare() * sum;
    const Kind* chosen = &kKinds.back();
    for (const Kind& kind : kKinds) {
      pick -= kind.jobsPerSecond;
      if (pick < 0) {
        chosen = &kind;
        break;
      }
    }
    const auto tasks = static_cast<std::int64_t>(
      std::max(1.0, std::round(DrawLogNormal(chosen->tasks))));
    const auto runTimeMs =
      static_cast<std::int64_t>(DrawLogNormal(chosen->runTimeMs)) + 1;
    std::array<char, 17> id{};
    std::snprintf(id.data(),
                  id.size(),
                  "%016llx",
                  static_cast<unsigned long long>(dice_.Next()));
    HttpRequest call;
    call.address = "127.0.0.1:21101";
    call.method = "POST";
    call.target = std::string("/") + chosen->name + "/" + id.data();
    call.headers.emplace_back(Platform::Protocol::kDeadlineHeader, "1500");
    call.timeout = std::chrono::seconds(3);
    call.body = json{
      { "spec", std::to_string(runTimeMs) + " " + std::to_string(kCpuMillis) },
      { "best_effort", true },
      { "steps",
        { { { "count", tasks },
            { "cpu", kCpuMillis },
            { "mem_mb", 64 },
            { "estimate_ms", runTimeMs } } } }
    }.dump();
    ++jobs_;
    http_.Send(std::move(call), [this, tasks](const HttpResult& aResult) {
      ++statuses_[aResult.end == HttpOutcome::Answered ? aResult.status : 0];
      if (aResult.status == 200) {
        tasks_ += tasks;
      } else if (aResult.body.size() > 2) {
        ++reasons_[aResult.body];
      }
    });
  }

  void Finish()
  {
    const double cpu = ProcessSeconds(leaderPid_) - beginCpu_;
    std::printf("jobs/s %.0f, tasks completed/s %.0f, leader %.3f cores, %.1f "
                "us/task\n",
                static_cast<double>(jobs_) / seconds_,
                static_cast<double>(tasks_) / seconds_,
                cpu / seconds_,
                cpu * 1e6 /
                  static_cast<double>(std::max<std::int64_t>(1, tasks_)));
    for (const auto& [status, count] : statuses_) {
      std::printf("status %u: %zu\n", status, count);
    }
    for (const auto& [reason, count] : reasons_) {
      std::printf("%zu: %s\n", count, reason.c_str());
    }
    context_.stop();
  }

  boost::asio::io_context& context_;
  Soak::StoreStandIn store_;
  HttpClient http_;
  const double load_;
  const double seconds_;
  const std::string leaderPid_;
  boost::asio::steady_timer timer_;
  Dice dice_{ 1 };
  TimePoint begin_{};
  double beginCpu_ = 0;
  double nextAt_ = 0;
  std::size_t jobs_ = 0;
  std::int64_t tasks_ = 0; //!< Of completed jobs.
  std::map<unsigned, std::size_t> statuses_;
  std::map<std::string, std::size_t> reasons_;
};

//! Settings of daemon 0, which leads for its cores, or daemon 1, which callers
//! use.
void WriteSettings(std::size_t aDaemon, const std::string& aFile)
{
  const auto port = [](std::size_t aNumber, std::size_t aOffset) {
    return 21100 + aOffset * 10 + aNumber;
  };
  const auto address = [&](std::size_t aNumber, std::size_t aOffset) {
    return "127.0.0.1:" + std::to_string(port(aNumber, aOffset));
  };
  const json settings{
    { "name", "daemon-" + std::to_string(aDaemon) },
    { "zone", "z" },
    { "ip", "127.0.0." + std::to_string(1 + aDaemon) },
    { "listenIp", "127.0.0." + std::to_string(1 + aDaemon) },
    { "cores", aDaemon == 0 ? 1.0 : 0.2 },
    { "callers", address(aDaemon, 0) },
    { "readiness", address(aDaemon, 1) },
    { "linkPort", 21150 },
    { "seeds",
      json::array({ "127.0.0." + std::to_string(2 - aDaemon) + ":21150" }) },
    { "log", "127.0.0.1:" + std::to_string(kStorePort) },
    { "endpointLeaseMs", 1000 },
    { "stopGraceS", 6 },
    { "metricsPort", port(aDaemon, 6) },
    { "logLevel", "info" },
  };
  std::ofstream(aFile) << settings.dump(1);
}

}

// Arguments: "settings" FOLDER, or LEADER-PID SECONDS LOAD ENDPOINTS.
int main(int aCount, char** aArguments)
{
  if (aCount == 3 && std::string(aArguments[1]) == "settings") {
    for (std::size_t daemon = 0; daemon < 2; ++daemon) {
      WriteSettings(daemon,
                    std::string(aArguments[2]) + "/daemon-" +
                      std::to_string(daemon) + ".json");
    }
    return 0;
  }
  if (aCount != 5) {
    std::fprintf(stderr,
                 "arguments: \"settings\" FOLDER, or LEADER-PID SECONDS LOAD "
                 "ENDPOINTS\n");
    return 2;
  }
  boost::asio::io_context context(1);
  Load load(context,
            std::strtoul(aArguments[4], nullptr, 10),
            std::atof(aArguments[3]),
            std::atof(aArguments[2]),
            aArguments[1]);
  load.Run();
}
