#ifndef HEMLOCKHAVEN_TESTS_SYSTEM_LONEDAEMON_H
#define HEMLOCKHAVEN_TESTS_SYSTEM_LONEDAEMON_H

#include "system/Process.h"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace hemlockhaven::Testing {

//! "127.0.0.1:port"
std::string LoopbackAddress(std::uint16_t aPort);

//! A daemon without endpoints and peers, started as a process.
class LoneDaemon
{
public:
  //! Waits until the daemon answers on the listener for checks.
  LoneDaemon(const char* aProgram,
             std::uint16_t aCallers,
             std::uint16_t aChecks,
             const nlohmann::json& aSettings);
  ~LoneDaemon();
  LoneDaemon(const LoneDaemon&) = delete;
  LoneDaemon& operator=(const LoneDaemon&) = delete;

  //! Sends a request without a body and returns the status of the reply, as
  //! StatusIn does.
  static int Ask(std::uint16_t aPort,
                 std::string_view aMethod,
                 std::string_view aTarget);

  bool IsAlive() { return !process_->GetExitCode().has_value(); }

  //! Highest resident memory since the start, in KiB.
  std::size_t PeakKiB() const;

  //! Waits until the process has used no processor time for a while, so that
  //! it has handled what was sent to it.
  void WaitUntilIdle() const;

  std::size_t Descriptors() const;

  const std::uint16_t callers;
  const std::uint16_t checks; //!< Of the balancer or the operators.

private:
  std::string ProcPath() const;
  //! The fields utime and stime.
  std::string ProcessorTime() const;

  std::string folder_;
  std::unique_ptr<Process> process_;
};

}

#endif
