#include "cli/DaemonClient.h"

#include <cxxtools/http/client.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>

#include <charconv>
#include <exception>
#include <utility>

namespace hemlockhaven {

namespace {

constexpr Duration kConnectLimit = std::chrono::seconds(3);

cxxtools::Milliseconds InMilliseconds(Duration aDuration)
{
  return cxxtools::Milliseconds(
    std::chrono::duration<double, std::milli>(aDuration).count());
}

//! Whether the reply has a Content-Length and a body of that length. cxxtools
//! takes a reply that was cut off as whole.
bool IsWhole(const char* aLength, std::string_view aBody)
{
  if (aLength == nullptr) {
    return false;
  }
  const std::string_view text = aLength;
  std::size_t length = 0;
  const char* last = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), last, length);
  return parsed.ec == std::errc() && parsed.ptr == last &&
         length == aBody.size();
}

}

DaemonClient::DaemonClient(std::string aServer)
  : server_(std::move(aServer))
{
}

Result<DaemonReply> DaemonClient::Send(std::string_view aMethod,
                                       const std::string& aPath,
                                       const std::string& aQuery,
                                       const std::string& aBody,
                                       Duration aLimit) const
{
  const std::size_t colon = server_.rfind(':');
  std::uint16_t port = 0;
  const char* last = server_.data() + server_.size();
  const bool isAddress =
    colon != std::string::npos &&
    std::from_chars(server_.data() + colon + 1, last, port).ptr == last;
  if (!isAddress || port == 0) {
    return Error::NotRun(
      "connect", Reason::MalformedRequest, "expected IP number:port");
  }
  cxxtools::http::Client client;
  try {
    client.prepareConnect(server_.substr(0, colon), port);
    client.connect();
  } catch (const std::exception& problem) {
    Error error =
      Error::NotRun("connect", Reason::ConnectRefused, problem.what());
    error.peer = server_;
    return error;
  }
  try {
    cxxtools::http::Request request(aPath);
    request.method(std::string(aMethod));
    request.qparams(aQuery);
    request.setHeader("Content-Type", "application/json");
    request.body() << aBody;
    const auto& header = client.execute(
      request, InMilliseconds(aLimit), InMilliseconds(kConnectLimit));
    DaemonReply reply;
    reply.status = header.httpReturnCode();
    const char* length = header.getHeader("Content-Length");
    const std::string declared = length == nullptr ? "" : length;
    reply.text = client.readBody();
    if (!IsWhole(length == nullptr ? nullptr : declared.c_str(), reply.text)) {
      return Error::Unknown("read reply",
                            server_,
                            Reason::ReplyTruncated,
                            "the reply is not whole");
    }
    reply.body = nlohmann::json::parse(reply.text, nullptr, false);
    return reply;
  } catch (const std::exception& problem) {
    return Error::Unknown(
      "send", server_, Reason::ConnectionLost, problem.what());
  }
}

}
