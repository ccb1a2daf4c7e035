#ifndef HEMLOCKHAVEN_SRC_HTTP_ENDPOINTCONNECTION_H
#define HEMLOCKHAVEN_SRC_HTTP_ENDPOINTCONNECTION_H

#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/dispatch/Attempt.h"
#include "http/EndpointPool.h"
#include "http/EndpointReplyParser.h"

#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace hemlockhaven::Detail {

class EndpointIo;

//! One connection to an endpoint, from connecting to closing; it carries one
//! attempt at a time. A closed connection is never opened again.
class EndpointConnection
  : public std::enable_shared_from_this<EndpointConnection>
{
public:
  EndpointConnection(EndpointIo& aIo, EndpointPool& aPool);

  EndpointPool& Pool() const { return pool_; }
  std::uint64_t Generation() const { return generation_; }
  TimePoint IdleSince() const { return idleSince_; }

  //! Whether the endpoint neither closed the idle connection nor sent bytes
  //! that nothing asked for, such as a second answer.
  bool IsQuiet();

  //! Connects if necessary, then sends the attempt. A connection that was
  //! idle for long is probed first.
  void Run(PendingAttempt&& aPending);

  //! Closes the socket without ending an attempt.
  void Close();

  //! Closes the socket; an attempt under way ends as unknown.
  void Abort();

private:
  using ErrorCode = boost::beast::error_code;
  using Executor = boost::asio::io_context::executor_type;
  using Socket =
    boost::asio::basic_stream_socket<boost::asio::ip::tcp, Executor>;
  using Timer = boost::asio::basic_waitable_timer<
    std::chrono::steady_clock,
    boost::asio::wait_traits<std::chrono::steady_clock>,
    Executor>;

  enum class Phase : std::uint8_t
  {
    Idle,
    Connecting,
    Probing,
    Running,
    Closed,
  };

  void Connect();
  void OnConnected(ErrorCode aError);
  void Probe();
  void SendRequest();
  void BuildRequest(Duration aRemaining);
  void ReadReply();
  void OnRead(ErrorCode aError, std::size_t aBytes);
  //! Parses what is buffered; reads on if the reply is not whole yet.
  void Parse();
  void OnReply();
  void OnProbeFailed();

  //! What the whole reply says of the attempt.
  AttemptResult Judge();

  //! Ends the attempt and keeps or closes the connection.
  void End(AttemptResult&& aResult, bool aKeep);

  void SetLimit(TimePoint aAt);
  void ArmTimer();
  void OnLimit();

  EndpointIo& io_;
  EndpointPool& pool_;
  const std::uint64_t generation_;
  Socket socket_;
  Timer timer_;
  Phase phase_ = Phase::Idle;
  bool connected_ = false;
  bool sent_ = false; //!< The whole request was written.
  std::optional<PendingAttempt> pending_;
  std::string attemptText_; //!< Value of the attempt header.
  std::string head_;        //!< Request line and headers.
  boost::beast::flat_buffer buffer_;
  std::optional<EndpointReplyParser> parser_;
  TimePoint idleSince_{};
  TimePoint limitAt_ = TimePoint::max(); //!< Of the phase.
  TimePoint timerAt_ = TimePoint::max(); //!< max: the timer is not armed.
};

}

#endif
