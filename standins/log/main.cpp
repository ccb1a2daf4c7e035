// Stand-in for the platform's append-only log.

#include "http/HttpServer.h"
#include "standins/log/LogStore.h"

#include <CLI/CLI.hpp>

#include <csignal>
#include <cstdint>
#include <string>

int main(int aCount, char** aArguments)
{
  hemlockhaven::HttpServer::Options options;
  int appendMs = 3;
  std::size_t mostRecords = 1000000;
  CLI::App app("Stand-in for the platform's log");
  app.add_option("--address", options.address, "IP number to listen on");
  app.add_option("--port", options.port, "TCP port")->required();
  app.add_option("--append-ms", appendMs, "Time of an append");
  app.add_option("--retain-records", mostRecords, "Records that are kept");
  CLI11_PARSE(app, aCount, aArguments);

  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);

  hemlockhaven::LogStore store(std::chrono::milliseconds(appendMs),
                               mostRecords);
  const hemlockhaven::HttpServer server(
    options, [&store](const hemlockhaven::HttpRequestView& aRequest) {
      return store.Handle(aRequest);
    });
  int signal = 0;
  sigwait(&signals, &signal);
  return 0;
}
