#include "hemlockhaven/metrics/Counters.h"

#include <cstddef>
#include <cstdint>
#include <thread>
#include <vector>

// Last, because its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace hemlockhaven;

namespace {

struct Row
{
  const char* guardsAgainst;
  std::size_t threads;
};

const Row kRows[] = {
  { "sum skips the only shard in use", 1 },
  { "sum skips some of the shards", 16 },
  { "increments lost if threads share a shard", 40 },
};

constexpr std::uint64_t kEventsPerThread = 2'000;

}

TEST_GROUP(Counters){};

TEST(Counters, SumsCountsOfAllThreads)
{
  for (const Row& row : kRows) {
    Counters counters;
    std::vector<std::thread> threads;
    for (std::size_t number = 0; number < row.threads; ++number) {
      threads.emplace_back([&counters] {
        for (std::uint64_t round = 0; round < kEventsPerThread; ++round) {
          counters.Refused(Reason::QueueFull);
          counters.Retried(Reason::ConnectRefused);
          counters.Count(Event::AttemptSent);
          counters.Count(Event::EndpointReadmitted, 3);
        }
      });
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
    const std::uint64_t expected = kEventsPerThread * row.threads;
    CHECK_TEXT(counters.RefusedCount(Reason::QueueFull) == expected,
               row.guardsAgainst);
    CHECK_TEXT(counters.RetriedCount(Reason::ConnectRefused) == expected,
               row.guardsAgainst);
    CHECK_TEXT(counters.EventCount(Event::AttemptSent) == expected,
               row.guardsAgainst);
    CHECK_TEXT(counters.EventCount(Event::EndpointReadmitted) == 3 * expected,
               row.guardsAgainst);
    CHECK_TEXT(counters.EventCount(Event::AttemptLate) == 0, row.guardsAgainst);
  }
}
