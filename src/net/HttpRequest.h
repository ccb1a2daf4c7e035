#ifndef HEMLOCKHAVEN_SRC_NET_HTTPREQUEST_H
#define HEMLOCKHAVEN_SRC_NET_HTTPREQUEST_H

#include "hemlockhaven/core/Time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace hemlockhaven {

//! Limits a request to one incarnation of its server; a server that restarts at
//! its address is another one. A connection leads to the incarnation that
//! accepted it, so that it has to be identified only once.
struct IncarnationCheck
{
  std::int64_t expected = 0; //!< The request is sent to no other one.
  //! POST that is sent first on a connection whose incarnation is not known
  //! yet, with the headers and within the timeout of the request itself.
  std::string target;
  std::string body;
};

struct HttpResult;

//! A request to a server.
struct HttpRequest
{
  std::string address; //!< "IP:port"
  std::string method = "GET";
  std::string target; //!< Path and query.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string contentType = "application/json"; //!< Of the body, if any.
  std::string body;
  Duration timeout{ 1000000 }; //!< From Send to the complete response.
  //! If set, the request also fails when no byte arrives for this long.
  std::optional<Duration> stallTimeout;
  std::optional<IncarnationCheck> incarnationCheck;
  //! Returns the incarnation that a response names, 0 if it names none. Called
  //! for the responses on a connection until one of them names it.
  std::function<std::int64_t(const HttpResult&)> readIncarnation;
};

//! What is known about a request after it ended.
enum class HttpOutcome : std::uint8_t
{
  Answered, //!< A complete response with a length or last chunk arrived.
  NotSent,  //!< No byte of the request was sent.
  //! The same, since another incarnation of the server answers there.
  OtherIncarnation,
  Unknown, //!< The server may have processed it, or still may.
};

//! The response to a request, or the reason why there is none.
struct HttpResult
{
  HttpOutcome end = HttpOutcome::Unknown;
  unsigned status = 0;           //!< Only if Answered.
  std::string body;              //!< Only if Answered.
  std::string detail;            //!< The error, unless Answered.
  std::size_t receivedBytes = 0; //!< Of the body, which may be incomplete.
};

using HttpCallback = std::function<void(HttpResult)>;

}

#endif
