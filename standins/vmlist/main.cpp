// Stand-in for the platform's VM list: serves a JSON file, which is read again
// for each request, as it was --lag-ms ago. POST /control {"outage": bool}.

#include "http/HttpServer.h"

#include <CLI/CLI.hpp>

#include <chrono>
#include <csignal>
#include <cstdint>
#include <deque>
#include <fstream>
#include <mutex>
#include <string>
#include <utility>

namespace {

using hemlockhaven::HttpReply;
using nlohmann::json;
using SteadyClock = std::chrono::steady_clock;

//! The list with its lag and outages. Thread-safe.
class VmFile
{
public:
  VmFile(std::string aPath, std::chrono::milliseconds aLag)
    : path_(std::move(aPath))
    , lag_(aLag)
  {
  }

  HttpReply Handle(const hemlockhaven::HttpRequestView& aRequest)
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    try {
      if (aRequest.path == "/control") {
        outage_ = json::parse(aRequest.body).value("outage", outage_);
        return { 200, { { "outage", outage_ } } };
      }
      if (outage_) {
        return { 503, { { "error", "outage" } } };
      }
      if (aRequest.path != "/vms") {
        return { 404, { { "error", "no such path" } } };
      }
      return { 200, Lagging() };
    } catch (const std::exception& error) {
      return { 500, { { "error", error.what() } } };
    }
  }

private:
  //! The newest version that was seen at least the lag ago, or the oldest.
  const json& Lagging()
  {
    const auto now = SteadyClock::now();
    std::ifstream file(path_);
    json current = json::parse(file);
    if (seen_.empty() || seen_.back().second != current) {
      seen_.emplace_back(now, std::move(current));
    }
    while (seen_.size() > 1 && seen_[1].first + lag_ <= now) {
      seen_.pop_front();
    }
    return seen_.front().second;
  }

  const std::string path_;
  const std::chrono::milliseconds lag_;
  std::mutex mutex_; //!< Guards all members below.
  bool outage_ = false;
  std::deque<std::pair<SteadyClock::time_point, json>> seen_;
};

}

int main(int aCount, char** aArguments)
{
  hemlockhaven::HttpServer::Options options;
  std::string path;
  int lagMs = 0;
  CLI::App app("Stand-in for the platform's VM list");
  app.add_option("--address", options.address, "IP number to listen on");
  app.add_option("--port", options.port, "TCP port")->required();
  app.add_option("--file", path, "JSON list of VMs")->required();
  app.add_option("--lag-ms", lagMs, "How late changes are seen");
  CLI11_PARSE(app, aCount, aArguments);

  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);

  VmFile vms(path, std::chrono::milliseconds(lagMs));
  const hemlockhaven::HttpServer server(
    options, [&vms](const hemlockhaven::HttpRequestView& aRequest) {
      return vms.Handle(aRequest);
    });
  int signal = 0;
  sigwait(&signals, &signal);
  return 0;
}
