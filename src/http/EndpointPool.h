#ifndef HEMLOCKHAVEN_SRC_HTTP_ENDPOINTPOOL_H
#define HEMLOCKHAVEN_SRC_HTTP_ENDPOINTPOOL_H

#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/dispatch/Attempt.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace hemlockhaven::Detail {

class EndpointConnection;

//! An attempt with the time at which its limit passes.
struct PendingAttempt
{
  Attempt attempt;
  TimePoint deadline{};
};

//! Connections to one endpoint and the attempts that wait for one.
struct EndpointPool
{
  using ConnectionPtr = std::shared_ptr<EndpointConnection>;

  std::string address;
  std::uint16_t port = 0;
  std::uint64_t generation = 0;    //!< Rises when the address changes.
  std::vector<ConnectionPtr> idle; //!< The last used one is at the back.
  std::vector<ConnectionPtr> all;
  std::deque<PendingAttempt> waiting; //!< For a connection.
};

}

#endif
