#include "net/HttpClientConnection.h"

#include "net/Address.h"
#include "net/HttpClient.h"
#include "net/SocketOptions.h"

#include <boost/asio/post.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/error.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace hemlockhaven::Detail {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

//! Encodes a request without Beast's serializer, which costs more than the rest
//! of the request.
std::string EncodeRequest(const HttpRequest& aRequest,
                          std::string_view aMethod,
                          std::string_view aTarget,
                          std::string_view aBody)
{
  std::string bytes;
  bytes.reserve(160 + aTarget.size() + aBody.size());
  bytes.append(aMethod).append(" ").append(aTarget);
  bytes.append(" HTTP/1.1\r\nHost: ").append(aRequest.address).append("\r\n");
  for (const auto& [name, value] : aRequest.headers) {
    bytes.append(name).append(": ").append(value).append("\r\n");
  }
  if (aMethod != "GET") {
    bytes.append("Content-Type: ").append(aRequest.contentType);
    bytes.append("\r\nContent-Length: ");
    bytes.append(std::to_string(aBody.size())).append("\r\n");
  }
  return bytes.append("\r\n").append(aBody);
}

std::string EncodeRequest(const HttpRequest& aRequest)
{
  return EncodeRequest(
    aRequest, aRequest.method, aRequest.target, aRequest.body);
}

std::string EncodeIdentification(const HttpRequest& aRequest)
{
  return EncodeRequest(aRequest,
                       "POST",
                       aRequest.incarnationCheck->target,
                       aRequest.incarnationCheck->body);
}

}

HttpClientConnection::HttpClientConnection(HttpClient& aClient,
                                           net::io_context& aContext,
                                           std::string aAddress,
                                           std::size_t aMaxResponseBytes)
  : client_(aClient)
  , address_(std::move(aAddress))
  , maxResponseBytes_(aMaxResponseBytes)
  , socket_(aContext.get_executor())
  , timer_(aContext.get_executor())
  , deadline_(Duration(0), std::nullopt, TimePoint())
{
}

template<typename Step>
void HttpClientConnection::RunStep(Step&& aStep)
{
  std::optional<End> end;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!isBusy_) {
      return; // The request has ended, for example at its deadline.
    }
    std::forward<Step>(aStep)();
    end = std::exchange(end_, std::nullopt);
  }
  if (end) {
    Report(std::move(*end));
  }
}

void HttpClientConnection::Report(End aEnd)
{
  if (aEnd.isKeptAlive) {
    client_.OnIdle(shared_from_this());
  } else {
    client_.OnClosed(address_, shared_from_this());
  }
  if (aEnd.callback) {
    aEnd.callback(std::move(aEnd.result));
  }
}

void HttpClientConnection::Start(HttpRequest aRequest, HttpCallback aCallback)
{
  std::optional<End> end;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    currentRequest_ = std::move(aRequest);
    callback_ = std::move(aCallback);
    deadline_ = TransferDeadline(
      currentRequest_.timeout, currentRequest_.stallTimeout, SteadyNow());
    isBusy_ = true;
    isIdentifying_ = currentRequest_.incarnationCheck.has_value();
    ArmTimer();
    if (isIdentifying_ && incarnation_ != 0) {
      OnIdentified(true);
    } else {
      BeginSending();
    }
    end = std::exchange(end_, std::nullopt);
  }
  if (end) {
    // Callbacks run on a thread of the I/O context.
    net::post(socket_.get_executor(),
              [self = shared_from_this(), end = std::move(*end)]() mutable {
                self->Report(std::move(end));
              });
  }
}

void HttpClientConnection::BeginSending()
{
  requestBytes_ = isIdentifying_ ? EncodeIdentification(currentRequest_)
                                 : EncodeRequest(currentRequest_);
  written_ = 0;
  parser_.emplace();
  parser_->body_limit(maxResponseBytes_);
  // Parses a response that is buffered whole in one call.
  parser_->eager(true);
  if (connected_) {
    Write();
  } else {
    Connect();
  }
}

void HttpClientConnection::OnIdentified(bool aIsReusable)
{
  const std::int64_t expected = currentRequest_.incarnationCheck->expected;
  if (incarnation_ == expected && aIsReusable) {
    isIdentifying_ = false;
    BeginSending();
    return;
  }
  HttpResult result;
  if (incarnation_ != 0 && incarnation_ != expected) {
    result.end = HttpOutcome::OtherIncarnation;
    result.detail = "another incarnation of the server";
  } else {
    result.end = HttpOutcome::NotSent;
    result.detail = incarnation_ == 0 ? "the server names no incarnation"
                                      : "closed after the identification";
  }
  Finish(std::move(result), aIsReusable);
}

void HttpClientConnection::Connect()
{
  const auto endpoint = ParseAddress(address_);
  if (!endpoint) {
    Fail(HttpOutcome::NotSent, "bad address");
    return;
  }
  socket_.async_connect(
    *endpoint, [self = shared_from_this()](const beast::error_code& aError) {
      self->RunStep([&self, error = aError]() mutable {
        if (!error) {
          SetSocketOptions(self->socket_.native_handle());
          self->socket_.non_blocking(true, error);
        }
        if (error) {
          self->Fail(HttpOutcome::NotSent, error.message());
          return;
        }
        self->connected_ = true;
        self->Write();
      });
    });
}

