#ifndef HEMLOCKHAVEN_STANDINS_PLATFORM_FAKEENDPOINT_H
#define HEMLOCKHAVEN_STANDINS_PLATFORM_FAKEENDPOINT_H

#include "hemlockhaven/coordinator/Coordinator.h"
#include "hemlockhaven/core/Time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace hemlockhaven::Testing {

//! The clock and timers that an endpoint goes by.
struct Timeline
{
  Clock now;
  std::function<void(Duration, std::function<void()>)> after;
};

//! The begin or end of a run.
struct RunEvent
{
  TaskKey task;
  std::uint32_t run = 0;
  std::optional<RunOutcome> outcome; //!< Nothing: it began.
  TimePoint at{};                    //!< When it really began or ended.
  std::optional<TimePoint> leaseEnd; //!< Of a lapsed run, always before `at`.
};

//! An endpoint with the platform's rules for tokens, leases, run numbers and
//! lists of ends. Work is timed by a hook.
class FakeEndpoint
{
public:
  //! Run time of a task at speed 1; negative: it fails at once; zero: it hangs.
  using WorkHook = std::function<Duration(const TaskKey&)>;
  using RunHook = std::function<void(const RunEvent&)>;

  FakeEndpoint(Timeline aTime,
               std::string aId,
               Resources aCapacity,
               double aSpeed,
               WorkHook aWork,
               RunHook aRunHook);

  ListedEndpoint Listed(const std::string& aService) const;

  CommandReply Start(const StartCommand& aCommand, const Resources& aEach);
  CommandReply Stop(const StopCommand& aCommand);
  //! Answers at the next end, or when the look's wait is over.
  void Look(const PollCommand& aCommand, std::function<void(PollResult)> aDone);

  //! Only while nothing runs.
  void SetCapacity(const Resources& aCapacity)
  {
    capacity_ = aCapacity;
    free_ = aCapacity;
  }

  //! Ends everything and forgets all but the id.
  void Crash();

  double speed = 1;
  bool failsAll = false;
  std::size_t Rejected() const { return rejected_; }
  std::int64_t ClockMs() const;

private:
  struct Run
  {
    std::uint32_t number = 0;
    Resources each;
    std::uint64_t serial = 0;
  };
  struct WaitingLook
  {
    std::uint64_t serial = 0;
    std::function<void(PollResult)> done;
  };

  void Extend(std::int64_t aDeadlineClockMs);
  void End(const std::string& aTask,
           RunOutcome aHow,
           std::optional<TimePoint> aLeaseEnd = std::nullopt);
  void Finish(std::uint64_t aSerial, const std::string& aTask, RunOutcome aHow);
  void CheckLease();
  PollResult Report() const;

  Timeline time_;
  std::string id_;
  Resources capacity_;
  Resources free_;
  WorkHook work_;
  RunHook runHook_;
  TimePoint startedAt_;
  std::int64_t bornMs_ = 1;
  std::uint64_t token_ = 0;
  std::int64_t leaseClockMs_ = 0;
  std::map<std::string, std::pair<TaskKey, Run>> running_;
  std::map<std::string, std::uint32_t> highestEnded_;
  std::vector<EndedRun> ended_;
  std::uint64_t position_ = 0;
  std::uint64_t serial_ = 0;
  std::vector<WaitingLook> looks_;
  std::size_t rejected_ = 0;
};

}

#endif
