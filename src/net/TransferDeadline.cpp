#include "net/TransferDeadline.h"

#include <algorithm>

namespace hemlockhaven::Detail {

TransferDeadline::TransferDeadline(Duration aTimeout,
                                   std::optional<Duration> aStallTimeout,
                                   TimePoint aStart)
  : latest_(aStart + aTimeout)
  , stallTimeout_(aStallTimeout)
  , lastProgressAt_(aStart)
{
}

void TransferDeadline::OnProgress(TimePoint aNow)
{
  lastProgressAt_ = aNow;
}

TimePoint TransferDeadline::At() const
{
  return stallTimeout_ ? std::min(latest_, lastProgressAt_ + *stallTimeout_)
                       : latest_;
}

}
