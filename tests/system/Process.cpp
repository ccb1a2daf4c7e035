#include "system/Process.h"

#include <csignal>
#include <stdexcept>
#include <vector>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace hemlockhaven::Testing {

namespace {

constexpr mode_t kOutputMode = 0600;

}

Process::Process(std::string_view aProgram,
                 Span<const std::string> aArguments,
                 const std::string& aOutputPath)
{
  std::vector<std::string> texts{ std::string(aProgram) };
  texts.insert(texts.end(), aArguments.begin(), aArguments.end());
  std::vector<char*> pointers;
  pointers.reserve(texts.size() + 1);
  for (std::string& text : texts) {
    pointers.push_back(text.data());
  }
  pointers.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  if (!aOutputPath.empty()) {
    posix_spawn_file_actions_addopen(&actions,
                                     STDOUT_FILENO,
                                     aOutputPath.c_str(),
                                     O_WRONLY | O_CREAT | O_TRUNC,
                                     kOutputMode);
  }
  // Sockets of this process must not live on in the program when they are
  // closed here.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  const int failed = posix_spawn(
    &id_, texts.front().c_str(), &actions, nullptr, pointers.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (failed != 0) {
    throw std::runtime_error("cannot start " + texts.front());
  }
}

Process::~Process()
{
  if (id_ > 0) {
    Signal(SIGKILL);
    Wait();
  }
}

void Process::Signal(int aSignal) const
{
  if (id_ > 0) {
    ::kill(id_, aSignal);
  }
}

int Process::Wait()
{
  if (id_ > 0) {
    int status = 0;
    ::waitpid(id_, &status, 0);
    SetEnded(status);
  }
  return exitCode_;
}

std::optional<int> Process::GetExitCode()
{
  int status = 0;
  if (id_ > 0 && ::waitpid(id_, &status, WNOHANG) == id_) {
    SetEnded(status);
  }
  return id_ > 0 ? std::nullopt : std::optional<int>(exitCode_);
}

void Process::SetEnded(int aStatus)
{
  id_ = -1;
  exitCode_ = WIFEXITED(aStatus) ? WEXITSTATUS(aStatus) : -1;
}

}
