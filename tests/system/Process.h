#ifndef HEMLOCKHAVEN_TESTS_SYSTEM_PROCESS_H
#define HEMLOCKHAVEN_TESTS_SYSTEM_PROCESS_H

#include "hemlockhaven/core/Span.h"

#include <optional>
#include <string>
#include <string_view>

#include <sys/types.h>

namespace hemlockhaven::Testing {

//! A program started by a test. It is killed when the object ends.
class Process
{
public:
  //! With a path, the program's stdout goes to that file.
  Process(std::string_view aProgram,
          Span<const std::string> aArguments,
          const std::string& aOutputPath = {});
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  //! The process id; -1 once the end was waited for.
  pid_t Id() const { return id_; }

  //! Sends a signal, for example SIGKILL, SIGSTOP or SIGTERM.
  void Signal(int aSignal) const;

  //! Waits for the end and returns the exit code, or -1 after a signal.
  int Wait();

  //! The exit code as from Wait if the program has ended, else nothing.
  std::optional<int> GetExitCode();

private:
  void SetEnded(int aStatus);

  pid_t id_ = -1; //!< -1 once it was waited for.
  int exitCode_ = -1;
};

}

#endif
