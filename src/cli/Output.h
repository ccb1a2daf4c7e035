#ifndef HEMLOCKHAVEN_SRC_CLI_OUTPUT_H
#define HEMLOCKHAVEN_SRC_CLI_OUTPUT_H

#include "cli/DaemonClient.h"

#include <functional>
#include <string_view>

namespace hemlockhaven {

//! Exit codes of the tool; the operators' page lists them.
enum class ExitCode
{
  Done = 0,
  Failed = 1,       //!< The work ran and failed.
  Usage = 2,        //!< Wrong use or a malformed request.
  NotRun = 3,       //!< Refused: nothing ran.
  Unknown = 4,      //!< The work may have run.
  NotReachable = 5, //!< No daemon answers; nothing was submitted.
};

//! The exit code of an error.
ExitCode ExitCodeOf(const Error& aError);

//! Prints results and errors, for people or as JSON.
class Output
{
public:
  explicit Output(bool aIsJson)
    : isJson_(aIsJson)
  {
  }

  //! Prints a reply and returns the exit code. aShow prints the body of a
  //! successful reply for people.
  ExitCode Show(const Result<DaemonReply>& aReply,
                const std::function<void(const nlohmann::json&)>& aShow) const;

  //! Prints an error.
  ExitCode Show(const Error& aError) const;

  bool IsJson() const { return isJson_; }

private:
  bool isJson_;
};

void ShowAnswer(const nlohmann::json& aBody);
void ShowStatus(const nlohmann::json& aBody);
void ShowWhere(const nlohmann::json& aBody);
void ShowJson(const nlohmann::json& aBody);

}

#endif
