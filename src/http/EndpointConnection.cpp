#include "http/EndpointConnection.h"

#include "hemlockhaven/metrics/Counters.h"
#include "http/EndpointHeaders.h"
#include "http/EndpointIo.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <string_view>
#include <utility>

namespace hemlockhaven::Detail {

namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace asio = boost::asio;

namespace {

constexpr std::size_t kReadBytes = 16384;

// The kernel gives up a silent path 8 s after the last sign of life: an idle
// one by 5 s + 3 probes of 1 s, one with unacknowledged bytes by the user
// timeout. Attempts of 30 s would otherwise hold a dead connection for long.
constexpr int kKeepIdleSeconds = 5;
constexpr int kKeepIntervalSeconds = 1;
constexpr int kKeepCount = 3;
constexpr int kUserTimeoutMs = 8000;

void SetSocketOptions(int aSocket)
{
  const auto set = [aSocket](int aLevel, int aName, int aValue) {
    ::setsockopt(aSocket, aLevel, aName, &aValue, sizeof(aValue));
  };
  // Without it, a small request waits for the delayed ACK of the one before.
  set(IPPROTO_TCP, TCP_NODELAY, 1);
  set(SOL_SOCKET, SO_KEEPALIVE, 1);
  set(IPPROTO_TCP, TCP_KEEPIDLE, kKeepIdleSeconds);
  set(IPPROTO_TCP, TCP_KEEPINTVL, kKeepIntervalSeconds);
  set(IPPROTO_TCP, TCP_KEEPCNT, kKeepCount);
  set(IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
}

AttemptResult ResultOf(AttemptEnd aEnd, Reason aReason, std::string aDetail)
{
  return { aEnd, aReason, "", std::move(aDetail) };
}

// A reply that was cut off, a lost connection and a limit that passed leave it
// open whether the task ran.
AttemptResult UnknownBy(const beast::error_code& aError)
{
  Reason reason = Reason::ConnectionLost;
  if (aError == http::error::partial_message) {
    reason = Reason::ReplyTruncated;
  } else if (aError == http::error::body_limit) {
    reason = Reason::ReplyTooLarge;
  } else if (aError.category() ==
             http::make_error_code(http::error::bad_method).category()) {
    reason = Reason::ReplyMalformed;
  }
  return ResultOf(AttemptEnd::Unknown, reason, aError.message());
}

void AppendNumber(std::string& aTo, std::uint64_t aNumber)
{
  std::array<char, 24> digits{};
  const auto end =
    std::to_chars(digits.data(), digits.data() + digits.size(), aNumber);
  aTo.append(digits.data(), end.ptr);
}

// Callers choose the text; a line break in it would add headers.
void AppendHeaderText(std::string& aTo, std::string_view aText)
{
  for (const char c : aText) {
    const auto byte = static_cast<unsigned char>(c);
    aTo += byte < 0x20 || byte == 0x7f ? '?' : c;
  }
}

}

EndpointConnection::EndpointConnection(EndpointIo& aIo, EndpointPool& aPool)
  : io_(aIo)
  , pool_(aPool)
  , generation_(aPool.generation)
  , socket_(aIo.Context().get_executor())
  , timer_(aIo.Context().get_executor())
{
}

bool EndpointConnection::IsQuiet()
{
  char byte = 0;
  const auto got =
    ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void EndpointConnection::Run(PendingAttempt&& aPending)
{
  pending_ = std::move(aPending);
  if (!connected_) {
    Connect();
  } else if (SteadyNow() - idleSince_ >= io_.Limits().probeAfterIdle) {
    Probe();
  } else {
    SendRequest();
  }
}

void EndpointConnection::Close()
{
  phase_ = Phase::Closed;
  limitAt_ = TimePoint::max();
  ErrorCode ignored;
  socket_.close(ignored);
  timer_.cancel(ignored);
}

void EndpointConnection::Abort()
{
  if (pending_) {
    End(
      ResultOf(AttemptEnd::Unknown, Reason::ShuttingDown, "the client stopped"),
      false);
  } else {
    Close();
    io_.OnClosed(shared_from_this());
  }
}

void EndpointConnection::Connect()
{
  phase_ = Phase::Connecting;
  ErrorCode error;
  const auto address = asio::ip::make_address(pending_->attempt.address, error);
  if (error) {
    // Posted, so that many waiting attempts do not end in a recursion.
    asio::post(socket_.get_executor(), [self = shared_from_this(), error] {
      self->OnConnected(error);
    });
    return;
  }
  SetLimit(
    std::min(SteadyNow() + io_.Limits().connectLimit, pending_->deadline));
  socket_.async_connect(
    asio::ip::tcp::endpoint(address, pending_->attempt.port),
    [self = shared_from_this()](ErrorCode aError) {
      self->OnConnected(aError);
    });
}

void EndpointConnection::OnConnected(ErrorCode aError)
{
  if (phase_ != Phase::Connecting) {
    return;
  }
  if (aError) {
    End(ResultOf(
          AttemptEnd::NotStarted, Reason::ConnectRefused, aError.message()),
        false);
    return;
  }
  connected_ = true;
  SetSocketOptions(socket_.native_handle());
  SendRequest();
}

void EndpointConnection::Probe()
{
  phase_ = Phase::Probing;
  io_.Counts().Count(Event::ProbeSent);
  head_ = "GET /health HTTP/1.1\r\nHost: " + pool_.address + "\r\n\r\n";
  SetLimit(std::min(SteadyNow() + io_.Limits().probeLimit, pending_->deadline));
  asio::async_write(socket_,
                    asio::buffer(head_),
                    [self = shared_from_this()](ErrorCode, std::size_t) {});
  parser_.emplace(io_.Limits().answerBytes);
  ReadReply();
}

void EndpointConnection::OnProbeFailed()
{
  // Nothing of the attempt was sent, so a fresh connection may carry it.
  io_.Counts().Count(Event::ConnectionReplaced);
  PendingAttempt pending = std::move(*pending_);
  pending_.reset();
  Close();
  io_.DropUnprobed(pool_);
  const auto self = shared_from_this();
  io_.Replace(self, std::move(pending));
}

void EndpointConnection::BuildRequest(Duration aRemaining)
{
  const TaskGroup& group = *pending_->attempt.group;
  attemptText_ = io_.AttemptPrefix();
  AppendNumber(attemptText_, pending_->attempt.id);
  head_ = "POST /run HTTP/1.1\r\nHost: ";
  head_ += pool_.address;
  head_ += "\r\nHemlockhaven-Attempt: ";
  head_ += attemptText_;
  head_ += "\r\nHemlockhaven-Kind: ";
  AppendHeaderText(head_, group.spec.kind);
  head_ += "\r\nHemlockhaven-Deadline-Ms: ";
  AppendNumber(head_, static_cast<std::uint64_t>(aRemaining.count() / 1000));
  head_ += "\r\nContent-Length: ";
  AppendNumber(head_, group.spec.payloads[pending_->attempt.index].size());
  head_ += "\r\n\r\n";
}

void EndpointConnection::SendRequest()
{
  const Duration remaining = pending_->deadline - SteadyNow();
  if (remaining.count() <= 0) {
    End(ResultOf(AttemptEnd::NotStarted,
                 Reason::AttemptTimeout,
                 "the attempt's limit passed before it was sent"),
        true);
    return;
  }
  phase_ = Phase::Running;
  BuildRequest(remaining);
  SetLimit(pending_->deadline);
  sent_ = false;
  const auto& group = pending_->attempt.group;
  const std::array<asio::const_buffer, 2> buffers{
    asio::buffer(head_),
    asio::buffer(group->spec.payloads[pending_->attempt.index])
  };
  // The reply is read while the request is written: an endpoint may refuse a
  // large request before it has read all of it. A failed write is not the end
  // of the attempt, because the refusal may still be readable.
  asio::async_write(
    socket_,
    buffers,
    [self = shared_from_this(), group](ErrorCode aError, std::size_t) {
      self->sent_ = !aError;
    });
  parser_.emplace(io_.Limits().answerBytes);
  ReadReply();
}

void EndpointConnection::ReadReply()
{
  socket_.async_read_some(
    buffer_.prepare(kReadBytes),
    [self = shared_from_this()](ErrorCode aError, std::size_t aBytes) {
      self->OnRead(aError, aBytes);
    });
}

void EndpointConnection::OnRead(ErrorCode aError, std::size_t aBytes)
{
  if (phase_ == Phase::Closed) {
    return;
  }
  if (!aError) {
    buffer_.commit(aBytes);
    Parse();
    return;
  }
  if (phase_ == Phase::Probing) {
    OnProbeFailed();
    return;
  }
  if (aError == asio::error::eof && parser_->got_some()) {
    parser_->put_eof(aError);
    if (!aError) {
      OnReply();
      return;
    }
  }
  End(UnknownBy(aError), false);
}

void EndpointConnection::Parse()
{
  while (buffer_.size() != 0) {
    ErrorCode error;
    buffer_.consume(parser_->put(buffer_.data(), error));
    if (error == http::error::need_more) {
      break;
    }
    if (error) {
      if (phase_ == Phase::Probing) {
        OnProbeFailed();
      } else {
        End(UnknownBy(error), false);
      }
      return;
    }
    if (!parser_->is_done()) {
      continue;
    }
    if (parser_->Status() / 100 != 1) {
      OnReply();
      return;
    }
    // An interim reply: the final one follows.
    parser_.emplace(io_.Limits().answerBytes);
  }
  ReadReply();
}

void EndpointConnection::OnReply()
{
  const bool keep =
    parser_->keep_alive() && !parser_->need_eof() && buffer_.size() == 0;
  if (phase_ == Phase::Probing) {
    if (keep && parser_->Status() == 200) {
      SendRequest();
    } else {
      OnProbeFailed();
    }
    return;
  }
  AttemptResult result = Judge();
  const bool isClean = result.end != AttemptEnd::Unknown;
  End(std::move(result), keep && isClean && sent_);
}

AttemptResult EndpointConnection::Judge()
{
  if (parser_->AttemptText() != attemptText_) {
    return ResultOf(AttemptEnd::Unknown,
                    Reason::ReplyMismatched,
                    "the reply does not name the attempt");
  }
  if (parser_->need_eof()) {
    return ResultOf(AttemptEnd::Unknown,
                    Reason::ReplyUnframed,
                    "the reply has neither a length nor chunks");
  }
  if (parser_->Status() == 503 && !parser_->NotRun().empty()) {
    return ResultOf(AttemptEnd::NotStarted,
                    Reason::EndpointRefused,
                    std::string(parser_->NotRun()));
  }
  if (parser_->Status() != 200) {
    return ResultOf(AttemptEnd::Failed,
                    Reason::EndpointFailed,
                    "status " + std::to_string(parser_->Status()));
  }
  return { AttemptEnd::Succeeded, Reason::None, parser_->TakeBody(), "" };
}

void EndpointConnection::End(AttemptResult&& aResult, bool aKeep)
{
  const AttemptId id = pending_->attempt.id;
  pending_.reset();
  limitAt_ = TimePoint::max();
  const auto self = shared_from_this();
  if (aKeep) {
    phase_ = Phase::Idle;
    idleSince_ = SteadyNow();
    io_.OnIdle(self);
  } else {
    Close();
    io_.OnClosed(self);
  }
  io_.Finish(id, std::move(aResult));
}

void EndpointConnection::SetLimit(TimePoint aAt)
{
  // Most attempts end long before their limit, so the timer is moved only
  // when the limit comes sooner than it; otherwise it is set anew on expiry.
  limitAt_ = aAt;
  if (aAt < timerAt_) {
    ArmTimer();
  }
}

void EndpointConnection::ArmTimer()
{
  timerAt_ = limitAt_;
  timer_.expires_at(timerAt_);
  timer_.async_wait([self = shared_from_this()](ErrorCode aError) {
    if (aError || self->phase_ == Phase::Closed) {
      return;
    }
    self->timerAt_ = TimePoint::max();
    if (self->limitAt_ == TimePoint::max()) {
      return;
    }
    if (SteadyNow() < self->limitAt_) {
      self->ArmTimer();
    } else {
      self->OnLimit();
    }
  });
}

void EndpointConnection::OnLimit()
{
  if (phase_ == Phase::Connecting) {
    End(ResultOf(AttemptEnd::NotStarted,
                 Reason::ConnectRefused,
                 "no connection within the limit"),
        false);
  } else if (phase_ == Phase::Probing) {
    OnProbeFailed();
  } else if (phase_ == Phase::Running) {
    End(ResultOf(AttemptEnd::Unknown,
                 Reason::AttemptTimeout,
                 "no whole reply within the attempt's limit"),
        false);
  }
}

}
