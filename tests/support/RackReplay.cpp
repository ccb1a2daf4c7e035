#include "support/RackReplay.h"

#include "support/Cluster.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <sstream>
#include <unordered_map>

namespace hemlockhaven::Testing {

namespace {

constexpr std::size_t kEndpoints = 96;
constexpr std::size_t kEndpointsPerRack = 6;
constexpr double kAffinityShare = 0.5;
constexpr double kCrowdedFrom = 2;
//! From the customer's site file.
constexpr double kStretch = 1.6;
constexpr Duration kTargetLatency{ 60000 };
constexpr double kSigma = 0.4;

struct Kind
{
  const char* name;
  double perSecond; //!< On 350 endpoints.
  double tasks;
  double runTimeMs;
};

constexpr std::array<Kind, 3> kKinds{ { { "wide", 206, 8, 60 },
                                        { "long", 37.5, 4, 900 },
                                        { "narrow", 600, 2, 200 } } };

struct Job
{
  double runTimeMs = 0;
  std::string rack;
};

class RackSimulation
{
public:
  RackSimulation(const RackLoad& aLoad, std::uint64_t aSeed)
    : load_(aLoad)
    , dice_(aSeed)
    , cluster_(MakeOptions(aLoad, aSeed))
  {
    cluster_.work = [this](const TaskKey& aTask) {
      return Duration(
        static_cast<std::int64_t>(jobs_[aTask.workId].runTimeMs * 1000));
    };
    cluster_.slowdown = [this](const TaskKey& aTask, std::size_t aEndpoint) {
      const std::string& rack = jobs_[aTask.workId].rack;
      return rack.empty() || rack == cluster_.RackOf(aEndpoint)
               ? 1
               : load_.remoteFactor;
    };
  }

  RackResult Run()
  {
    const TimePoint begin = cluster_.Time().Now();
    double rate = 0;
    for (const Kind& kind : kKinds) {
      rate += kind.perSecond * kEndpoints / 350;
    }
    for (double at = Wait(rate); at < load_.seconds; at += Wait(rate)) {
      cluster_.Time().ScheduleAt(
        begin + Duration(static_cast<std::int64_t>(at * 1e6)),
        [this, at] { SubmitJob(at); });
    }
    constexpr Duration kDrainTime{ 4000000 };
    cluster_.Time().RunFor(
      Duration(static_cast<std::int64_t>(load_.seconds * 1e6)) + kDrainTime);
    return Count();
  }

private:
  static Cluster::Options MakeOptions(const RackLoad& aLoad,
                                      std::uint64_t aSeed)
  {
    Cluster::Options options;
    options.endpoints = kEndpoints;
    options.endpointsPerRack = kEndpointsPerRack;
    options.speeds = { 0.55, 1.2, 1.2, 1.2 };
    options.seed = aSeed;
    options.policy.remoteFactor = aLoad.configuredFactor;
    return options;
  }

  double Wait(double aRate) { return -std::log(1 - dice_.NextShare()) / aRate; }

  //! Draws from a log-normal distribution, capped at four times the mean.
  double Draw(double aMean, double aSigma)
  {
    const double angle = 6.283185307179586 * dice_.NextShare();
    const double normal =
      std::sqrt(-2 * std::log(1 - dice_.NextShare())) * std::cos(angle);
    return std::min(4 * aMean,
                    aMean * std::exp(aSigma * normal - aSigma * aSigma / 2));
  }

  std::size_t DrawKind()
  {
    double sum = 0;
    for (const Kind& kind : kKinds) {
      sum += kind.perSecond;
    }
    double pick = dice_.NextShare() * sum;
    std::size_t kind = 0;
    while (kind + 1 < kKinds.size() && pick >= kKinds.at(kind).perSecond) {
      pick -= kKinds.at(kind).perSecond;
      ++kind;
    }
    return kind;
  }

  std::string DrawRack(std::size_t aKind, double aSecond)
  {
    constexpr std::size_t kRacks = kEndpoints / kEndpointsPerRack;
    const bool isCrowded = aKind == load_.crowdedKind &&
                           aSecond >= kCrowdedFrom &&
                           aSecond < kCrowdedFrom + load_.crowdedSeconds;
    const double crowd = dice_.NextShare();
    const double affinity = dice_.NextShare();
    const auto rack =
      static_cast<std::size_t>(dice_.NextShare() * static_cast<double>(kRacks));
    if (isCrowded && crowd < load_.crowdedShare) {
      return "r0";
    }
    return affinity < kAffinityShare ? "r" + std::to_string(rack) : "";
  }

  void SubmitJob(double aSecond)
  {
    const std::size_t number = DrawKind();
    const Kind& kind = kKinds.at(number);
    Job job;
    job.runTimeMs = Draw(kind.runTimeMs, kSigma);
    job.rack = DrawRack(number, aSecond);
    Work work;
    work.id = "j" + std::to_string(jobs_.size());
    work.kind = kind.name;
    WorkStep step;
    step.count = static_cast<std::uint32_t>(
      std::max(1.0, std::round(Draw(kind.tasks, kSigma))));
    step.taskResources = { static_cast<std::int64_t>(Draw(6800, 0.2)), 64, 0 };
    step.estimate =
      Duration(static_cast<std::int64_t>(Draw(job.runTimeMs, kSigma) * 1000));
    step.preferredRack = job.rack;
    work.steps.push_back(std::move(step));
    work.attempts = 3;
    work.stretch = kStretch;
    work.targetLatency = kTargetLatency;
    work.callerTimeout = Duration(1500000);
    jobs_[work.id] = std::move(job);
    cluster_.Submit(0, std::move(work));
  }

  RackResult Count() const
  {
    RackResult result;
    for (const auto& [id, job] : jobs_) {
      ++result.submitted;
      const auto found = cluster_.Answers().find(id);
      if (found == cluster_.Answers().end()) {
        ++result.other;
        continue;
      }
      const ClusterAnswer& answer = found->second;
      const double allowedMs =
        job.runTimeMs * kStretch +
        static_cast<double>(kTargetLatency.count()) / 1000;
      if (answer.answer.outcome == CallerOutcome::Overloaded) {
        ++result.refused;
      } else if (answer.answer.outcome != CallerOutcome::Completed) {
        ++result.other;
      } else if (static_cast<double>(answer.latency.count()) / 1000 <=
                 allowedMs) {
        ++result.onTime;
      } else {
        ++result.late;
      }
    }
    return result;
  }

  const RackLoad& load_;
  Dice dice_;
  std::unordered_map<std::string, Job> jobs_;
  Cluster cluster_;
};

}

RackResult Replay(const RackLoad& aLoad, std::uint64_t aSeed)
{
  return RackSimulation(aLoad, aSeed).Run();
}

std::string Describe(const RackResult& aResult)
{
  std::ostringstream text;
  text << "submitted " << aResult.submitted << ", in time " << aResult.onTime
       << ", late " << aResult.late << ", refused " << aResult.refused
       << ", other " << aResult.other;
  return text.str();
}

}
