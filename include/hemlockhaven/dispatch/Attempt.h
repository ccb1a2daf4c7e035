#ifndef HEMLOCKHAVEN_DISPATCH_ATTEMPT_H
#define HEMLOCKHAVEN_DISPATCH_ATTEMPT_H

#include "hemlockhaven/core/Refusal.h"
#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/dispatch/TaskGroup.h"

#include <cstdint>
#include <memory>
#include <string>

namespace hemlockhaven {

//! Unique among all attempts of one incarnation.
using AttemptId = std::uint64_t;

//! One try of one task on one endpoint.
struct Attempt
{
  AttemptId id = 0;
  std::string endpoint; //!< Id of the endpoint.
  std::string address;  //!< IP number of the endpoint.
  std::uint16_t port = 0;
  std::shared_ptr<TaskGroup> group;
  std::uint32_t index = 0; //!< Of the task in its group.
  Duration limit{ 0 };     //!< After this time the outcome is unknown.
};

//! How an attempt ended.
enum class AttemptEnd : std::uint8_t
{
  Succeeded,  //!< The whole answer arrived.
  Failed,     //!< The endpoint says that the task ran and failed.
  NotStarted, //!< The task certainly did not start.
  Unknown,    //!< The task may have started.
};

struct AttemptResult
{
  AttemptEnd end = AttemptEnd::Unknown;
  Reason reason = Reason::None; //!< None if it succeeded.
  std::string body;             //!< The whole answer, if it succeeded.
  std::string detail;           //!< One sentence, if it did not succeed.
};

}

#endif
