#ifndef HEMLOCKHAVEN_SRC_NET_HTTPLISTENER_H
#define HEMLOCKHAVEN_SRC_NET_HTTPLISTENER_H

#include "hemlockhaven/core/Time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace hemlockhaven {

//! A completely received request.
struct IncomingRequest
{
  std::string_view method;
  std::string_view target;
  std::string_view body;
  //! Returns the value of a header, or an empty view if it is absent.
  std::function<std::string_view(std::string_view aName)> header;
  //! Whether the caller has closed the connection since it sent the request,
  //! which may have waited in the socket while this process was paused.
  std::function<bool()> hasCallerLeft;
};

//! The reply to a request.
struct OutgoingReply
{
  unsigned status = 200;
  std::string body;
  std::string contentType = "application/json";
  std::uint32_t retryAfterSeconds = 0; //!< 0: no Retry-After header.
};

//! Sends the reply. To be called once, from any thread, during the handler or
//! later. Must not outlive the I/O context of its listener.
using ReplyHook = std::function<void(OutgoingReply)>;
//! Called if the caller disconnects before the reply.
using DisconnectHook = std::function<void()>;
//! Handles a request; returns the hook for a disconnect of the caller, or null.
//! The request is valid only during the call.
using RequestHandler =
  std::function<DisconnectHook(const IncomingRequest&, ReplyHook)>;

//! Why a request was rejected before it reached the handler.
enum class RequestError
{
  Malformed,
  HeaderTooLarge,
  BodyTooLarge,
  TooManyConnections,
};

//! Makes the reply to a rejected request.
using RequestErrorHook = std::function<OutgoingReply(RequestError)>;

//! Makes a reply with the status code of the error and an empty body.
OutgoingReply EmptyReply(RequestError aRequestError);

//! An asynchronous HTTP/1.1 server. A request that waits for its reply holds a
//! connection and no thread.
class HttpListener
{
public:
  struct Limits
  {
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = std::size_t{ 1 } << 20U;
    Duration readTimeout{ 10000000 };  //!< From the first byte of a request.
    Duration idleTimeout{ 120000000 }; //!< Between requests.
    std::size_t connections = 3000;    //!< Further ones are refused.
    //! Connections that may receive a refusal at a time; further ones are
    //! closed without a reply.
    std::size_t refusedConnections = 100;
  };

  //! Starts listening. Throws std::exception if the address is in use.
  HttpListener(boost::asio::io_context& aContext,
               const boost::asio::ip::tcp::endpoint& aAddress,
               const Limits& aLimits,
               RequestHandler aHandler,
               RequestErrorHook aErrorReply = EmptyReply);
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  //! Closes idle connections now and all others after their next reply.
  void Drain();

  std::uint16_t Port() const;
  std::size_t Connections() const;

  struct Shared; //!< State shared with the connections.

private:
  void Accept();

  boost::asio::io_context& context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::shared_ptr<Shared> shared_;
};

}

#endif
