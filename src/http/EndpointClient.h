#ifndef HEMLOCKHAVEN_SRC_HTTP_ENDPOINTCLIENT_H
#define HEMLOCKHAVEN_SRC_HTTP_ENDPOINTCLIENT_H

#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/dispatch/Attempt.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <vector>

namespace hemlockhaven {

class Counters;

namespace Detail {
class EndpointIo;
}

//! Bounds of the connections to endpoints.
struct EndpointClientLimits
{
  std::size_t threads = 2;
  std::size_t connectionsPerEndpoint = 30;
  std::size_t answerBytes = 16U << 20U;
  Duration connectLimit = std::chrono::seconds(1);
  Duration probeAfterIdle = std::chrono::seconds(5);
  Duration probeLimit = std::chrono::seconds(1);
  Duration idleLimit = std::chrono::seconds(30); //!< Then it is closed.
};

//! Sends attempts to endpoints over kept HTTP connections.
//!
//! It is built on Boost.Beast and not on cxxtools' client, because that client
//! sends a request again without saying so when a kept connection is lost,
//! which starts a non-idempotent request twice, and because it takes a chunked
//! reply that was cut off as whole.
class EndpointClient
{
public:
  //! Called once for each attempt, on a thread of this client or, while it is
  //! being destroyed, within Send.
  using Finished = std::function<void(AttemptId, AttemptResult&&)>;

  EndpointClient(EndpointClientLimits aLimits,
                 std::string_view aAttemptPrefix,
                 Counters& aCounters,
                 const Finished& aFinished);
  //! Ends all attempts that have not ended as unknown and joins the threads.
  //! An attempt that is sent meanwhile ends at once, as unknown too.
  ~EndpointClient();
  EndpointClient(const EndpointClient&) = delete;
  EndpointClient& operator=(const EndpointClient&) = delete;

  //! Sends the attempt; may be called on any thread.
  void Send(const Attempt& aAttempt);

private:
  std::vector<std::unique_ptr<Detail::EndpointIo>> shards_;
};

}

#endif
