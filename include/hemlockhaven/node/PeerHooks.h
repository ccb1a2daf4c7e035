#ifndef HEMLOCKHAVEN_NODE_PEERHOOKS_H
#define HEMLOCKHAVEN_NODE_PEERHOOKS_H

#include "hemlockhaven/core/Result.h"
#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/membership/Messages.h"

#include <functional>
#include <string_view>

namespace hemlockhaven {

//! The ways to other daemons.
struct PeerHooks
{
  //! Receives the reply, or an error whose `ran` says whether the request may
  //! have reached the peer.
  using Done = std::function<void(Result<Message>&&)>;

  //! Sends a notice; it may be lost.
  std::function<void(std::string_view aNode, const Message&)> send;

  //! Sends a request; Done is called once, on any thread.
  std::function<
    void(std::string_view aNode, const Message&, Duration aLimit, Done)>
    call;
};

//! Calls a peer and waits for the reply.
Result<Message> CallAndWait(const PeerHooks& aHooks,
                            std::string_view aNode,
                            const Message& aRequest,
                            Duration aLimit);

}

#endif
