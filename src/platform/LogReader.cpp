#include "hemlockhaven/platform/LogReader.h"

#include <algorithm>
#include <utility>

namespace hemlockhaven {

void LogReader::Subscribe(LogSubscriber aSubscriber)
{
  subscribers_.push_back(std::move(aSubscriber));
}

void LogReader::Feed(const LogPage& aPage)
{
  // A delayed page may be older than the current position, which never moves
  // backwards.
  position_.start = std::max(position_.start, aPage.start);
  position_.next = std::max(position_.next, aPage.next);
  SkipTo(aPage.start);
  for (const LogRecord& record : aPage.records) {
    if (record.offset < position_.position) {
      continue;
    }
    SkipTo(record.offset);
    position_.position = record.offset + 1;
    position_.next = std::max(position_.next, position_.position);
    for (const LogSubscriber& subscriber : subscribers_) {
      if (subscriber.record) {
        subscriber.record(record);
      }
    }
  }
  for (const LogSubscriber& subscriber : subscribers_) {
    if (subscriber.position) {
      subscriber.position(position_);
    }
  }
}

void LogReader::SkipTo(LogOffset aOffset)
{
  if (aOffset <= position_.position) {
    return;
  }
  const LogOffset from = std::exchange(position_.position, aOffset);
  lost_ += aOffset - from;
  for (const LogSubscriber& subscriber : subscribers_) {
    if (subscriber.gap) {
      subscriber.gap(from, aOffset);
    }
  }
}

}
