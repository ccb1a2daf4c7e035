// Kills the leading daemon, and cuts off a sixth of the workers 150 ms later,
// round after round. Checks that no task runs on two workers at once.
#include "World.hpp"

#include <csignal>
#include <cstdlib>

using namespace review;

namespace {

constexpr std::size_t kDaemons = 3;
constexpr int kWorkers = 48;
constexpr int kCutWorkers = 8; // A share of 0.17 of 48.
constexpr std::int64_t kCutDelayMs = 150;
constexpr std::int64_t kCutMs = 1500;
constexpr std::int64_t kRestartMs = 600;
constexpr std::int64_t kRoundMs = 4700;
constexpr std::int64_t kTrafficMs = 92000;
constexpr std::int64_t kIntervalMs = 11;
constexpr std::int64_t kTimeBudgetMs = 1500;
constexpr std::int64_t kResendMs = 1300; // retransmit_ms
constexpr int kMaxTries = 3;

class Case
{
public:
  explicit Case(const std::string& aFolder)
    : world_(aFolder, kDaemons, false)
  {
    for (int i = 0; i < kWorkers; ++i) {
      world_.AddWorker("worker-" + std::to_string(i + 1),
                       world_.Daemons()[static_cast<std::size_t>(i % 3)].zone,
                       "a",
                       16000);
    }
    world_.onBegin = [this](const std::string& aTask,
                            const Worker&,
                            const std::string&) { CheckTwice(aTask); };
  }

  int Run()
  {
    world_.StartDaemons();
    world_.WhenReady([this] {
      world_.After(1500, [this] { SendNext(); });
      if (IsTrouble()) {
        world_.After(6000, [this] { BeginRound(); });
      }
      world_.After(kTrafficMs + 6000, [this] { Judge(); });
    });
    return world_.Run();
  }

private:
  void CheckTwice(const std::string& aTask)
  {
    const auto& workers = world_.running[aTask];
    if (workers.size() < 2) {
      return;
    }
    ++doubleRuns_;
    std::string text = "TWICE: " + aTask + " runs on";
    for (const std::string& worker : workers) {
      text += " " + worker;
    }
    world_.Record(text);
  }

  void SendNext()
  {
    const json job{ { "spec", "900 6800" },
                    { "best_effort", true },
                    { "steps",
                      { { { "count", 1 },
                          { "cpu", 6800 },
                          { "mem_mb", 64 },
                          { "estimate_ms", 900 } } } } };
    Submit(world_.prefix + JobId(sent_), job.dump(), NextDaemon(), 1);
    ++sent_;
    if (NowMs() < kTrafficMs) {
      world_.After(kIntervalMs, [this] { SendNext(); });
    }
  }

  static std::size_t NextDaemon()
  {
    return static_cast<std::size_t>(std::rand()) % kDaemons; // Repeatable.
  }

  void Submit(const std::string& aPath,
              const std::string& aBody,
              std::size_t aDaemon,
              int aTry)
  {
    world_.Send(
      world_.Daemons()[aDaemon],
      "POST",
      aPath,
      aBody,
      kTimeBudgetMs,
      [this, aPath, aBody, aDaemon, aTry](const Answer& aAnswer) {
        completed_ += aAnswer.status == 200 ? 1 : 0;
        const bool isFinal = aAnswer.status == 200 || aAnswer.status == 429 ||
                             aAnswer.status == 503;
        if (!isFinal && aTry < kMaxTries) {
          world_.After(kResendMs, [this, aPath, aBody, aDaemon, aTry] {
            Submit(aPath, aBody, (aDaemon + 1) % kDaemons, aTry + 1);
          });
        }
      });
  }

  void BeginRound()
  {
    if (NowMs() > kTrafficMs - 5000) {
      return;
    }
    for (DaemonProcess& daemon : world_.Daemons()) {
      world_.AskLeading(daemon, [this, &daemon](bool aLeads) {
        if (aLeads && daemon.pid != 0) {
          Disturb(daemon);
        }
      });
    }
    world_.After(kRoundMs, [this] { BeginRound(); });
  }

  void Disturb(DaemonProcess& aLeader)
  {
    ++rounds_;
    world_.Kill(aLeader, SIGKILL);
    world_.After(kRestartMs, [this, &aLeader] { world_.StartDaemon(aLeader); });
    const int first = rounds_ * kCutWorkers % kWorkers;
    world_.After(kCutDelayMs, [this, first] { SetCut(first, true); });
    world_.After(kCutDelayMs + kCutMs, [this, first] { SetCut(first, false); });
  }

  void SetCut(int aFirst, bool aCut)
  {
    for (int i = aFirst; i < aFirst + kCutWorkers; ++i) {
      world_.Workers()[static_cast<std::size_t>(i)]->SetCut(aCut);
    }
  }

  void Judge()
  {
    const std::string text = std::to_string(rounds_) + " rounds, " +
                             std::to_string(completed_) + " of " +
                             std::to_string(sent_) +
                             " jobs completed, tasks that ran twice " +
                             "at the same time: " + std::to_string(doubleRuns_);
    if (2 * completed_ < sent_) {
      world_.Finish(2, text);
    } else {
      world_.Finish(doubleRuns_ > 0 ? 1 : 0, text);
    }
  }

  World world_;
  int sent_ = 0;
  int completed_ = 0;
  int rounds_ = 0;
  int doubleRuns_ = 0;
};

}

int main(int aCount, char** aArguments)
{
  return Case(aCount > 1 ? aArguments[1] : ".").Run();
}
