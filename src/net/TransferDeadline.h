#ifndef HEMLOCKHAVEN_SRC_NET_TRANSFERDEADLINE_H
#define HEMLOCKHAVEN_SRC_NET_TRANSFERDEADLINE_H

#include "hemlockhaven/core/Time.h"

#include <optional>

namespace hemlockhaven::Detail {

//! When to give a transfer up: at the end of its timeout, or earlier if no byte
//! arrives for a stall time.
class TransferDeadline
{
public:
  //! Without a stall time progress has no effect.
  TransferDeadline(Duration aTimeout,
                   std::optional<Duration> aStallTimeout,
                   TimePoint aStart);

  //! Bytes have arrived.
  void OnProgress(TimePoint aNow);

  TimePoint At() const;

private:
  TimePoint latest_;
  std::optional<Duration> stallTimeout_;
  TimePoint lastProgressAt_;
};

}

#endif
