#include "hemlockhaven/admission/RecentRefusals.h"

namespace hemlockhaven {

void RecentRefusals::Record(const Entry& aRefused, TimePoint aNow)
{
  auto found = last_.find(aRefused.group);
  if (found == last_.end()) {
    if (last_.size() >= kMaxGroups) {
      last_.clear();
    }
    found = last_.try_emplace(std::string(aRefused.group)).first;
  }
  found->second = {
    aNow, aRefused.slack, aRefused.cpuMillis, std::string(aRefused.rack)
  };
}

bool RecentRefusals::Resembles(const Entry& aNew, TimePoint aNow) const
{
  const auto found = last_.find(aNew.group);
  return found != last_.end() && aNow - found->second.at <= kReuseTime &&
         aNew.slack <= found->second.slack &&
         aNew.cpuMillis >= found->second.cpuMillis &&
         aNew.rack == found->second.rack;
}

}
