#include "system/ConfiguredStore.h"

#include "platform/Protocol.h"

#include <boost/asio/ip/address.hpp>
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

ConfiguredStore::~ConfiguredStore()
{
  context_.stop();
  thread_.join();
}

}
