#include "adapters/PlatformHttp.h"

#include <cxxtools/http/client.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/replyheader.h>
#include <cxxtools/http/request.h>

#include <cerrno>
#include <exception>

namespace hemlockhaven {

namespace {

constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusServiceUnavailable = 503;

Error MakeError(const PlatformAddress& aAddress,
                const PlatformRequest& aRequest,
                Ran aRan,
                std::string_view aDetail)
{
  Error error = Error::Unknown(
    aRequest.path,
    aAddress.address + ":" + std::to_string(aAddress.port),
    aRan == Ran::NotRun ? Reason::LogUnavailable : Reason::ConnectionLost,
    aDetail);
  error.ran = aRan;
  return error;
}

//! Whether the connection was refused. cxxtools reports the cause only in the
//! exception text; unrecognized texts are treated as an unknown outcome.
bool IsConnectionRefused(const std::exception& aError)
{
  static const std::string kRefusedErrno =
    "errno " + std::to_string(ECONNREFUSED) + ":";
  const std::string_view text = aError.what();
  return text.find("failed to connect") != std::string_view::npos &&
         text.find(kRefusedErrno) != std::string_view::npos;
}

Result<nlohmann::json> SendRequest(const PlatformAddress& aAddress,
                                   const PlatformRequest& aRequest)
{
  const cxxtools::Milliseconds timeout(
    std::chrono::duration<double, std::milli>(aAddress.timeout).count());
  cxxtools::http::Client client(aAddress.address, aAddress.port);
  cxxtools::http::Request request(aRequest.path);
  request.method(std::string(aRequest.method));
  request.qparams(aRequest.query);
  request.body() << aRequest.body;
  const cxxtools::http::ReplyHeader& header =
    client.execute(request, timeout, timeout);
  const unsigned status = header.httpReturnCode();
  const char* lengthHeader = header.getHeader("Content-Length");
  const std::string contentLength = lengthHeader == nullptr ? "" : lengthHeader;
  client.readBody();
  const std::string body = client.body();
  if (status != kStatusOk) {
    return MakeError(aAddress,
                     aRequest,
                     status == kStatusServiceUnavailable ? Ran::NotRun
                                                         : Ran::Unknown,
                     "HTTP status " + std::to_string(status));
  }
  if (contentLength != std::to_string(body.size())) {
    return MakeError(
      aAddress,
      aRequest,
      Ran::Unknown,
      "incomplete reply: body bytes and Content-Length differ: " +
        std::to_string(body.size()) + " and '" + contentLength + "'");
  }
  return nlohmann::json::parse(body);
}

}

Result<nlohmann::json> CallPlatform(const PlatformAddress& aAddress,
                                    const PlatformRequest& aRequest)
{
  try {
    return SendRequest(aAddress, aRequest);
  } catch (const std::exception& error) {
    return MakeError(aAddress,
                     aRequest,
                     IsConnectionRefused(error) ? Ran::NotRun : Ran::Unknown,
                     error.what());
  }
}

}
