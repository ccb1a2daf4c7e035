#include "net/ConnectionPlan.h"

#include <algorithm>

#include <malloc.h>
#include <sys/resource.h>

namespace hemlockhaven {

namespace {

constexpr std::size_t kBytesPerMb = 1000000;
//! A quarter of the memory is the budget, and 45% bound the sockets' buffers.
//! The rest, 36 MB of the smallest machines, is for the process itself, which
//! takes 5 MB without load.
constexpr std::size_t kBudgetPercent = 25;
constexpr std::size_t kReceivePercent = 30;
constexpr std::size_t kSendPercent = 15;
//! Of the process's own part.
constexpr std::size_t kQueuePercent = 15;
//! Smaller buffers need many round trips for a usual request of 4 KB; larger
//! ones have no use on connections with such requests.
constexpr std::size_t kMinReceiveBytes = 8192;
constexpr std::size_t kMaxReceiveBytes = 131072;
constexpr std::size_t kMinSendBytes = 4608; // The least that Linux sets.
constexpr std::size_t kMaxSendBytes = 131072;
//! Listeners for checks, and connections that are being refused.
constexpr std::size_t kOtherConnections = 2 * kCheckConnections + 300;

}

ConnectionPlan PlanConnections(std::size_t aMemoryMb,
                               std::size_t aDescriptors,
                               std::size_t aWantedConnections)
{
  const std::size_t onePercent = aMemoryMb * kBytesPerMb / 100;
  ConnectionPlan plan;
  plan.budgetBytes = kBudgetPercent * onePercent;
  plan.maxBodyBytes = plan.budgetBytes / 4;
  // The other half is for endpoints, other daemons and the store.
  plan.connections = std::clamp<std::size_t>(
    aWantedConnections, 1, std::max<std::size_t>(aDescriptors / 2, 1));
  const std::size_t all = plan.connections + kOtherConnections;
  plan.receiveBufferBytes = std::clamp(
    kReceivePercent * onePercent / all, kMinReceiveBytes, kMaxReceiveBytes);
  plan.sendBufferBytes =
    std::clamp(kSendPercent * onePercent / all, kMinSendBytes, kMaxSendBytes);
  return plan;
}

std::size_t MaxQueuedBytes(std::size_t aMemoryMb)
{
  return kQueuePercent * (aMemoryMb * kBytesPerMb / 100);
}

void ReturnFreedBodies()
{
  // glibc raises this threshold when such a block is freed for the first time,
  // and then keeps bodies that have grown in the heap: peak memory was twice
  // the charged bytes.
  constexpr int kMappedBytes = 131072;
  ::mallopt(M_MMAP_THRESHOLD, kMappedBytes);
}

void ReturnFreedPages()
{
  ::malloc_trim(0);
}

std::size_t DescriptorLimit()
{
  constexpr std::size_t kUsualLimit = 1024;
  rlimit limit{};
  return ::getrlimit(RLIMIT_NOFILE, &limit) == 0 ? limit.rlim_cur : kUsualLimit;
}

}
