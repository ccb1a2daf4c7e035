#ifndef HEMLOCKHAVEN_SRC_NET_HTTPCLIENTCONNECTION_H
#define HEMLOCKHAVEN_SRC_NET_HTTPCLIENTCONNECTION_H

#include "net/HttpRequest.h"
#include "net/TransferDeadline.h"

#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>

namespace hemlockhaven {

class HttpClient;

namespace Detail {

//! A connection to a server; carries one request at a time.
//!
//! A leader sends several requests for each task, so that the cost of one
//! counts: bytes are written and read directly when the socket is ready, the
//! executor is not type-erased, and the timer is left running from one request
//! to the next.
class HttpClientConnection
  : public std::enable_shared_from_this<HttpClientConnection>
{
public:
  HttpClientConnection(HttpClient& aClient,
                       boost::asio::io_context& aContext,
                       std::string aAddress,
                       std::size_t aMaxResponseBytes);

  //! Sends a request, connecting if needed. The connection must be idle.
  void Start(HttpRequest aRequest, HttpCallback aCallback);

  const std::string& Address() const { return address_; }
  TimePoint IdleSince() const { return idleSince_; }

  //! Whether the server closed the connection, or sent data, while it was idle.
  bool IsStale();
  void Close();

private:
  using Body = boost::beast::http::string_body;
  using Executor = boost::asio::strand<boost::asio::io_context::executor_type>;
  using Socket =
    boost::asio::basic_stream_socket<boost::asio::ip::tcp, Executor>;
  using Timer = boost::asio::basic_waitable_timer<
    std::chrono::steady_clock,
    boost::asio::wait_traits<std::chrono::steady_clock>,
    Executor>;

  void Begin();
  void Connect();
  //! Writes what the socket takes at once; waits for the rest.
  void Write();
  //! Ensures that the timer expires at the deadline or before.
  void ArmTimer();
  void OnTimer();
  void WaitForData();
  void ReadAvailable();
  //! Parses what was read.
  void Parse();
  void OnEndOfStream();
  void OnResponse();
  void Finish(HttpResult aResult, bool aKeepAlive);
  void Fail(HttpOutcome aOutcome, std::string aDetail);

  HttpClient& client_;
  const std::string address_;
  const std::size_t maxResponseBytes_;
  Executor executor_;
  Socket socket_;
  Timer timer_;
  std::optional<TimePoint> timerExpiresAt_; //!< While it runs.
  TransferDeadline deadline_;               //!< Of the current request.
  boost::beast::flat_buffer buffer_;
  std::optional<boost::beast::http::response_parser<Body>> parser_;
  std::string requestBytes_; //!< The encoded current request.
  std::size_t written_ = 0;  //!< Of requestBytes_.
  HttpRequest currentRequest_;
  HttpCallback callback_;
  bool connected_ = false;
  bool isBusy_ = false; //!< From Begin to Finish.
  TimePoint idleSince_{};
};

}

}

#endif
