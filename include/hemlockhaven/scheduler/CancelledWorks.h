#ifndef HEMLOCKHAVEN_SCHEDULER_CANCELLEDWORKS_H
#define HEMLOCKHAVEN_SCHEDULER_CANCELLEDWORKS_H

#include "hemlockhaven/core/Time.h"

#include <cstddef>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hemlockhaven {

//! Remembers which jobs were cancelled, so that a submission that arrives after
//! the cancel does not start the job. Bounded in number and time; the oldest
//! are evicted first. Not thread-safe.
class CancelledWorks
{
public:
  //! Copies of a request that a network has held back arrive within a few
  //! seconds.
  static constexpr Duration kRetention{ 30000000 };
  //! About 4 MB; over 600 cancels a second for the whole retention.
  static constexpr std::size_t kMaxWorks = 20000;

  explicit CancelledWorks(std::size_t aMaxWorks = kMaxWorks);
  CancelledWorks(const CancelledWorks&) = delete;
  CancelledWorks& operator=(const CancelledWorks&) = delete;

  //! Remembers the job from now on. Returns whether another one was evicted
  //! before its retention had passed.
  bool Add(std::string_view aWorkId, TimePoint aNow);

  bool Contains(std::string_view aWorkId, TimePoint aNow) const;

  //! Forgets the jobs whose retention has passed.
  void Expire(TimePoint aNow);

  //! The remembered jobs, oldest first.
  std::vector<std::string> Ids(TimePoint aNow) const;

  std::size_t Size() const { return byId_.size(); }

private:
  struct Entry
  {
    std::string id;
    TimePoint cancelledAt{};
  };
  using Entries = std::list<Entry>;

  static bool IsExpired(const Entry& aEntry, TimePoint aNow);
  void EraseOldest();

  const std::size_t maxWorks_;
  Entries entries_; //!< Oldest first.
  //! The keys are views of the ids in entries_.
  std::unordered_map<std::string_view, Entries::iterator> byId_;
};

}

#endif
