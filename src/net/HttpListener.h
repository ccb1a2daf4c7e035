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

//! A whole request as it came in.
struct IncomingRequest
{
  std::string_view method;
  std::string_view target;
  std::string_view body;
  //! The value of a header by its name; empty if it is absent.
  std::function<std::string_view(std::string_view aName)> header;
};

//! What is sent back.
struct OutgoingReply
{
  unsigned status = 200;
  std::string body;
  std::string contentType = "application/json";
  std::uint32_t retryAfterSeconds = 0; //!< 0: no such header.
};

//! Sends the reply; called once, from any thread, at once or later. Must not
//! outlive the I/O context of its listener.
using ReplyHook = std::function<void(OutgoingReply)>;
//! Called if the caller leaves before the reply.
using DisconnectHook = std::function<void()>;
//! Handles a request; returns what to do when the caller leaves. The request
//! is valid only during the call.
using RequestHandler =
  std::function<DisconnectHook(const IncomingRequest&, ReplyHook)>;

//! Why a request does not reach the handler.
enum class RequestError
{
  Malformed,
  HeaderTooLarge,
  BodyTooLarge,
  TooManyConnections,
};

//! The reply to a request that does not reach the handler.
using RequestErrorHook = std::function<OutgoingReply(RequestError)>;

//! A reply with the status that fits best and no body.
OutgoingReply EmptyReply(RequestError aRequestError);

//! An HTTP server on an I/O context. A request that waits for its reply holds a
//! connection and no thread.
class HttpListener
{
public:
  struct Limits
  {
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = std::size_t{ 1 } << 20U;
    Duration readTimeout{ 10000000 };  //!< For a request once it has begun.
    Duration idleTimeout{ 120000000 }; //!< Between requests.
    std::size_t connections = 3000;    //!< Beyond: refused.
    //! Connections that are refused at a time; beyond: closed at once.
    std::size_t refusedConnections = 100;
  };

  //! Listens; throws std::exception if the address is taken.
  HttpListener(boost::asio::io_context& aContext,
               const boost::asio::ip::tcp::endpoint& aAddress,
               const Limits& aLimits,
               RequestHandler aHandler,
               RequestErrorHook aErrorReply = EmptyReply);
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  //! Closes connections on which no request has begun, and from now on each
  //! other one after its reply.
  void Drain();

  std::uint16_t Port() const;
  std::size_t Connections() const;

  struct Shared; //!< State that connections share with the listener.

private:
  void Accept();

  boost::asio::io_context& context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::shared_ptr<Shared> shared_;
};

}

#endif