void HttpClientConnection::Write()
{
  beast::error_code error;
  while (written_ < requestBytes_.size() && !error) {
    written_ += socket_.send(net::buffer(requestBytes_) + written_, 0, error);
  }
  if (error == net::error::would_block) {
    socket_.async_wait(
      Socket::wait_write,
      [self = shared_from_this()](const beast::error_code& aError) {
        self->RunStep([&self, &aError] {
          if (aError) {
            self->Fail(HttpOutcome::Unknown, aError.message());
          } else {
            self->Write();
          }
        });
      });
    return;
  }
  if (error) {
    Fail(HttpOutcome::Unknown, error.message());
    return;
  }
  // The response cannot have arrived yet: to read now would only cost a system
  // call.
  WaitForData();
}

void HttpClientConnection::ArmTimer()
{
  const TimePoint due = deadline_.At();
  if (timerExpiresAt_ && *timerExpiresAt_ <= due) {
    return; // It is set again when it expires.
  }
  timerExpiresAt_ = due;
  timer_.expires_at(due);
  timer_.async_wait(
    [self = shared_from_this()](const beast::error_code& aError) {
      if (!aError) {
        self->OnTimer();
      }
    });
}

void HttpClientConnection::OnTimer()
{
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    timerExpiresAt_.reset();
  }
  RunStep([this] {
    if (SteadyNow() >= deadline_.At()) {
      Fail(connected_ ? HttpOutcome::Unknown : HttpOutcome::NotSent,
           beast::error_code(beast::error::timeout).message());
    } else {
      ArmTimer();
    }
  });
}

void HttpClientConnection::WaitForData()
{
  socket_.async_wait(
    Socket::wait_read,
    [self = shared_from_this()](const beast::error_code& aError) {
      self->RunStep([&self, &aError] {
        if (aError) {
          self->Fail(HttpOutcome::Unknown, aError.message());
        } else {
          self->ReadAvailable();
        }
      });
    });
}

void HttpClientConnection::ReadAvailable()
{
  constexpr std::size_t kMaxRead = 65536;
  beast::error_code error;
  const std::size_t bytes = socket_.receive(
    buffer_.prepare(beast::read_size(buffer_, kMaxRead)), 0, error);
  if (error == net::error::would_block) {
    WaitForData();
  } else if (error == net::error::eof) {
    OnEndOfStream();
  } else if (error) {
    Fail(HttpOutcome::Unknown, error.message());
  } else {
    buffer_.commit(bytes);
    Parse();
  }
}

void HttpClientConnection::Parse()
{
  beast::error_code error;
  buffer_.consume(parser_->put(buffer_.data(), error));
  if (error && error != http::error::need_more) {
    Fail(HttpOutcome::Unknown, error.message());
    return;
  }
  if (parser_->is_done()) {
    OnResponse();
    return;
  }
  if (currentRequest_.stallTimeout) {
    deadline_.OnProgress(SteadyNow());
  }
  WaitForData();
}

void HttpClientConnection::OnEndOfStream()
{
  beast::error_code error = http::error::end_of_stream;
  if (parser_->got_some()) {
    parser_->put_eof(error);
  }
  if (!error && parser_->is_done()) {
    OnResponse();
  } else {
    Fail(HttpOutcome::Unknown, error.message());
  }
}

void HttpClientConnection::OnResponse()
{
  auto& message = parser_->get();
  const bool isFramed =
    message.chunked() ||
    message.find(http::field::content_length) != message.end() ||
    message.result_int() == 204;
  HttpResult result;
  result.end = isFramed ? HttpOutcome::Answered : HttpOutcome::Unknown;
  result.status = message.result_int();
  result.receivedBytes = message.body().size();
  result.body = std::move(message.body());
  const bool isReusable =
    isFramed && message.keep_alive() && buffer_.size() == 0;
  if (incarnation_ == 0 && isFramed && currentRequest_.readIncarnation) {
    incarnation_ = currentRequest_.readIncarnation(result);
  }
  if (isIdentifying_) {
    OnIdentified(isReusable);
  } else {
    Finish(std::move(result), isReusable);
  }
}

void HttpClientConnection::Fail(HttpOutcome aOutcome, std::string aDetail)
{
  HttpResult result;
  result.end = isIdentifying_ ? HttpOutcome::NotSent : aOutcome;
  result.detail = std::move(aDetail);
  result.receivedBytes = parser_ ? parser_->get().body().size() : 0;
  Finish(std::move(result), false);
}

void HttpClientConnection::Finish(HttpResult aResult, bool aKeepAlive)
{
  requestBytes_.clear();
  isBusy_ = false;
  isIdentifying_ = false;
  if (aKeepAlive) {
    idleSince_ = SteadyNow();
  } else {
    CloseSocket();
  }
  end_ =
    End{ std::exchange(callback_, nullptr), std::move(aResult), aKeepAlive };
}

bool HttpClientConnection::IsStale()
{
  char byte = 0;
  const auto bytesRead =
    ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  // No data is expected on an idle connection; 0 is the end of the stream.
  return bytesRead >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

void HttpClientConnection::Close()
{
  const std::lock_guard<std::mutex> lock(mutex_);
  CloseSocket();
}

void HttpClientConnection::CloseSocket()
{
  beast::error_code ignored; // The connection is abandoned anyway.
  socket_.close(ignored);
  timer_.cancel();
  connected_ = false;
  incarnation_ = 0;
}

}
