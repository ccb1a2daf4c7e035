#ifndef HEMLOCKHAVEN_SRC_ADAPTERS_PLATFORMHTTP_H
#define HEMLOCKHAVEN_SRC_ADAPTERS_PLATFORMHTTP_H

#include "hemlockhaven/core/Result.h"
#include "hemlockhaven/core/Time.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace hemlockhaven {

//! Address of a platform service.
struct PlatformAddress
{
  std::string address; //!< IP address.
  std::uint16_t port = 0;
  Duration timeout = std::chrono::seconds(2); //!< Per request.
};

//! An HTTP request, sent on a new connection. Connections are not reused:
//! cxxtools' client silently resends a request if a kept-alive connection turns
//! out to be closed.
struct PlatformRequest
{
  std::string_view method;
  std::string path;
  std::string query; //!< Without '?'.
  std::string_view body;
};

//! Sends the request and returns the JSON body of a complete 200 reply. A reply
//! without Content-Length counts as incomplete. Errors have Ran::NotRun only if
//! the connection was refused or the reply has status 503.
Result<nlohmann::json> CallPlatform(const PlatformAddress& aAddress,
                                    const PlatformRequest& aRequest);

}

#endif
