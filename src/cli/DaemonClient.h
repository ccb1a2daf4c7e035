#ifndef HEMLOCKHAVEN_SRC_CLI_DAEMONCLIENT_H
#define HEMLOCKHAVEN_SRC_CLI_DAEMONCLIENT_H

#include "hemlockhaven/core/Result.h"
#include "hemlockhaven/core/Time.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace hemlockhaven {

//! A whole reply of a daemon.
struct DaemonReply
{
  unsigned status = 0;
  nlohmann::json body; //!< Discarded value if the reply is not JSON.
  std::string text;    //!< The body as it came.
};

//! Sends requests that are safe to repeat to one server of a daemon.
//!
//! Errors: Reason::ConnectRefused with "not run" if there was no connection;
//! Reason::ConnectionLost or ReplyTruncated with "unknown" afterwards.
class DaemonClient
{
public:
  //! aServer: "IP number:port".
  explicit DaemonClient(std::string aServer);

  Result<DaemonReply> Send(std::string_view aMethod,
                           const std::string& aPath,
                           const std::string& aQuery = {},
                           const std::string& aBody = {},
                           Duration aLimit = std::chrono::seconds(70)) const;

  const std::string& Server() const { return server_; }

private:
  std::string server_;
};

}

#endif
