#ifndef HEMLOCKHAVEN_NODE_NODEHOOKS_H
#define HEMLOCKHAVEN_NODE_NODEHOOKS_H

#include "hemlockhaven/configuration/Configuration.h"
#include "hemlockhaven/configuration/ConfigurationRecord.h"
#include "hemlockhaven/core/Guard.h"
#include "hemlockhaven/core/Result.h"
#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/dispatch/Attempt.h"
#include "hemlockhaven/dispatch/DispatcherPolicy.h"
#include "hemlockhaven/history/HistoryBatch.h"
#include "hemlockhaven/node/PeerHooks.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace hemlockhaven {

//! What a node needs from outside. All hooks are called outside of locks.
//! Empty ones mean that the part is absent, as in an embedded node.
struct NodeHooks
{
  Clock clock;
  WallClock wallClock;
  std::function<std::uint64_t()> random;

  //! Sends an attempt; Node::FinishAttempt must be called once for it.
  std::function<void(const Attempt&)> sendAttempt;

  PeerHooks peers;

  // The platform's log; they block. Empty: there is no log.
  std::function<Result<LogOffset>(const ConfigurationState&)> appendSnapshot;
  std::function<Result<LogOffset>(const HistoryBatch&)> appendHistory;

  // The form in which peers exchange the operators' document.
  std::function<std::string(const Configuration&)> encodeConfiguration;
  std::function<Result<Configuration>(std::string_view)> decodeConfiguration;

  DispatcherPolicy policy;
  GuardHook guard; //!< Empty in production.
};

}

#endif
