#include "hemlockhaven/scheduler/CancelledWorks.h"

#include <iterator>

namespace hemlockhaven {

CancelledWorks::CancelledWorks(std::size_t aMaxWorks)
  : maxWorks_(aMaxWorks)
{
}

bool CancelledWorks::IsExpired(const Entry& aEntry, TimePoint aNow)
{
  return aNow - aEntry.cancelledAt >= kRetention;
}

void CancelledWorks::EraseOldest()
{
  byId_.erase(entries_.front().id);
  entries_.pop_front();
}

bool CancelledWorks::Add(std::string_view aWorkId, TimePoint aNow)
{
  Expire(aNow);
  const auto found = byId_.find(aWorkId);
  if (found != byId_.end()) {
    found->second->cancelledAt = aNow;
    entries_.splice(entries_.end(), entries_, found->second);
    return false;
  }
  const bool isFull = byId_.size() >= maxWorks_;
  if (isFull) {
    EraseOldest();
  }
  entries_.push_back({ std::string(aWorkId), aNow });
  const auto last = std::prev(entries_.end());
  byId_.emplace(last->id, last);
  return isFull;
}

bool CancelledWorks::Contains(std::string_view aWorkId, TimePoint aNow) const
{
  const auto found = byId_.find(aWorkId);
  return found != byId_.end() && !IsExpired(*found->second, aNow);
}

void CancelledWorks::Expire(TimePoint aNow)
{
  while (!entries_.empty() && IsExpired(entries_.front(), aNow)) {
    EraseOldest();
  }
}

std::vector<std::string> CancelledWorks::Ids(TimePoint aNow) const
{
  std::vector<std::string> ids;
  ids.reserve(entries_.size());
  for (const Entry& entry : entries_) {
    if (!IsExpired(entry, aNow)) {
      ids.push_back(entry.id);
    }
  }
  return ids;
}

}
