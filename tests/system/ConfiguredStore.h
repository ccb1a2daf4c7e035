#ifndef HEMLOCKHAVEN_TESTS_SYSTEM_CONFIGUREDSTORE_H
#define HEMLOCKHAVEN_TESTS_SYSTEM_CONFIGUREDSTORE_H

#include "soak/StoreStandIn.h"

#include <nlohmann/json_fwd.hpp>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <string>
#include <thread>

namespace hemlockhaven::Testing {

//! A stand-in of the platform's store, with a thread of its own, that holds a
//! configuration.
class ConfiguredStore
{
public:
  ConfiguredStore(std::uint16_t aPort, const nlohmann::json& aConfiguration);
  ~ConfiguredStore();
  ConfiguredStore(const ConfiguredStore&) = delete;
  ConfiguredStore& operator=(const ConfiguredStore&) = delete;

  //! Lists an endpoint at an address where nothing listens.
  void ListEndpoint(const std::string& aId, const std::string& aAddress);

private:
  boost::asio::io_context context_{ 1 };
  Soak::StoreStandIn store_;
  std::thread thread_;
};

}

#endif
