#ifndef HEMLOCKHAVEN_FUZZ_NODE_ORACLE_H
#define HEMLOCKHAVEN_FUZZ_NODE_ORACLE_H

#include "hemlockhaven/configuration/ConfigurationRecord.h"
#include "hemlockhaven/core/Error.h"
#include "hemlockhaven/dispatch/Attempt.h"
#include "hemlockhaven/identity/KeyHash.h"
#include "hemlockhaven/job/JobBook.h"
#include "hemlockhaven/job/JobSpec.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hemlockhaven::Fuzz {

//! One specification that a caller submits under one id or one key.
struct SubmissionModel
{
  std::optional<SubmissionId> id; //!< Unknown until a key has been accepted.
  std::optional<KeyHash> key;
  std::uint64_t epoch = 0;
  JobSpec spec;
  bool accepted = false;
  //! A lost reply hides when the home accepted it; not before this.
  std::optional<TimePoint> triedAt;
  bool cancelled = false;  //!< Its home has confirmed it.
  std::vector<int> starts; //!< Of each task, without those "not started".
};

//! What all nodes and incarnations together did, and every break of a rule.
class Oracle
{
public:
  //! Adds a submission and gives its tasks payloads of their own.
  std::size_t Add(JobSpec aSpec, std::size_t aTasks);

  //! An endpoint got an attempt; it counts as started (R1, R5).
  void Started(const Attempt& aAttempt);
  void NotStarted(const Attempt& aAttempt);

  void Tried(std::size_t aNumber, TimePoint aNow);
  void Accepted(std::size_t aNumber);
  void Cancelled(const SubmissionId& aId);
  //! R4: a refusal as "not run" of this submission.
  void Refused(std::size_t aNumber, const Error& aError);
  //! R2, R3, R4: an answer that a caller got.
  void Answered(const JobAnswer& aAnswer);
  //! A change that took effect in the log, in log order.
  void Logged(const ConfigurationChange& aChange);
  //! R8: the configuration in force at an incarnation.
  void Configured(std::uint64_t aIncarnation, const ConfigurationState& aState);

  bool IsOver(const SubmissionId& aId) const
  {
    return over_.count(aId.Text()) > 0;
  }
  std::deque<SubmissionModel>& Submissions() { return submissions_; }

  void Trace(std::string aLine);
  void Violate(const std::string& aText);
  const std::vector<std::string>& Violations() const { return violations_; }
  const std::deque<std::string>& Tail() const { return tail_; }

  //! What an endpoint answers to a payload.
  static std::string BodyFor(std::string_view aPayload);

private:
  static std::pair<std::size_t, std::size_t> TaskOf(std::string_view aPayload);
  int StartsOf(std::size_t aNumber) const;
  static bool HasAllResults(const SubmissionModel& aModel,
                            const JobAnswer& aAnswer);
  void CheckResults(const JobAnswer& aAnswer);
  void CheckUnchanged(const JobAnswer& aAnswer);

  std::deque<SubmissionModel> submissions_;
  std::map<std::string, JobAnswer> over_; //!< First answer seen, by id.
  std::map<std::uint64_t, ConfigurationVersion> versions_;
  std::vector<std::string> documents_{ "" }; //!< By version, from the log.
  std::deque<std::string> tail_;
  std::vector<std::string> violations_;
};

}

#endif
