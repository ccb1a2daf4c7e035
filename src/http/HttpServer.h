#ifndef HEMLOCKHAVEN_SRC_HTTP_HTTPSERVER_H
#define HEMLOCKHAVEN_SRC_HTTP_HTTPSERVER_H

#include "hemlockhaven/core/Time.h"
#include "http/HandlerPool.h"
#include "http/HttpReply.h"
#include "net/HttpListener.h"
#include "net/HttpRequestView.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>

namespace hemlockhaven {

//! An HttpListener with a thread of its own, for handlers that may block.
//!
//! A handler that waits holds a thread of the pool, so maxThreads bounds the
//! handlers that wait. A connection that sends nothing holds none.
class HttpServer
{
public:
  using Handler = std::function<HttpReply(const HttpRequestView&)>;

  struct Options
  {
    std::string address = "127.0.0.1"; //!< IP number.
    std::uint16_t port = 0;
    unsigned maxThreads = 64;
    std::size_t bodyBytes = 16U << 20U; //!< Larger bodies get 413.
    std::size_t connections = 4000;     //!< Connections beyond it get 429.
    Duration readTimeout = std::chrono::seconds(10); //!< For a whole request.
    Duration keepAlive = std::chrono::seconds(60);
    std::size_t receiveBufferBytes = 0; //!< As in HttpListener::Limits.
    std::size_t sendBufferBytes = 0;
    HttpListener::Common common; //!< Shared by the servers of a process.
  };

  //! Starts to listen; throws std::exception if the address is taken.
  HttpServer(const Options& aOptions, Handler aHandler);
  //! Waits for the handlers, sends their replies and stops to listen.
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

private:
  void Answer(const IncomingRequest& aRequest, const ReplyHook& aReply);

  Handler handler_;
  const HttpListener::Common common_;
  boost::asio::io_context context_{ 1 };
  HandlerPool pool_;
  HttpListener listener_;
  std::thread thread_;
};

}

#endif
