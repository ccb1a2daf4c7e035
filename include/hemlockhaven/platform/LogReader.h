#ifndef HEMLOCKHAVEN_PLATFORM_LOGREADER_H
#define HEMLOCKHAVEN_PLATFORM_LOGREADER_H

#include "hemlockhaven/platform/LogHooks.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace hemlockhaven {

//! A reader's progress in the log.
struct LogPosition
{
  LogOffset start = 0;    //!< First retained offset.
  LogOffset position = 0; //!< Records below it were read or lost.
  LogOffset next = 0;     //!< Offset of the next appended record.

  bool IsAtEnd() const { return position >= next; }
};

//! Hooks that receive the log in offset order. Empty hooks are skipped.
struct LogSubscriber
{
  //! This reader has lost the records in [aFrom, aTo). Called before any later
  //! record is delivered.
  std::function<void(LogOffset aFrom, LogOffset aTo)> gap;
  std::function<void(const LogRecord&)> record;
  //! Called after each page, including empty ones.
  std::function<void(const LogPosition&)> position;
};

//! Delivers log pages to subscribers in offset order: each record at most once,
//! and each gap before the records that follow it. Not thread-safe; only one
//! thread at a time may call Feed.
class LogReader
{
public:
  //! Must be called before the first Feed.
  void Subscribe(LogSubscriber aSubscriber);

  //! Processes the page returned by a read from Position().position.
  void Feed(const LogPage& aPage);

  const LogPosition& Position() const { return position_; }

  //! Number of records that retention removed before they were read.
  std::uint64_t LostCount() const { return lost_; }

private:
  void SkipTo(LogOffset aOffset);

  std::vector<LogSubscriber> subscribers_;
  LogPosition position_;
  std::uint64_t lost_ = 0;
};

}

#endif
