#ifndef HEMLOCKHAVEN_ADMISSION_RECENTREFUSALS_H
#define HEMLOCKHAVEN_ADMISSION_RECENTREFUSALS_H

#include "hemlockhaven/core/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace hemlockhaven {

//! The last refusal for lack of resources in each group. Similar work is
//! refused without a forecast, which saves most forecasts under overload. A
//! value type; not thread-safe.
class RecentRefusals
{
public:
  //! Shorter than the shortest task, so that few resources become free in it.
  static constexpr Duration kReuseTime{ 4000 };
  //! The entries of further groups replace all others.
  static constexpr std::size_t kMaxGroups = 64;

  struct Entry
  {
    std::string_view group;
    Duration slack{ 0 };        //!< Time that the work may wait.
    std::int64_t cpuMillis = 0; //!< Of all its tasks.
    std::string_view rack{};    //!< That it prefers; empty: none.
  };

  void Record(const Entry& aRefused, TimePoint aNow);

  //! Whether work that required no more, in at least as much time, was refused
  //! in its group and for the same rack just now.
  bool Resembles(const Entry& aNew, TimePoint aNow) const;

private:
  struct Refusal
  {
    TimePoint at{};
    Duration slack{ 0 };
    std::int64_t cpuMillis = 0;
    std::string rack;
  };

  std::map<std::string, Refusal, std::less<>> last_;
};

}

#endif
