#include "daemon/Daemon.h"
#include "logging/Log.h"
#include "settings/SettingsReader.h"

#include <CLI/CLI.hpp>

#include <csignal>
#include <exception>
#include <iostream>
#include <string>

namespace {

constexpr const char* kVersion = "hemlockhavend 0.1.0";
constexpr int kBadSettings = 2;
constexpr int kCannotStart = 1;

//! Blocks the stop signals in this thread and in all that it starts.
sigset_t BlockStopSignals()
{
  sigset_t stop;
  sigemptyset(&stop);
  sigaddset(&stop, SIGTERM);
  sigaddset(&stop, SIGINT);
  pthread_sigmask(SIG_BLOCK, &stop, nullptr);
  // A peer that closes a connection must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  return stop;
}

int Run(const hemlockhaven::DaemonSettings& aSettings)
{
  const sigset_t stop = BlockStopSignals();
  hemlockhaven::Log::Start(aSettings.logLevel);
  try {
    hemlockhaven::Daemon daemon(aSettings);
    daemon.Start();
    int signal = 0;
    sigwait(&stop, &signal);
    // Further signals stay blocked, so that they do not cut this short.
    daemon.Shutdown();
  } catch (const std::exception& problem) {
    hemlockhaven::Log::Error("start")
      .Field("detail", problem.what())
      .Write("cannot run");
    return kCannotStart;
  }
  return 0;
}

}

int main(int aCount, char** aArguments)
{
  std::string settingsPath;
  bool onlyCheck = false;
  CLI::App app("Dispatcher daemon of hemlockhaven");
  app.add_option("--settings", settingsPath, "File of JSON settings")
    ->required();
  app.add_flag("--check-settings", onlyCheck, "Check the settings and exit");
  app.set_version_flag("--version", kVersion);
  try {
    app.parse(aCount, aArguments);
  } catch (const CLI::ParseError& problem) {
    return app.exit(problem) == 0 ? 0 : kBadSettings;
  }
  const auto result = hemlockhaven::ReadSettingsFile(settingsPath);
  for (const auto& error : result.errors) {
    std::cerr << error.Describe() << '\n';
  }
  if (!result.errors.empty()) {
    return kBadSettings;
  }
  if (onlyCheck) {
    std::cout << "settings are valid\n";
    return 0;
  }
  return Run(result.settings);
}
