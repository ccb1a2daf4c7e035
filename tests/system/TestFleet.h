#ifndef HEMLOCKHAVEN_TESTS_SYSTEM_TESTFLEET_H
#define HEMLOCKHAVEN_TESTS_SYSTEM_TESTFLEET_H

#include "system/Process.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockhaven::Testing {

//! Free ports that differ from each other.
class PortPicker
{
public:
  std::uint16_t Pick();

private:
  std::set<std::uint16_t> picked_;
};

//! A reply over HTTP. Status 0: the connection closed without a whole reply;
//! -1: neither a whole reply nor an end came.
struct FleetReply
{
  int status = 0;
  nlohmann::json body;

  //! Member of the body's error, or "".
  std::string ErrorText(const char* aMember) const;
  bool HasRetry() const;
};

//! Waits until the condition holds; false after a generous limit.
bool WaitUntil(const std::function<bool()>& aCondition);

//! What a run of the command-line tool left.
struct ToolRun
{
  std::optional<int> exitCode; //!< None: it did not end.
  std::string output;
};

//! Real processes on loopback: endpoints, the platform's stand-ins and daemons,
//! one daemon and one endpoint in each availability zone. All are killed by
//! their ids when the object ends.
class TestFleet
{
public:
  //! Starts all and waits until each daemon is ready and sees the others live.
  explicit TestFleet(std::size_t aDaemons, int aSlots = 8);
  ~TestFleet();
  TestFleet(const TestFleet&) = delete;
  TestFleet& operator=(const TestFleet&) = delete;

  std::size_t Size() const { return daemons_.size(); }
  FleetReply Callers(std::size_t aDaemon,
                     std::string_view aMethod,
                     std::string_view aTarget,
                     const nlohmann::json& aBody = {}) const;
  FleetReply Operators(std::size_t aDaemon,
                       std::string_view aMethod,
                       std::string_view aTarget,
                       const nlohmann::json& aBody = {}) const;
  //! Sends to the log stand-in's control route.
  void ControlLog(const nlohmann::json& aBody) const;

  //! Whether a record of the log has the text.
  bool LogContains(std::string_view aText) const;
  //! Runs the command-line tool against one daemon.
  ToolRun RunTool(std::size_t aDaemon,
                  Span<const std::string> aArguments) const;

  //! One unused id of the daemon.
  std::string ReserveId(std::size_t aDaemon) const;

  void Signal(std::size_t aDaemon, int aSignal) const;
  //! The daemon's exit code; nothing if it does not end within the limit of
  //! WaitUntil.
  std::optional<int> WaitForEnd(std::size_t aDaemon) const;
  //! Kills what is left of the daemon and starts a new incarnation.
  void Restart(std::size_t aDaemon);
  bool IsReady(std::size_t aDaemon) const;
  //! Whether the daemon is ready and lists all others as live.
  bool SeesAll(std::size_t aDaemon) const;

  //! Starts of a payload tag over all endpoints.
  int Starts(std::string_view aTag) const;
  int StartsAt(std::size_t aEndpoint, std::string_view aTag) const;
  //! Starts of all payloads at the endpoint.
  int AllStartsAt(std::size_t aEndpoint) const;
  //! Whether a task of each tag has started.
  bool HaveStarted(Span<const std::string> aTags) const;
  //! Changes an endpoint's state in the VM list, "live" or "leaving".
  void SetEndpointState(std::size_t aEndpoint, std::string_view aState);

private:
  struct Daemon
  {
    std::uint16_t callers = 0;
    std::uint16_t operators = 0;
    std::uint16_t peers = 0;
    std::unique_ptr<Process> process;
  };

  void WriteVmList() const;
  void WriteSettings(std::size_t aDaemon) const;
  void Start(std::size_t aDaemon);

  std::string folder_;
  std::uint16_t log_ = 0;
  std::uint16_t vmList_ = 0;
  std::vector<std::uint16_t> endpoints_;
  std::vector<std::string> endpointStates_;
  int slots_;
  std::vector<Daemon> daemons_;
  std::vector<std::unique_ptr<Process>> standIns_;
};

//! A payload for the stand-in endpoint, which counts starts by tag.
std::string TaggedPayload(int aMilliseconds, std::string_view aTag);

//! The tags stem-1, stem-2 and so on.
std::vector<std::string> NumberedTags(const std::string& aStem, int aCount);

//! A request of one task.
nlohmann::json TaggedRequest(int aMilliseconds, std::string_view aTag);

//! A job of one task for each tag.
nlohmann::json TaggedJob(int aMilliseconds, Span<const std::string> aTags);

}

#endif
