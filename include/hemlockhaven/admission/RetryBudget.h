#ifndef HEMLOCKHAVEN_ADMISSION_RETRYBUDGET_H
#define HEMLOCKHAVEN_ADMISSION_RETRYBUDGET_H

#include "hemlockhaven/core/Time.h"

#include <cstdint>

namespace hemlockhaven {

//! Limits the retries of one caller to a share of its first attempts in the
//! last 10 to 20 s. One retry is always allowed, so that a caller with few
//! requests does not lose one to a single fault.
class RetryBudget
{
public:
  void CountFirst(TimePoint aNow);

  //! Takes one retry; false if the budget is exhausted.
  bool Take(double aShare, TimePoint aNow);

private:
  struct Window
  {
    std::uint64_t firsts = 0;
    std::uint64_t retries = 0;
  };

  void Roll(TimePoint aNow);

  Window current_;
  Window previous_;
  TimePoint start_{};
};

}

#endif
