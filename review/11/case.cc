// RECOVER: another program writes three large entries that are no workers to
// the topic of the workers, while all processes are killed and started again.
// The cost of reading an entry grows with the square of its size, and each
// daemon reads with the thread that does all else.
#include "Rig.hpp"

#include <algorithm>
#include <csignal>

using namespace rig;

namespace {

//! A list of what another program did, as large as the store allows.
std::string OddEntry(int aRound)
{
  constexpr std::size_t kRecordBytes = 262144;
  std::string entry = "[{\"sequence\":" + std::to_string(aRound) + "}";
  for (int i = 0; entry.size() < kRecordBytes - 300; ++i) {
    entry += ",{\"sequence\":" + std::to_string(i) + ",\"op\":\"put\"}";
  }
  return entry + "]";
}

struct Sent
{
  double at = 0;
  bool served = false;
};

}

int main(int aCount, char** aArguments)
{
  Record::Open(aCount > 1 ? aArguments[1] : "record.txt");
  constexpr double kBeforeMs = 8000;
  constexpr double kHeartbeatMs = 1500;
  constexpr int kRounds = 10;
  constexpr double kRecoveryMs = 12000;
  constexpr double kAfterMs = 18000;
  constexpr double kFaultAfterMs = 200; // After the first odd entry.
  constexpr double kDownMs = 1000;
  Site site({ 3, 12 });
  site.Begin();

  const double begin = Now();
  const double firstEntry = begin + kBeforeMs;
  const double lastEntry = firstEntry + (kRounds - 1) * kHeartbeatMs;
  const double end = lastEntry + kRecoveryMs + kAfterMs;

  std::mutex mutex;
  std::vector<Sent> all;
  std::vector<std::thread> threads;
  for (int i = 0; i < 24; ++i) {
    threads.emplace_back([&, i] {
      SleepMs(4 * i);
      while (Now() < end) {
        Call call;
        call.address = site.daemons[i % 3]->Front();
        call.method = "POST";
        call.host = "one.example";
        call.target = "/one/" + RandomId();
        call.body = JobBody(1, 40, 500, "x");
        const double sentAt = Now();
        const bool served = Send(call).status == 200;
        {
          const std::lock_guard<std::mutex> lock(mutex);
          all.push_back({ sentAt, served });
        }
        SleepMs(100);
      }
    });
  }
  // The platform's look at a daemon, once per second.
  std::vector<double> longestUnready(site.daemons.size());
  for (std::size_t i = 0; i < site.daemons.size(); ++i) {
    threads.emplace_back([&, i] {
      double lastReady = Now();
      while (Now() < end) {
        Call call;
        call.address = site.daemons[i]->Ready();
        call.target = "/hemlockhaven/readiness";
        call.deadlineMs = 1000;
        call.waitMs = 1000;
        if (Send(call).status == 200) {
          lastReady = Now();
        }
        longestUnready[i] = std::max(longestUnready[i], Now() - lastReady);
        SleepMs(500);
      }
    });
  }
  const auto killAll = [&site, firstEntry] {
    SleepUntil(firstEntry + kFaultAfterMs);
    Record::Line("final fault: all processes are killed");
    for (const auto& daemon : site.daemons) {
      daemon->Signal(SIGKILL);
    }
    for (const auto& daemon : site.daemons) {
      daemon->WaitForEnd(1000);
    }
    SleepUntil(firstEntry + kFaultAfterMs + kDownMs);
    for (const auto& daemon : site.daemons) {
      daemon->Start();
    }
  };
  for (int round = 0; round < kRounds; ++round) {
    SleepUntil(firstEntry + round * kHeartbeatMs);
    for (const char* key : { "ledger-north", "ledger-mid", "ledger-south" }) {
      if (!Trouble()) {
        break;
      }
      const std::string entry = OddEntry(round);
      Record::Line(std::string("another writer writes ") + key + ", " +
                   std::to_string(entry.size()) + " bytes: " +
                   entry.substr(0, 60) + "...");
      site.store->Put("keyed.servers", key, entry);
    }
    if (round == 0) {
      killAll();
    }
  }
  SleepUntil(end);
  for (std::size_t i = 0; i < site.daemons.size(); ++i) {
    Record::Line(
      site.daemons[i]->About().name + ": not ready for " +
      std::to_string(static_cast<int>(longestUnready[i])) +
      " ms on end, processor time since its second start " +
      std::to_string(site.daemons[i]->CpuSeconds()) + " s of " +
      std::to_string((Now() - firstEntry - kFaultAfterMs - kDownMs) / 1000) +
      " s");
  }
  for (std::thread& thread : threads) {
    thread.join();
  }

  int sentBefore = 0;
  int servedBefore = 0;
  int sentAfter = 0;
  int servedAfter = 0;
  for (const Sent& request : all) {
    if (request.at < firstEntry) {
      ++sentBefore;
      servedBefore += request.served ? 1 : 0;
    } else if (request.at > lastEntry + kRecoveryMs) {
      ++sentAfter;
      servedAfter += request.served ? 1 : 0;
    }
  }
  const std::string summary =
    "served before the final fault " + std::to_string(servedBefore) +
    " of " + std::to_string(sentBefore) +
    "; sent later than recovery_s after the machines were back and after the "
    "last odd entry: served " +
    std::to_string(servedAfter) + " of " + std::to_string(sentAfter);
  if (4 * servedBefore < sentBefore || sentBefore < 100 || sentAfter < 50) {
    Finish(2, summary);
  }
  Finish(4 * servedAfter < sentAfter ? 1 : 0, summary);
}
