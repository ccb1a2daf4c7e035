#ifndef HEMLOCKHAVEN_JOB_TASKOUTCOME_H
#define HEMLOCKHAVEN_JOB_TASKOUTCOME_H

#include "hemlockhaven/core/Error.h"
#include "hemlockhaven/core/Time.h"

#include <cstdint>
#include <string>

namespace hemlockhaven {

//! The one final outcome of a task.
struct TaskOutcome
{
  bool succeeded = false;
  std::string body;      //!< The endpoint's whole answer, if succeeded.
  Error error;           //!< Why it did not succeed, and whether it ran.
  std::string endpoint;  //!< Id of the last endpoint tried; may be empty.
  std::string zone;      //!< Availability zone of that endpoint.
  TimePoint startedAt{}; //!< Start of the last attempt.
  Duration waited{ 0 };  //!< From admission to the last attempt's start.
  Duration elapsed{ 0 }; //!< Of the last attempt.
  std::uint32_t attempts = 0;
};

}

#endif
