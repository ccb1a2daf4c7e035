// Processor time of a leader's scheduler for each task, in virtual time: 350
// endpoints that answer at once after a round trip, and the three kinds of work
// of docs/hard-load.md. The digest covers all that the scheduler decides, so
// that two versions can be compared.
#include "hemlockhaven/fleet/Dice.h"
#include "hemlockhaven/scheduler/Scheduler.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <functional>
#include <queue>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

using namespace hemlockhaven;

namespace {

struct Kind
{
  const char* name;
  double jobsPerSecond;
  double meanTasks;
  double meanRunTimeMs;
};

constexpr std::array<Kind, 3> kKinds{ { { "short-wide", 206, 8, 60 },
                                        { "long", 37.5, 4, 900 },
                                        { "short-narrow", 600, 2, 200 } } };
//! From the users' figures: run times, widths and estimates.
constexpr double kSigma = 0.4;
//! As in tests/support/LoadReplay: two tasks fit into most endpoints.
constexpr double kMeanCpuMillis = 6800;
constexpr double kCpuSigma = 0.2;
constexpr std::array<double, 4> kSpeeds{ 0.55, 1.2, 1.2, 1.2 };
constexpr Duration kOneWay{ 1400 };
constexpr Duration kTick{ 25000 };

struct Options
{
  std::size_t endpoints = 350;
  double seconds = 5;
  double load = 1.4; //!< Relative to the rates of kKinds: 1,180 jobs a second.
  std::uint64_t seed = 1;
};

//! Processor time of this thread.
std::int64_t ThreadNanoseconds()
{
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return now.tv_sec * 1'000'000'000LL + now.tv_nsec;
}

//! FNV-1a.
class Digest
{
public:
  void Add(std::string_view aText)
  {
    for (const char character : aText) {
      Mix(static_cast<unsigned char>(character));
    }
    Mix('\n');
  }
  void Add(std::int64_t aNumber) { Add(std::to_string(aNumber)); }
  std::uint64_t Value() const { return value_; }

private:
  void Mix(unsigned char aByte)
  {
    value_ = (value_ ^ aByte) * 0x100000001b3ULL;
  }

  std::uint64_t value_ = 0xcbf29ce484222325ULL;
};

struct Endpoint
{
  std::vector<RunKey> running;
  std::vector<EndedRun> ended; //!< Not acknowledged yet.
  std::uint64_t position = 0;
  double speed = 1;
  //! A poll that waits for the end of a run.
  bool isPollWaiting = false;
  PollCommand poll;
  std::uint64_t pollNumber = 0;
};

class LeaderLoad
{
public:
  explicit LeaderLoad(const Options& aOptions)
    : options_(aOptions)
    , dice_(aOptions.seed)
    , scheduler_(SchedulerPolicy(), [this] { return now_; })
  {
    for (std::size_t i = 0; i < aOptions.endpoints; ++i) {
      ListedEndpoint listed;
      listed.id = "endpoint-" + std::to_string(1000 + i);
      listed.address = "127.0.0.1:" + std::to_string(10000 + i);
      listed.zone = std::string(1, static_cast<char>('a' + i % 3));
      listed.rack = "rack-" + std::to_string(i / 20);
      listed.capacity = { 16000, 65536, 0 };
      listed.incarnationStartMs = 1;
      endpoints_[listed.id].speed = kSpeeds.at(i % kSpeeds.size());
      listed_.push_back(std::move(listed));
    }
  }

  void Run()
  {
    Measure([this] { return scheduler_.StartTerm(1); });
    Measure([this] { return scheduler_.SetEndpoints(listed_); });
    ScheduleTick();
    RunUntil(now_ + Duration(1000000)); // All endpoints are usable then.
    ResetCounts();
    const TimePoint end =
      now_ + Duration(static_cast<std::int64_t>(options_.seconds * 1e6));
    ScheduleArrival(end);
    RunUntil(end);
  }

  void Print() const
  {
    const auto tasks = static_cast<double>(std::max<std::size_t>(1, starts_));
    std::printf("endpoints %zu, jobs/s %.0f, tasks/s %.0f, refused %.3f\n"
                "calls/task %.2f, polls/task %.2f, decisions/task %.2f\n"
                "scheduler %.2f us/task\n"
                "digest %016llx\n",
                options_.endpoints,
                static_cast<double>(jobs_) / options_.seconds,
                tasks / options_.seconds,
                static_cast<double>(refused_) /
                  static_cast<double>(std::max<std::size_t>(1, jobs_)),
                static_cast<double>(calls_) / tasks,
                static_cast<double>(polls_) / tasks,
                static_cast<double>(decisions_) / tasks,
                static_cast<double>(nanoseconds_) / 1000 / tasks,
                static_cast<unsigned long long>(digest_.Value()));
  }

private:
  struct Event
  {
    TimePoint at;
    std::uint64_t number; //!< Events at the same time run in this order.
    std::function<void()> run;

