#include "system/LoneDaemon.h"

#include "http/RawSocket.h"
#include "system/TestFleet.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <vector>

namespace hemlockhaven::Testing {

namespace {

std::string ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  return { std::istreambuf_iterator<char>(file), {} };
}

}

std::string LoopbackAddress(std::uint16_t aPort)
{
  return "127.0.0.1:" + std::to_string(aPort);
}

LoneDaemon::LoneDaemon(const char* aProgram,
                       std::uint16_t aCallers,
                       std::uint16_t aChecks,
                       const nlohmann::json& aSettings)
  : callers(aCallers)
  , checks(aChecks)
{
  std::string pattern =
    (std::filesystem::temp_directory_path() / "hemlockhaven-XXXXXX").string();
  if (::mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("cannot make a temporary folder");
  }
  folder_ = pattern;
  const std::string path = folder_ + "/settings.json";
  std::ofstream(path) << aSettings.dump();
  const std::vector<std::string> arguments{ "--settings", path };
  process_ =
    std::make_unique<Process>(aProgram, arguments, folder_ + "/daemon.out");
  if (!WaitUntil([this] { return Ask(checks, "GET", "/readyz") > 0; })) {
    throw std::runtime_error("the daemon does not answer");
  }
}

LoneDaemon::~LoneDaemon()
{
  process_.reset();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

int LoneDaemon::Ask(std::uint16_t aPort,
                    std::string_view aMethod,
                    std::string_view aTarget)
{
  const RawSocket socket(aPort);
  socket.Send(RequestText(aMethod, aTarget));
  return StatusIn(socket.ReadReply());
}

std::size_t LoneDaemon::PeakKiB() const
{
  const std::string status = ReadFile(ProcPath() + "/status");
  const std::string key = "VmHWM:";
  const std::size_t at = status.find(key);
  return at == std::string::npos ? 0
                                 : std::stoul(status.substr(at + key.size()));
}

void LoneDaemon::WaitUntilIdle() const
{
  constexpr int kChecks = 200;
  constexpr int kIdleChecks = 5;
  int idle = 0;
  std::string last;
  for (int i = 0; i < kChecks && idle < kIdleChecks; ++i) {
    const std::string used = ProcessorTime();
    idle = used == last ? idle + 1 : 0;
    last = used;
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
}

std::size_t LoneDaemon::Descriptors() const
{
  return static_cast<std::size_t>(
    std::distance(std::filesystem::directory_iterator(ProcPath() + "/fd"), {}));
}

std::string LoneDaemon::ProcPath() const
{
  return "/proc/" + std::to_string(process_->Id());
}

std::string LoneDaemon::ProcessorTime() const
{
  constexpr int kUserTimeField = 14;
  std::istringstream fields(ReadFile(ProcPath() + "/stat"));
  std::string user;
  for (int i = 0; i < kUserTimeField; ++i) {
    fields >> user;
  }
  std::string system;
  fields >> system;
  return user + " " + system;
}

}
