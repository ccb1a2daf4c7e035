#ifndef HEMLOCKHAVEN_SRC_NET_HTTPLISTENER_H
#define HEMLOCKHAVEN_SRC_NET_HTTPLISTENER_H

#include "hemlockhaven/core/Time.h"
#include "net/ConnectionMemory.h"
#include "net/MemoryReservation.h"
#include "net/RequestError.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

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
  //! Reserves memory until the reply. To be called during the handler.
  ReserveHook reserve;
};

//! The reply to a request.
struct OutgoingReply
{
  unsigned status = 200;
  std::string body;
  std::string contentType = "application/json";
  std::uint32_t retryAfterSeconds = 0; //!< 0: no Retry-After header.
  //! Kept until the connection is charged with the reply; may be null.
  std::shared_ptr<MemoryReservation> reservation{};
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

//! Makes the reply to a rejected request.
using RequestErrorHook = std::function<OutgoingReply(RequestError)>;
//! Reports that a request was rejected or a connection closed.
using RejectionHook = std::function<void(RequestError)>;

//! Makes a reply with the status code of the error and an empty body.
OutgoingReply EmptyReply(RequestError aRequestError);

//! An asynchronous HTTP/1.1 server. A request that waits for its reply holds a
//! connection and no thread.
class HttpListener
{
public:
  struct Limits
  {
    std::size_t headerBytes = 16384; //!< Also of trailers and chunk headers.
    std::size_t bodyBytes = std::size_t{ 1 } << 20U;
    Duration readTimeout{ 10000000 };  //!< From the first byte of a request.
    Duration headerTimeout{ 4000000 }; //!< The same, for the header.
    Duration stallTimeout{ 4000000 };  //!< Without a byte of a body.
    Duration idleTimeout{ 120000000 }; //!< Between requests.
    std::size_t connections = 3000;    //!< Further ones are refused.
    //! Connections that may receive a refusal at a time; further ones are
    //! closed without a reply.
    std::size_t refusedConnections = 100;
    //! Sizes of a socket's buffers in the kernel; 0: as the system has them.
    std::size_t receiveBufferBytes = 0;
    std::size_t sendBufferBytes = 0;
  };

  //! What the listeners of a process have in common.
  struct Common
  {
    //! Without it, only the limits of each connection apply.
    std::shared_ptr<ConnectionMemory> memory;
    RejectionHook onRejection;
  };

  //! Starts listening. Throws std::exception if the address is in use.
  HttpListener(boost::asio::io_context& aContext,
               const boost::asio::ip::tcp::endpoint& aAddress,
               const Limits& aLimits,
               RequestHandler aHandler,
               RequestErrorHook aErrorReply = EmptyReply,
               Common aCommon = {});
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  //! Closes idle connections now and all others after their next reply.
  void Drain();

  //! Changes the limits of a message, from the next request on.
  void SetMessageLimits(std::size_t aHeaderBytes, std::size_t aBodyBytes);

  std::uint16_t Port() const;
  std::size_t Connections() const;

  struct Shared; //!< State shared with the connections.

private:
  void Accept();

  boost::asio::io_context& context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer acceptRetry_;
  std::shared_ptr<Shared> shared_;
};

}

#endif
