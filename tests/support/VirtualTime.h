#ifndef HEMLOCKHAVEN_TESTS_SUPPORT_VIRTUALTIME_H
#define HEMLOCKHAVEN_TESTS_SUPPORT_VIRTUALTIME_H

#include "hemlockhaven/core/Time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace hemlockhaven::Testing {

//! Discrete-event simulation clock. Time advances only from one scheduled event
//! to the next.
class VirtualTime
{
public:
  TimePoint Now() const { return now_; }
  Clock AsClock()
  {
    return [this] { return now_; };
  }

  void ScheduleAt(TimePoint aTime, std::function<void()> aEvent)
  {
    events_.emplace(
      std::make_pair(aTime < now_ ? now_ : aTime, ++lastSequence_),
      std::move(aEvent));
  }
  void ScheduleAfter(Duration aDelay, std::function<void()> aEvent)
  {
    ScheduleAt(now_ + aDelay, std::move(aEvent));
  }

  //! Runs all events up to and including aEnd, in order.
  void RunUntil(TimePoint aEnd)
  {
    while (!events_.empty() && events_.begin()->first.first <= aEnd) {
      auto first = events_.extract(events_.begin());
      now_ = first.key().first;
      first.mapped()();
    }
    now_ = aEnd;
  }
  void RunFor(Duration aDuration) { RunUntil(now_ + aDuration); }

private:
  TimePoint now_{ std::chrono::hours(1) };
  std::uint64_t lastSequence_ = 0; //!< Orders events with equal times.
  std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> events_;
};

}

#endif
