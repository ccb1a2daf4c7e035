#ifndef HEMLOCKHAVEN_SRC_ADAPTERS_PLATFORMHTTP_H
#define HEMLOCKHAVEN_SRC_ADAPTERS_PLATFORMHTTP_H

#include "hemlockhaven/core/Result.h"
#include "hemlockhaven/core/Time.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace hemlockhaven {

//! Where a service of the platform listens.
struct PlatformAddress
{
  std::string address; //!< IP number.
  std::uint16_t port = 0;
  Duration timeout = std::chrono::seconds(2); //!< Of one call.
};

//! One HTTP request with a new connection. cxxtools' client silently sends a
//! request again when a kept connection turns out to be closed, so no
//! connection is kept.
struct PlatformRequest
{
  std::string_view method;
  std::string path;
  std::string query; //!< Without '?'.
  std::string_view body;
};

//! Makes the request and returns the JSON body of a whole 200 reply. A reply
//! without Content-Length is not whole. Errors say not-run only if the
//! connection was refused or the reply has status 503.
Result<nlohmann::json> CallPlatform(const PlatformAddress& aAddress,
                                    const PlatformRequest& aRequest);

}

#endif
