#ifndef HEMLOCKHAVEN_ADMISSION_TASKHISTORY_H
#define HEMLOCKHAVEN_ADMISSION_TASKHISTORY_H

#include "hemlockhaven/core/Refusal.h"

#include <cstdint>
#include <string>

namespace hemlockhaven {

//! What earlier attempts of a task came to.
struct TaskHistory
{
  std::uint32_t attempts = 0;
  std::uint32_t refusals = 0; //!< Attempts that did not start.
  std::uint32_t further = 0;  //!< Attempts after it may have run.
  Ran ran = Ran::NotRun;      //!< Over all attempts.
  std::string lostEndpoint;   //!< Of the last attempt with unknown outcome.
};

}

#endif
