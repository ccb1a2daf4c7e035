#ifndef HEMLOCKHAVEN_SRC_CLI_COMMANDS_H
#define HEMLOCKHAVEN_SRC_CLI_COMMANDS_H

#include "cli/Output.h"

#include <optional>
#include <string>
#include <vector>

namespace CLI {
class App;
}

namespace hemlockhaven {

//! What the command line says.
struct CommandOptions
{
  std::string server = "127.0.0.1:7001";    //!< Callers' server.
  std::string operators = "127.0.0.1:7002"; //!< Operators' server.
  bool isJson = false;

  // Submissions.
  std::string caller;
  std::string kind;
  std::string urgency;
  std::string selector;
  std::vector<std::string> labels; //!< "key=value"
  std::optional<std::uint64_t> deadlineMs;
  bool isIdempotent = false;
  std::vector<std::string> payloads;
  std::string file; //!< One payload a line; "-": stdin.
  std::string id;
  bool isRequest = false; //!< The id is that of a request.

  // Operators.
  std::string since;
  std::optional<std::uint64_t> most;
  std::optional<std::uint64_t> base;
  bool takeBack = false;
};

//! The commands of the tool; each prints its result and returns the exit code.
class Commands
{
public:
  explicit Commands(const CommandOptions& aOptions);

  ExitCode Request() const;
  ExitCode Job() const;
  ExitCode Wait() const;
  ExitCode Cancel() const;
  ExitCode Status() const;
  ExitCode Where() const;
  ExitCode GetConfiguration() const;
  ExitCode CheckConfiguration() const;
  ExitCode DiffConfiguration() const;
  ExitCode PublishConfiguration() const;
  ExitCode Drain() const;
  ExitCode ShowCounters() const;

private:
  Result<nlohmann::json> SpecOf() const;
  Result<std::vector<std::string>> Payloads() const;
  ExitCode Submit(const char* aPlural, const nlohmann::json& aBody) const;
  void ShowProgress(const nlohmann::json& aBody) const;
  const char* Plural() const
  {
    return options_.isRequest ? "requests" : "jobs";
  }

  const CommandOptions& options_;
  DaemonClient callers_;
  DaemonClient operators_;
  Output output_;
};

}

#endif
