#ifndef HEMLOCKHAVEN_SCHEDULER_EFFECTS_H
#define HEMLOCKHAVEN_SCHEDULER_EFFECTS_H

#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/scheduler/Work.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

namespace hemlockhaven {

//! Where a command is sent, and the token that authorises it.
struct CommandTarget
{
  std::string endpoint;
  std::string address;
  std::uint64_t fencingToken = 0;
};

//! Starts a run.
struct StartCommand
{
  CommandTarget target;
  RunKey run;
  std::string payload;
  //! Not started after this; endpoint's clock.
  std::int64_t deadlineClockMs = 0;
  //! Sent to this incarnation of the endpoint only, since it was chosen by its
  //! labels and capacity; start time, Unix ms. 0: the endpoint names none.
  std::int64_t incarnationStartMs = 0;
};

//! Stops a run.
struct StopCommand
{
  CommandTarget target;
  RunKey run;
};

//! Renews the lease of all runs at an endpoint and lists them; a long poll.
struct PollCommand
{
  CommandTarget target;
  std::int64_t deadlineClockMs = 0; //!< 0: no renewal.
  std::uint64_t ackPosition = 0;    //!< Ended runs up to here are acknowledged.
  Duration wait{ 0 };               //!< Replies when a run ends, or after this.
  bool isTakeover = false;          //!< First poll of a new term.
};

//! How work ended.
enum class WorkOutcome : std::uint8_t
{
  Completed,
  Failed,  //!< A task failed in all its attempts.
  Refused, //!< No task has run or will run.
  Cancelled,
  Moved, //!< This scheduler no longer leads; runs may continue.
  //! A caller cancelled the job; it is not started again for a while.
  CancelledByCaller,
};

//! The answer to the entry VM that submitted the work.
struct WorkAnswer
{
  std::string entryVm;
  std::string workId;
  WorkOutcome outcome = WorkOutcome::Refused;
  std::string reason;       //!< For logs and the caller.
  Duration retryAfter{ 0 }; //!< With Refused: when to retry.
  Duration waited{ 0 };     //!< From arrival to the first start.
  SubmissionKey key;        //!< Of the submission that it answers.
};

//! What a decision was based on, "name=value ...". Numbers become text only
//! when the line is written, which most lines of a leader are not.
class DecisionInputs
{
public:
  DecisionInputs() = default;
  // Implicit, so that a text can be assigned.
  DecisionInputs(std::string aText)
    : text_(std::move(aText))
  {
  }

  //! aName must outlive the object.
  DecisionInputs& Add(const char* aName, std::int64_t aValue);

  bool IsEmpty() const { return text_.empty() && count_ == 0; }
  std::string Text() const;

  friend std::ostream& operator<<(std::ostream& aStream,
                                  const DecisionInputs& aInputs)
  {
    return aStream << aInputs.Text();
  }

private:
  struct Number
  {
    const char* name;
    std::int64_t value;
  };

  std::string text_; //!< Before the numbers.
  std::array<Number, 8> numbers_{};
  std::size_t count_ = 0;
};

//! A decision for the log: one line of bounded length.
struct Decision
{
  std::string step;
  std::string workId;
  std::string endpoint;
  std::string outcome;
  //! The reason; one of a few texts, as metrics count by it.
  std::string detail;
  DecisionInputs inputs;
  Duration inputAge{ 0 }; //!< Age of the endpoint's last reply.
};

//! What the code that calls the scheduler has to do, in order, outside its
//! lock.
struct SchedulerEffects
{
  std::vector<StopCommand> stops;
  std::vector<StartCommand> starts;
  std::vector<PollCommand> polls;
  std::vector<WorkAnswer> answers;
  std::vector<Decision> decisions;
  bool fencedByOther = false; //!< Another leader has taken over endpoints.
  //! Another leader had this work just before; only a new term with a poll of
  //! each endpoint shows which tasks it started.
  bool needsNewTerm = false;
};

}

#endif
