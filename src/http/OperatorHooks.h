#ifndef HEMLOCKHAVEN_SRC_HTTP_OPERATORHOOKS_H
#define HEMLOCKHAVEN_SRC_HTTP_OPERATORHOOKS_H

#include "hemlockhaven/core/Result.h"
#include "hemlockhaven/dispatch/Dispatcher.h"
#include "hemlockhaven/history/RequestRecord.h"
#include "net/MemoryReservation.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockhaven {

//! What a daemon shows of a peer.
struct PeerStatus
{
  std::string name;
  std::string address; //!< IP number and port.
  std::string zone;
  std::string state; //!< "live", "suspect", "dead" or "leaving".
};

//! What operators see of one daemon.
struct NodeStatus
{
  std::string name;
  std::string incarnation; //!< Hexadecimal.
  std::string zone;
  bool ready = false;
  bool shuttingDown = false;
  std::size_t queued = 0;         //!< Tasks.
  std::size_t running = 0;        //!< Attempts.
  std::size_t jobsRunning = 0;    //!< Of this home.
  std::size_t jobsKept = 0;       //!< Of this home, finished ones included.
  std::size_t waitingCallers = 0; //!< That wait for an answer.
  std::uint64_t configurationVersion = 0;
  std::vector<EndpointStatus> endpoints;
  std::vector<CallerStatus> callers;
  std::vector<PeerStatus> peers;
};

//! Records with one sentence for each.
struct WhereAnswer
{
  std::vector<RequestRecord> records;
  std::vector<std::string> sentences; //!< In the order of the records.
  std::string note;                   //!< What may be missing; may be empty.
};

//! The configuration in force.
struct ConfigurationView
{
  std::uint64_t version = 0;
  std::string document; //!< JSON.
};

//! An operator's wish to drain endpoints or to take them back.
struct DrainOrder
{
  Selector selector; //!< Over labels of endpoints.
  bool drain = true; //!< False: take them back.
};

//! What the operators' routes need. All hooks are called outside of locks and
//! may block; an empty hook is answered with not-ready.
struct OperatorHooks
{
  //! An error says why this daemon is not ready.
  std::function<Result<void>()> readiness;
  std::function<NodeStatus()> status;
  std::function<Result<WhereAnswer>(const WhereQuery&)> where;
  //! Milliseconds since the Unix epoch of a text such as "10 min ago".
  std::function<Result<std::int64_t>(std::string_view)> parseSince;
  std::function<Result<ConfigurationView>()> configuration;
  //! Checks a document without publishing it. Its memory is reserved.
  std::function<Result<void>(std::string_view aDocument,
                             const ReserveHook& aReserve)>
    checkConfiguration;
  //! Publishes a document on the version that it was made from; the new
  //! version. Its memory is reserved.
  std::function<Result<std::uint64_t>(std::uint64_t aBase,
                                      std::string_view aDocument,
                                      const ReserveHook& aReserve)>
    publishConfiguration;
  //! The number of endpoints that the order is about.
  std::function<Result<std::size_t>(const DrainOrder&)> drain;
  //! The text of GET /metrics.
  std::function<std::string()> metrics;
};

}

#endif
