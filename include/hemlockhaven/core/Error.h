#ifndef HEMLOCKHAVEN_CORE_ERROR_H
#define HEMLOCKHAVEN_CORE_ERROR_H

#include "hemlockhaven/core/Refusal.h"
#include "hemlockhaven/core/Time.h"

#include <string>
#include <string_view>

namespace hemlockhaven {

//! An error with the step and the peer at which it arose.
struct Error
{
  std::string step; //!< For example "claim" or "connect".
  std::string peer; //!< Address or id; empty for this process.
  Reason reason = Reason::Internal;
  Ran ran = Ran::Unknown;   //!< What is known about the request.
  Duration retryAfter{ 0 }; //!< When to try again; zero: do not.
  std::string detail;       //!< One sentence for a person.

  //! An error about a request that certainly did not run.
  static Error NotRun(std::string_view aStep,
                      Reason aReason,
                      std::string_view aDetail,
                      Duration aRetryAfter = Duration{ 0 });

  //! An error about a request that may have run.
  static Error Unknown(std::string_view aStep,
                       std::string_view aPeer,
                       Reason aReason,
                       std::string_view aDetail,
                       Duration aRetryAfter = Duration{ 0 });

  //! One line for logs: step, peer, reason, and detail.
  std::string Describe() const;
};

}

#endif
