#include "system/ConfiguredStore.h"

#include "platform/Protocol.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

namespace hemlockhaven::Testing {

ConfiguredStore::ConfiguredStore(std::uint16_t aPort,
                                 const nlohmann::json& aConfiguration)
  : store_(context_, { boost::asio::ip::make_address("127.0.0.1"), aPort })
{
  store_.Put(Platform::Protocol::kOperatorTopic,
             Platform::Protocol::kConfigurationKey,
             aConfiguration.dump());
  thread_ = std::thread([this] { context_.run(); });
}

void ConfiguredStore::ListEndpoint(const std::string& aId,
                                   const std::string& aAddress)
{
  const nlohmann::json record{
    { "service", "s" },
    { "address", aAddress },
    { "zone", "zone-1" },
    { "state", "ready" },
    { "capacity", { { "cpu", 1000 }, { "mem_mb", 1024 }, { "gpus", 0 } } },
    { "labels", { "a", "r1-1" } },
    { "born", 1 }
  };
  boost::asio::post(context_, [this, aId, value = record.dump()] {
    store_.Put(Platform::Protocol::kEndpointTopic, aId, value);
  });
}

ConfiguredStore::~ConfiguredStore()
{
  context_.stop();
  thread_.join();
}

}
