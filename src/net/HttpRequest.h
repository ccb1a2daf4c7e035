#ifndef HEMLOCKHAVEN_SRC_NET_HTTPREQUEST_H
#define HEMLOCKHAVEN_SRC_NET_HTTPREQUEST_H

#include "hemlockhaven/core/Time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace hemlockhaven {

//! One request to a server.
struct HttpRequest
{
  std::string address; //!< "IP:port"
  std::string method = "GET";
  std::string target; //!< Path and query.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string contentType = "application/json"; //!< Of the body, if any.
  std::string body;
  Duration timeout{ 1000000 }; //!< From the call to the whole answer.
};

//! What is known of a request that ended.
enum class HttpOutcome : std::uint8_t
{
  Answered, //!< A whole answer with its length or last chunk arrived.
  NotSent,  //!< No byte of the request left this process.
  Unknown,  //!< The server may have acted on it, or may yet.
};

//! The end of a call.
struct HttpResult
{
  HttpOutcome end = HttpOutcome::Unknown;
  unsigned status = 0; //!< With Answered.
  std::string body;    //!< With Answered.
  std::string detail;  //!< Otherwise: what went wrong.
};

using HttpCallback = std::function<void(HttpResult)>;

}

#endif
