#ifndef HEMLOCKHAVEN_PLATFORM_LOGHOOKS_H
#define HEMLOCKHAVEN_PLATFORM_LOGHOOKS_H

#include "hemlockhaven/core/Result.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockhaven {

//! Position of a record in the platform's log.
using LogOffset = std::uint64_t;

struct LogRecord
{
  LogOffset offset = 0;
  std::string data;
};

//! Part of the log, in order of offset.
struct LogPage
{
  LogOffset start = 0; //!< First offset that the log still retains.
  LogOffset next = 0;  //!< Offset that the next appended record gets.
  std::vector<LogRecord> records;
};

//! The platform's append-only log. Both hooks block; an error of Append with
//! Ran::Unknown means that the record may have been appended.
struct LogHooks
{
  std::function<Result<LogOffset>(std::string_view aData)> append;
  //! Reads up to aMaxRecords records from aFrom or the first retained one after
  //! it.
  std::function<Result<LogPage>(LogOffset aFrom, std::size_t aMaxRecords)> read;
};

}

#endif
