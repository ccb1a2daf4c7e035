#include "http/EndpointClient.h"

#include "http/EndpointIo.h"

#include <functional>
#include <string_view>
#include <utility>

namespace hemlockhaven {

EndpointClient::EndpointClient(EndpointClientLimits aLimits,
                               std::string_view aAttemptPrefix,
                               Counters& aCounters,
                               const Finished& aFinished)
{
  for (std::size_t i = 0; i < aLimits.threads; ++i) {
    shards_.push_back(std::make_unique<Detail::EndpointIo>(
      aLimits, std::string(aAttemptPrefix), aCounters, aFinished));
  }
}

EndpointClient::~EndpointClient()
{
  // All are stopped before one is destroyed, because the end of an attempt on
  // one may send another attempt that maps to another.
  for (const auto& shard : shards_) {
    shard->Stop();
  }
}

void EndpointClient::Send(const Attempt& aAttempt)
{
  const std::size_t hash = std::hash<std::string>()(aAttempt.endpoint);
  shards_[hash % shards_.size()]->Post(aAttempt);
}

}