    friend bool operator<(const Event& aLeft, const Event& aRight)
    {
      return std::tie(aRight.at, aRight.number) <
             std::tie(aLeft.at, aLeft.number);
    }
  };

  void ScheduleIn(Duration aDelay, std::function<void()> aRun)
  {
    events_.push({ now_ + aDelay, eventNumber_++, std::move(aRun) });
  }

  void RunUntil(TimePoint aEnd)
  {
    while (!events_.empty() && events_.top().at <= aEnd) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.run();
    }
    now_ = aEnd;
  }

  void ResetCounts()
  {
    nanoseconds_ = 0;
    calls_ = polls_ = decisions_ = starts_ = 0;
  }

  template<typename Call>
  void Measure(Call&& aCall)
  {
    const std::int64_t begin = ThreadNanoseconds();
    const SchedulerEffects effects = aCall();
    nanoseconds_ += ThreadNanoseconds() - begin;
    ++calls_;
    Apply(effects);
  }

  void Apply(const SchedulerEffects& aEffects)
  {
    for (const Decision& decision : aEffects.decisions) {
      ++decisions_;
      for (const std::string& text : { decision.step,
                                       decision.workId,
                                       decision.endpoint,
                                       decision.outcome,
                                       decision.detail,
                                       decision.inputs.Text() }) {
        digest_.Add(text);
      }
    }
    for (const StartCommand& start : aEffects.starts) {
      ++starts_;
      digest_.Add(start.target.endpoint);
      digest_.Add(start.deadlineClockMs);
      ScheduleIn(kOneWay, [this, start] { BeginRun(start); });
    }
    for (const PollCommand& poll : aEffects.polls) {
      ++polls_;
      digest_.Add(poll.target.endpoint);
      digest_.Add(poll.deadlineClockMs);
      ScheduleIn(kOneWay, [this, poll] { BeginPoll(poll); });
    }
    for (const StopCommand& stop : aEffects.stops) {
      digest_.Add(stop.target.endpoint);
      ScheduleIn(2 * kOneWay, [this, stop] {
        Measure([&] {
          return scheduler_.OnStopReply(
            stop, { CommandOutcome::Accepted, ClockMs() });
        });
      });
    }
    for (const WorkAnswer& answer : aEffects.answers) {
      digest_.Add(answer.workId);
      digest_.Add(answer.reason);
      digest_.Add(answer.retryAfter.count());
      refused_ += answer.outcome == WorkOutcome::Refused ? 1 : 0;
      runTimesMs_.erase(answer.workId);
    }
  }

