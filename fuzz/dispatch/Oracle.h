#ifndef HEMLOCKHAVEN_FUZZ_DISPATCH_ORACLE_H
#define HEMLOCKHAVEN_FUZZ_DISPATCH_ORACLE_H

#include "hemlockhaven/dispatch/Dispatcher.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace hemlockhaven::Fuzz {

//! What the oracle knows of one task.
struct TaskModel
{
  std::uint32_t ended = 0;
  bool running = false;
  bool forwarded = false;
  bool mayRun = false; //!< The next attempt is allowed.
  std::uint32_t attempts = 0;
  std::uint32_t further = 0;
  Ran ran = Ran::NotRun;
  bool succeeded = false;
};

struct GroupModel
{
  std::shared_ptr<TaskGroup> group;
  std::vector<TaskModel> tasks;
  bool refused = false;
  bool stopped = false;
};

struct AttemptModel
{
  Attempt attempt;
  std::size_t group = 0;
};

//! A simple account of what a dispatcher was told and did, which notes every
//! break of a rule.
class Oracle
{
public:
  explicit Oracle(const DispatcherLimits& aLimits)
    : limits_(aLimits)
  {
  }

  std::size_t AddGroup(const std::shared_ptr<TaskGroup>& aGroup);
  void Admitted(std::size_t aGroup, const Result<void>& aResult);
  void SetEndpoints(Span<const EndpointDescription> aEndpoints);
  void Sent(const Attempt& aAttempt, TimePoint aNow);
  //! Called before the dispatcher is told.
  void Finishing(std::size_t aAttempt, AttemptEnd aEnd);
  void Ended(std::size_t aGroup, std::uint32_t aIndex, const TaskOutcome& aEnd);
  void Stop(std::size_t aGroup, Reason aReason);
  //! Compares the dispatcher's counts.
  void CheckCounts(const Dispatcher& aDispatcher);
  //! All tasks that an open endpoint can run must have ended. The others may
  //! wait until their deadline.
  void CheckEligibleEnded();
  //! All tasks must have ended.
  void CheckAllEnded();

  std::deque<GroupModel>& Groups() { return groups_; }
  std::vector<AttemptModel>& UnderWay() { return underWay_; }
  const std::vector<AttemptId>& Finished() const { return finished_; }
  const std::vector<std::string>& Violations() const { return violations_; }
  void Violate(const std::string& aText) { violations_.push_back(aText); }

private:
  static bool IsEnded(const GroupModel& aModel);
  bool IsEligible(const JobSpec& aSpec, const EndpointDescription& aEndpoint);
  bool IsAnyEligible(const JobSpec& aSpec);
  void CheckRetries(const std::string& aCaller, TimePoint aNow);

  DispatcherLimits limits_;
  std::deque<GroupModel> groups_;
  std::map<const TaskGroup*, std::size_t> numbers_;
  std::map<std::string, EndpointDescription> open_; //!< Not leaving.
  std::map<std::string, std::uint32_t> running_;    //!< By endpoint.
  std::vector<AttemptModel> underWay_;
  std::vector<AttemptId> finished_;
  std::set<AttemptId> ids_;
  std::map<std::string, std::uint64_t> firsts_;
  std::map<std::string, std::uint64_t> retries_;
  std::size_t sentAgain_ = 0;
  TimePoint start_ = TimePoint::max();
  std::vector<std::string> violations_;
};

}

#endif
