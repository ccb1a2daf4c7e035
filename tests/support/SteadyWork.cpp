#include "support/SteadyWork.h"

namespace hemlockhaven::Testing {

namespace {

constexpr Duration kLongRunTime{ 1500000 };
constexpr Duration kShortRunTime{ 100000 };
constexpr Duration kPatience{ 6000000 };
constexpr std::size_t kDaemonCount = 6;

}

Work MakeWork(int aNumber)
{
  const bool isLong = aNumber % 3 == 0;
  Work work;
  work.kind = isLong ? "long" : "w";
  work.id = work.kind + std::to_string(aNumber);
  WorkStep step;
  step.count = isLong ? 1 : 2;
  step.taskResources = { isLong ? 2000 : 6000, 64, 0 };
  step.estimate = isLong ? kLongRunTime : kShortRunTime;
  work.steps.push_back(step);
  work.attempts = 3;
  work.stretch = 1.6;
  work.targetLatency = Duration(60000);
  work.callerTimeout = kPatience;
  return work;
}

Duration TaskRunTime(const TaskKey& aTask)
{
  return aTask.workId.rfind("long", 0) == 0 ? kLongRunTime : kShortRunTime;
}

Cluster::Options ListReadingClusterOptions(std::uint64_t aSeed)
{
  Cluster::Options options;
  options.daemons = kDaemonCount;
  options.zones = 3;
  options.endpoints = 12;
  options.speeds = { 0.6, 1.0, 1.4 };
  options.seed = aSeed;
  options.readsEndpointList = true;
  return options;
}

void SubmitAtInterval(Cluster& aCluster,
                      int aFirst,
                      int aCount,
                      Duration aInterval)
{
  for (int i = 0; i < aCount; ++i) {
    const int number = aFirst + i;
    aCluster.Time().ScheduleAfter(i * aInterval, [&aCluster, number] {
      aCluster.Submit(static_cast<std::size_t>(number) % kDaemonCount,
                      MakeWork(number));
    });
  }
}

std::size_t CountCompleted(const Cluster& aCluster, int aFirst, int aCount)
{
  std::size_t completed = 0;
  for (int i = aFirst; i < aFirst + aCount; ++i) {
    const auto found = aCluster.Answers().find(MakeWork(i).id);
    completed += found != aCluster.Answers().end() &&
                     found->second.answer.outcome == CallerOutcome::Completed
                   ? 1
                   : 0;
  }
  return completed;
}

}
