#ifndef HEMLOCKHAVEN_SRC_NET_HTTPCLIENTCONNECTION_H
#define HEMLOCKHAVEN_SRC_NET_HTTPCLIENTCONNECTION_H

#include "net/HttpRequest.h"
#include "net/TransferDeadline.h"

#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace hemlockhaven {

class HttpClient;

namespace Detail {

//! A connection to a server; carries one request at a time.
//!
//! A leader sends several requests for each task, so that the cost of one
//! counts: bytes are written and read directly when the socket is ready, the
//! executor is not type-erased, a lock takes the place of a strand, and the
//! timer is left running from one request to the next.
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
  using Executor = boost::asio::io_context::executor_type;
  using Socket =
    boost::asio::basic_stream_socket<boost::asio::ip::tcp, Executor>;
  using Timer = boost::asio::basic_waitable_timer<
    std::chrono::steady_clock,
    boost::asio::wait_traits<std::chrono::steady_clock>,
    Executor>;

  //! The end of a request, which is reported without the lock.
  struct End
  {
    HttpCallback callback;
    HttpResult result;
    bool isKeptAlive = false;
  };

  //! Runs a step under the lock, and reports the end of the request if the step
  //! ended it.
  template<typename Step>
  void RunStep(Step&& aStep);
  void Report(End aEnd);

  // The following are called under the lock.
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
  //! Begins to send the current request, or the one that identifies the server.
  void BeginSending();
  //! Sends the current request if the server is the expected incarnation.
  void OnIdentified(bool aIsReusable);
  void Finish(HttpResult aResult, bool aKeepAlive);
  void CloseSocket();
  void Fail(HttpOutcome aOutcome, std::string aDetail);

  HttpClient& client_;
  const std::string address_;
  const std::size_t maxResponseBytes_;
  std::mutex mutex_; //!< Guards what follows, except of an idle connection.
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
  std::int64_t incarnation_ = 0; //!< Of the server; 0: not named yet.
  bool isIdentifying_ = false;   //!< The current request is not sent yet.
  bool connected_ = false;
  bool isBusy_ = false;    //!< From Start to Finish.
  std::optional<End> end_; //!< Not reported yet.
  TimePoint idleSince_{};
};

}

}

#endif