  std::int64_t ClockMs() const
  {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
             now_.time_since_epoch())
      .count();
  }

  void BeginRun(const StartCommand& aStart)
  {
    Endpoint& endpoint = endpoints_[aStart.target.endpoint];
    endpoint.running.push_back(aStart.run);
    const double ms = runTimesMs_[aStart.run.task.workId] / endpoint.speed;
    ScheduleIn(Duration(static_cast<std::int64_t>(ms * 1000)),
               [this, aStart] { EndRun(aStart); });
    ScheduleIn(kOneWay, [this, aStart] {
      Measure([&] {
        return scheduler_.OnStartReply(aStart,
                                       { CommandOutcome::Accepted, ClockMs() });
      });
    });
  }

  void EndRun(const StartCommand& aStart)
  {
    Endpoint& endpoint = endpoints_[aStart.target.endpoint];
    endpoint.running.erase(std::find_if(
      endpoint.running.begin(),
      endpoint.running.end(),
      [&aStart](const RunKey& aRun) { return aRun.task == aStart.run.task; }));
    endpoint.ended.push_back(
      { ++endpoint.position, aStart.run, RunOutcome::Done });
    if (endpoint.isPollWaiting) {
      AnswerPoll(endpoint);
    }
  }

  void BeginPoll(const PollCommand& aPoll)
  {
    Endpoint& endpoint = endpoints_[aPoll.target.endpoint];
    endpoint.poll = aPoll;
    endpoint.isPollWaiting = true;
    const std::uint64_t number = ++endpoint.pollNumber;
    auto& ended = endpoint.ended;
    ended.erase(std::remove_if(ended.begin(),
                               ended.end(),
                               [&aPoll](const EndedRun& aEnded) {
                                 return aEnded.position <= aPoll.ackPosition;
                               }),
                ended.end());
    if (!ended.empty() || aPoll.wait == Duration(0)) {
      AnswerPoll(endpoint);
      return;
    }
    ScheduleIn(aPoll.wait, [this, &endpoint, number] {
      if (endpoint.isPollWaiting && endpoint.pollNumber == number) {
        AnswerPoll(endpoint);
      }
    });
  }

  void AnswerPoll(Endpoint& aEndpoint)
  {
    aEndpoint.isPollWaiting = false;
    PollReport report;
    report.incarnationStartMs = 1;
    report.clockMs = ClockMs();
    report.running = aEndpoint.running;
    report.ended = aEndpoint.ended;
    ScheduleIn(kOneWay, [this, poll = aEndpoint.poll, report] {
      Measure([&] { return scheduler_.OnPollReply(poll, report); });
    });
  }

  void ScheduleTick()
  {
    ScheduleIn(kTick, [this] {
      Measure([this] { return scheduler_.Tick(); });
      ScheduleTick();
    });
  }

  double DrawLogNormal(double aMean, double aSigma = kSigma)
  {
    const double angle = 6.283185307179586 * dice_.NextShare();
    const double normal =
      std::sqrt(-2 * std::log(1 - dice_.NextShare())) * std::cos(angle);
    return aMean * std::exp(aSigma * normal - aSigma * aSigma / 2);
  }

  void ScheduleArrival(TimePoint aEnd)
  {
    double rate = 0;
    for (const Kind& kind : kKinds) {
      rate += kind.jobsPerSecond * options_.load;
    }
    const double seconds = -std::log(1 - dice_.NextShare()) / rate;
    const Duration delay(static_cast<std::int64_t>(seconds * 1e6));
    if (now_ + delay >= aEnd) {
      return;
    }
    ScheduleIn(delay, [this, aEnd] {
      SubmitJob();
      ScheduleArrival(aEnd);
    });
  }

  void SubmitJob()
  {
    double pick = dice_.NextShare();
    double sum = 0;
    for (const Kind& kind : kKinds) {
      sum += kind.jobsPerSecond;
    }
    const Kind* chosen = &kKinds.back();
    for (const Kind& kind : kKinds) {
      pick -= kind.jobsPerSecond / sum;
      if (pick < 0) {
        chosen = &kind;
        break;
      }
    }
    Work work;
    work.id = "job-0123456789-" + std::to_string(++jobs_);
    work.kind = chosen->name;
    work.payload = std::string(200, 'x');
    WorkStep step;
    step.count = static_cast<std::uint32_t>(
      std::max(1.0, std::round(DrawLogNormal(chosen->meanTasks))));
    step.taskResources = { static_cast<std::int64_t>(
                             DrawLogNormal(kMeanCpuMillis, kCpuSigma)),
                           512,
                           0 };
    const double runTimeMs = DrawLogNormal(chosen->meanRunTimeMs);
    step.estimate =
      Duration(static_cast<std::int64_t>(DrawLogNormal(runTimeMs) * 1000));
    work.steps.push_back(std::move(step));
    work.attempts = 3;
    work.stretch = 1.6;
    work.targetLatency = Duration(60000);
    work.callerTimeout = Duration(1500000);
    runTimesMs_[work.id] = runTimeMs;
    Measure([&] { return scheduler_.Submit("front-1", std::move(work)); });
  }

  const Options options_;
  Dice dice_;
  TimePoint now_{ std::chrono::hours(1) };
  Scheduler scheduler_;
  std::vector<ListedEndpoint> listed_;
  std::unordered_map<std::string, Endpoint> endpoints_;
  std::unordered_map<std::string, double> runTimesMs_; //!< By work id.
  std::priority_queue<Event> events_;
  std::uint64_t eventNumber_ = 0;
  Digest digest_;
  std::int64_t nanoseconds_ = 0;
  std::size_t calls_ = 0;
  std::size_t polls_ = 0;
  std::size_t decisions_ = 0;
  std::size_t starts_ = 0;
  std::size_t jobs_ = 0;
  std::size_t refused_ = 0;
};

}

// Arguments: seconds, load, endpoints, seed.
int main(int aCount, char** aArguments)
{
  Options options;
  options.seconds = aCount > 1 ? std::atof(aArguments[1]) : options.seconds;
  options.load = aCount > 2 ? std::atof(aArguments[2]) : options.load;
  if (aCount > 3) {
    options.endpoints = std::strtoul(aArguments[3], nullptr, 10);
  }
  options.seed =
    aCount > 4 ? std::strtoull(aArguments[4], nullptr, 10) : options.seed;
  LeaderLoad load(options);
  load.Run();
  load.Print();
}
