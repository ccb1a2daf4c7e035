#ifndef HEMLOCKHAVEN_CORE_RESULT_H
#define HEMLOCKHAVEN_CORE_RESULT_H

#include "hemlockhaven/core/Error.h"

#include <boost/outcome/outcome.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

namespace hemlockhaven {

namespace outcome = boost::outcome_v2;

//! A value or an Error. Reading the wrong one terminates the process.
template<typename T>
using Result = outcome::basic_result<T, Error, outcome::policy::terminate>;

}

#endif
