#include "hemlockhaven/node/PeerHooks.h"

#include <future>
#include <memory>
#include <string>
#include <utility>

namespace hemlockhaven {

Result<Message> CallAndWait(const PeerHooks& aHooks,
                            std::string_view aNode,
                            const Message& aRequest,
                            Duration aLimit)
{
  if (!aHooks.call) {
    return Error::Unknown("call peer",
                          aNode,
                          Reason::HomeUnreachable,
                          "this daemon has no links to others");
  }
  // Shared, because a late reply may come after the wait has ended.
  auto reply = std::make_shared<std::promise<Result<Message>>>();
  std::future<Result<Message>> arrived = reply->get_future();
  aHooks.call(aNode, aRequest, aLimit, [reply](Result<Message>&& aReply) {
    reply->set_value(std::move(aReply));
  });
  return arrived.get();
}

}
