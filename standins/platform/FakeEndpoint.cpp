#include "standins/platform/FakeEndpoint.h"

#include <algorithm>

namespace hemlockhaven::Testing {

namespace {

//! Longest lease that is granted.
constexpr std::int64_t kMostLeaseMs = 1000;

std::string NameOf(const TaskKey& aTask)
{
  return aTask.workId + "." + std::to_string(aTask.step) + "." +
         std::to_string(aTask.index);
}

}

FakeEndpoint::FakeEndpoint(Timeline aTime,
                           std::string aId,
                           Resources aCapacity,
                           double aSpeed,
                           WorkHook aWork,
                           RunHook aRunHook)
  : speed(aSpeed)
  , time_(std::move(aTime))
  , id_(std::move(aId))
  , capacity_(aCapacity)
  , free_(aCapacity)
  , work_(std::move(aWork))
  , runHook_(std::move(aRunHook))
  , startedAt_(time_.now())
{
}

ListedEndpoint FakeEndpoint::Listed(const std::string& aService) const
{
  ListedEndpoint listed;
  listed.id = id_;
  listed.address = id_;
  listed.service = aService;
  listed.capacity = capacity_;
  listed.incarnationStartMs = bornMs_;
  return listed;
}

std::int64_t FakeEndpoint::ClockMs() const
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(time_.now() -
                                                               startedAt_)
           .count() +
         1;
}

void FakeEndpoint::Extend(std::int64_t aDeadlineClockMs)
{
  leaseClockMs_ = std::max(
    leaseClockMs_, std::min(aDeadlineClockMs, ClockMs() + kMostLeaseMs));
  time_.after(std::chrono::milliseconds(
                std::max<std::int64_t>(0, leaseClockMs_ - ClockMs()) + 1),
              [this] { CheckLease(); });
}

void FakeEndpoint::CheckLease()
{
  if (ClockMs() <= leaseClockMs_) {
    return;
  }
  while (!running_.empty()) {
    End(running_.begin()->first,
        RunOutcome::LeaseExpired,
        startedAt_ + std::chrono::milliseconds(leaseClockMs_));
  }
}

CommandReply FakeEndpoint::Start(const StartCommand& aCommand,
                                 const Resources& aEach)
{
  CheckLease();
  const std::string name = NameOf(aCommand.run.task);
  const auto reply = [this](CommandOutcome aOutcome) {
    rejected_ += aOutcome == CommandOutcome::NoRoom ? 1 : 0;
    return CommandReply{ aOutcome, ClockMs() };
  };
  if (aCommand.target.fencingToken < token_) {
    return reply(CommandOutcome::Fenced);
  }
  token_ = aCommand.target.fencingToken;
  if (aCommand.deadlineClockMs < ClockMs()) {
    return reply(CommandOutcome::Expired);
  }
  const auto found = running_.find(name);
  if (found != running_.end() &&
      found->second.second.number == aCommand.run.run) {
    return reply(CommandOutcome::Accepted);
  }
  const auto before = highestEnded_.find(name);
  if (found != running_.end() ||
      (before != highestEnded_.end() && aCommand.run.run <= before->second)) {
    return reply(CommandOutcome::Superseded);
  }
  if (!aEach.FitsInto(free_)) {
    return reply(CommandOutcome::NoRoom);
  }
  free_ -= aEach;
  const std::uint64_t serial = ++serial_;
  running_[name] = { aCommand.run.task, { aCommand.run.run, aEach, serial } };
  runHook_({ aCommand.run.task,
             aCommand.run.run,
             std::nullopt,
             time_.now(),
             std::nullopt });
  Extend(aCommand.deadlineClockMs);
  const Duration work = failsAll ? Duration(-1) : work_(aCommand.run.task);
  if (work == Duration(0)) {
    return reply(CommandOutcome::Accepted); // Hangs.
  }
  const RunOutcome outcome =
    work < Duration(0) ? RunOutcome::Failed : RunOutcome::Done;
  const auto took = work < Duration(0)
                      ? Duration(1000)
                      : Duration(static_cast<std::int64_t>(
                          static_cast<double>(work.count()) / speed));
  time_.after(took,
              [this, serial, name, outcome] { Finish(serial, name, outcome); });
  return reply(CommandOutcome::Accepted);
}

