#include "fuzz/node/FakeLog.h"

#include <algorithm>
#include <cstdlib>
#include <string>
#include <utility>

namespace hemlockhaven::Fuzz {

namespace {

// One answer in so many is lost before or after the append took effect.
constexpr std::uint32_t kLostOneIn = 16;

}

Result<LogOffset> FakeLog::Append(Record aRecord, std::uint32_t aFate)
{
  if (down_) {
    return Error::NotRun("append", Reason::LogUnavailable, "the log is down");
  }
  if (aFate % kLostOneIn == 0) {
    if ((aFate / kLostOneIn) % 2 == 0) {
      records_.push_back(std::move(aRecord));
    }
    return Error::Unknown(
      "append", "log", Reason::LogUnavailable, "the answer was lost");
  }
  records_.push_back(std::move(aRecord));
  return records_.size() - 1;
}

Result<LogPage> FakeLog::Read(LogOffset aFrom) const
{
  if (down_) {
    return Error::NotRun("read", Reason::LogUnavailable, "the log is down");
  }
  LogPage page;
  page.start = start_;
  page.next = records_.size();
  for (LogOffset at = std::max(aFrom, start_); at < page.next; ++at) {
    page.records.push_back({ at, std::to_string(at) });
  }
  return page;
}

const FakeLog::Record& FakeLog::At(const LogRecord& aRecord) const
{
  return records_[std::strtoull(aRecord.data.c_str(), nullptr, 10)];
}

void FakeLog::Retain(std::size_t aMost)
{
  if (records_.size() > aMost) {
    start_ = std::max<LogOffset>(start_, records_.size() - aMost);
  }
}

}
