// The manifest grows by many routes, and all processes are killed right after.
// Checks the share of later requests that is served, over links of 2 Mbit/s.
#include "World.hpp"

#include <csignal>
#include <cstdlib>

using namespace review;

namespace {

constexpr std::size_t kDaemons = 6;
constexpr int kWorkers = 120;
constexpr double kLinkMbps = 2;
//! The manifest then has somewhat less than 262,144 bytes (record_bytes).
constexpr int kManyRoutes = 1326;
constexpr std::int64_t kIntervalMs = 50;
constexpr std::int64_t kTimeBudgetMs = 1500;
constexpr std::int64_t kResendMs = 1300; // retransmit_ms
constexpr int kMaxTries = 3;
constexpr std::int64_t kGrowAtMs = 6000;  // After the start of traffic.
constexpr std::int64_t kFaultAtMs = 9000; // After the start of traffic.
constexpr std::int64_t kDownMs = 1400;
constexpr std::int64_t kRecoveryMs = 15000; // recovery_s
constexpr std::int64_t kWatchMs = 25000;

struct Count
{
  int sent = 0;
  int served = 0;
};

class Case
{
public:
  explicit Case(const std::string& aFolder)
    : world_(aFolder, kDaemons, false)
  {
    for (int i = 0; i < kWorkers; ++i) {
      Worker& worker =
        world_.AddWorker("worker-" + std::to_string(i + 1),
                         world_.Daemons()[static_cast<std::size_t>(i % 3)].zone,
                         "a",
                         16000);
      world_.After(i * 12, [&worker] { worker.KeepRegistering(); });
    }
    world_.LimitLinks(kLinkMbps);
  }

  int Run()
  {
    world_.StartDaemons();
    world_.WhenReady([this] {
      world_.After(2000, [this] { SendNext(); });
      if (IsTrouble()) {
        world_.After(2000 + kGrowAtMs,
                     [this] { world_.PutManifest(8, kManyRoutes); });
      }
      world_.After(2000 + kFaultAtMs, [this] { FinalFault(); });
    });
    return world_.Run();
  }

private:
  Count& CurrentSpan()
  {
    if (!faulted_) {
      return before_;
    }
    const bool isRecovered = backAt_ >= 0 && NowMs() > backAt_ + kRecoveryMs;
    return isRecovered ? recovered_ : between_;
  }

  void SendNext()
  {
    const json job{ { "spec", "200 5000" },
                    { "best_effort", true },
                    { "steps",
                      { { { "count", 2 },
                          { "cpu", 5000 },
                          { "mem_mb", 64 },
                          { "estimate_ms", 200 } } } } };
    Count& span = CurrentSpan();
    ++span.sent;
    Submit(world_.prefix + JobId(sent_),
           job.dump(),
           static_cast<std::size_t>(std::rand()) % kDaemons,
           1,
           span);
    ++sent_;
    if (!stopped_) {
      world_.After(kIntervalMs, [this] { SendNext(); });
    }
  }

  void Submit(const std::string& aPath,
              const std::string& aBody,
              std::size_t aDaemon,
              int aTry,
              Count& aSpan)
  {
    world_.Send(
      world_.Daemons()[aDaemon],
      "POST",
      aPath,
      aBody,
      kTimeBudgetMs,
      [this, aPath, aBody, aDaemon, aTry, &aSpan](const Answer& aAnswer) {
        aSpan.served += aAnswer.status == 200 ? 1 : 0;
        const bool isFinal = aAnswer.status == 200 || aAnswer.status == 429 ||
                             aAnswer.status == 503;
        if (!isFinal && aTry < kMaxTries) {
          world_.After(kResendMs, [this, aPath, aBody, aDaemon, aTry, &aSpan] {
            Submit(aPath, aBody, (aDaemon + 1) % kDaemons, aTry + 1, aSpan);
          });
        }
      });
  }

  void FinalFault()
  {
    faulted_ = true;
    for (DaemonProcess& daemon : world_.Daemons()) {
      world_.Kill(daemon, SIGKILL);
    }
    world_.After(kDownMs, [this] {
      world_.StartDaemons();
      backAt_ = NowMs();
      world_.After(kRecoveryMs + kWatchMs, [this] { stopped_ = true; });
      world_.After(kRecoveryMs + kWatchMs + 7000, [this] { Judge(); });
    });
  }

  void Judge()
  {
    const std::string text =
      "served before the final fault: " + std::to_string(before_.served) +
      " of " + std::to_string(before_.sent) +
      "; of those sent over 15 s after the machines were back: " +
      std::to_string(recovered_.served) + " of " +
      std::to_string(recovered_.sent);
    if (before_.sent == 0 || 4 * before_.served < before_.sent) {
      world_.Finish(2, text);
    } else {
      world_.Finish(4 * recovered_.served < recovered_.sent ? 1 : 0, text);
    }
  }

  World world_;
  Count before_;
  Count between_;
  Count recovered_;
  int sent_ = 0;
  std::int64_t backAt_ = -1;
  bool faulted_ = false;
  bool stopped_ = false;
};

}

int main(int aCount, char** aArguments)
{
  return Case(aCount > 1 ? aArguments[1] : ".").Run();
}
