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

//! A batch of records read from the log, in offset order.
struct LogPage
{
  LogOffset start = 0; //!< First retained offset.
  LogOffset next = 0;  //!< Offset of the next appended record.
  std::vector<LogRecord> records;
};

//! Access to the platform's append-only log. Both hooks block. If append fails
//! with Ran::Unknown, the record may have been appended.
struct LogHooks
{
  std::function<Result<LogOffset>(std::string_view aData)> append;
  //! Reads up to aMaxRecords records, starting at aFrom or at the first
  //! retained record after it.
  std::function<Result<LogPage>(LogOffset aFrom, std::size_t aMaxRecords)> read;
};

}

#endif