CommandReply FakeEndpoint::Stop(const StopCommand& aCommand)
{
  if (aCommand.target.fencingToken < token_) {
    return { CommandOutcome::Fenced, ClockMs() };
  }
  token_ = aCommand.target.fencingToken;
  const std::string name = NameOf(aCommand.run.task);
  auto& highest = highestEnded_[name];
  highest = std::max(highest, aCommand.run.run);
  const auto found = running_.find(name);
  if (found != running_.end() &&
      found->second.second.number == aCommand.run.run) {
    End(name, RunOutcome::Stopped);
  }
  return { CommandOutcome::Accepted, ClockMs() };
}

void FakeEndpoint::Finish(std::uint64_t aSerial,
                          const std::string& aTask,
                          RunOutcome aHow)
{
  CheckLease(); // Timers fire late in a process that stood still.
  const auto found = running_.find(aTask);
  if (found != running_.end() && found->second.second.serial == aSerial) {
    End(aTask, aHow);
  }
}

void FakeEndpoint::End(const std::string& aTask,
                       RunOutcome aHow,
                       std::optional<TimePoint> aLeaseEnd)
{
  const auto ended = running_.extract(aTask);
  const auto& [task, run] = ended.mapped();
  free_ += run.each;
  auto& highest = highestEnded_[aTask];
  highest = std::max(highest, run.number);
  ended_.push_back({ ++position_, { task, run.number }, aHow });
  runHook_({ task, run.number, aHow, time_.now(), aLeaseEnd });
  std::vector<WaitingLook> looks;
  looks.swap(looks_);
  for (const WaitingLook& look : looks) {
    look.done(Report());
  }
}

PollResult FakeEndpoint::Report() const
{
  PollResult result;
  result.outcome = CommandOutcome::Accepted;
  result.report.incarnationStartMs = bornMs_;
  result.report.clockMs = ClockMs();
  for (const auto& [name, run] : running_) {
    result.report.running.push_back({ run.first, run.second.number });
  }
  result.report.ended = ended_;
  return result;
}

void FakeEndpoint::Look(const PollCommand& aCommand,
                        std::function<void(PollResult)> aDone)
{
  if (aCommand.target.fencingToken < token_) {
    PollResult fenced;
    fenced.outcome = CommandOutcome::Fenced;
    aDone(fenced);
    return;
  }
  token_ = aCommand.target.fencingToken;
  CheckLease();
  if (aCommand.deadlineClockMs > 0) {
    Extend(aCommand.deadlineClockMs);
  }
  ended_.erase(std::remove_if(ended_.begin(),
                              ended_.end(),
                              [&aCommand](const EndedRun& aEnded) {
                                return aEnded.position <= aCommand.ackPosition;
                              }),
               ended_.end());
  if (!ended_.empty() || aCommand.wait <= Duration(0)) {
    aDone(Report());
    return;
  }
  const std::uint64_t serial = ++serial_;
  looks_.push_back({ serial, std::move(aDone) });
  time_.after(aCommand.wait, [this, serial] {
    const auto found =
      std::find_if(looks_.begin(), looks_.end(), [serial](const auto& aLook) {
        return aLook.serial == serial;
      });
    if (found != looks_.end()) {
      const auto done = std::move(found->done);
      looks_.erase(found);
      done(Report());
    }
  });
}

void FakeEndpoint::Crash()
{
  for (const auto& [name, run] : running_) {
    runHook_({ run.first,
               run.second.number,
               RunOutcome::Other,
               time_.now(),
               std::nullopt });
  }
  running_.clear();
  highestEnded_.clear();
  ended_.clear();
  std::vector<WaitingLook> looks;
  looks.swap(looks_);
  free_ = capacity_;
  position_ = 0;
  token_ = 0;
  leaseClockMs_ = 0;
  startedAt_ = time_.now();
  ++bornMs_;
  for (const WaitingLook& look : looks) {
    look.done(PollResult()); // The connection is reset.
  }
}

}
