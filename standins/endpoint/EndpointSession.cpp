#include "standins/endpoint/EndpointSession.h"

#include "standins/endpoint/EndpointServer.h"

#include <boost/asio/socket_base.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include <nlohmann/json.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <chrono>
#include <cstdlib>
#include <limits>
#include <utility>

namespace hemlockhaven {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr const char* kAttemptHeader = "Hemlockhaven-Attempt";
constexpr std::size_t kDrainBytes = 65536;
constexpr std::size_t kOversizeBytes = 1U << 20U;

std::string_view View(beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

void SetCork(int aSocket)
{
  const int on = 1;
  ::setsockopt(aSocket, IPPROTO_TCP, TCP_CORK, &on, sizeof(on));
}

struct Payload
{
  double milliseconds = 0;
  std::string tag;
};

//! A number of milliseconds, or {"ms": number, "tag": text}.
Payload ParsePayload(const std::string& aBody)
{
  Payload payload;
  if (aBody.empty() || aBody.front() != '{') {
    payload.milliseconds = std::strtod(aBody.c_str(), nullptr);
    return payload;
  }
  const auto json = nlohmann::json::parse(aBody, nullptr, false);
  if (json.is_object()) {
    payload.milliseconds = json.value("ms", 0.0);
    payload.tag = json.value("tag", std::string());
  }
  return payload;
}

}

EndpointSession::EndpointSession(EndpointServer& aServer,
                                 asio::ip::tcp::socket&& aSocket)
  : server_(aServer)
  , socket_(std::move(aSocket))
  , timer_(socket_.get_executor())
{
}

void EndpointSession::Read()
{
  parser_.emplace();
  parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
  http::async_read_header(
    socket_,
    buffer_,
    *parser_,
    [self = shared_from_this()](const beast::error_code& aError, std::size_t) {
      if (!aError) {
        self->OnHeader();
      }
    });
}

void EndpointSession::OnHeader()
{
  const auto& request = parser_->get();
  earlierAttempt_ =
    std::exchange(attempt_, request[kAttemptHeader].to_string());
  fault_ =
    request.target() == "/run" ? server_.TakeFault() : EndpointFault::None;
  if (fault_ == EndpointFault::Early) {
    WriteReply(503, "Hemlockhaven-Not-Run: too large\r\n", "", Then::Close);
  } else if (parser_->is_done()) {
    Serve();
  } else {
    http::async_read(socket_,
                     buffer_,
                     *parser_,
                     [self = shared_from_this()](
                       const beast::error_code& aError, std::size_t) {
                       if (!aError) {
                         self->Serve();
                       }
                     });
  }
}

void EndpointSession::Serve()
{
  const auto& request = parser_->get();
  const std::string_view target = View(request.target());
  constexpr std::string_view kStarts = "/starts";
  if (target == "/run") {
    RunTask();
  } else if (target == "/health") {
    WriteReply(200, "", "", Then::Read);
  } else if (target.substr(0, kStarts.size()) == kStarts) {
    ServeStarts(target.substr(kStarts.size()));
  } else if (target == "/control" && server_.OnControl()) {
    const std::string answer = server_.OnControl()(request.body());
    WriteReply(answer.empty() ? 400 : 200, "", answer, Then::Read);
  } else {
    WriteReply(404, "", "", Then::Read);
  }
}

void EndpointSession::ServeStarts(std::string_view aQuery)
{
  constexpr std::string_view kTag = "?tag=";
  const StartCounts& starts = server_.Starts();
  nlohmann::json body{ { "total", starts.Total() },
                       { "repeated", starts.RepeatedCount() } };
  if (aQuery.substr(0, kTag.size()) == kTag) {
    body["starts"] = starts.Of(aQuery.substr(kTag.size()));
  }
  WriteReply(200, "", body.dump(), Then::Read);
}

void EndpointSession::RunTask()
{
  if (fault_ == EndpointFault::RefuseNotRun) {
    WriteReply(503, "Hemlockhaven-Not-Run: refused\r\n", "", Then::Read);
    return;
  }
  const PlannedRun run = server_.TakeSlot();
  if (!run.taken) {
    WriteReply(503, "Hemlockhaven-Not-Run: no free slot\r\n", "", Then::Read);
    return;
  }
  const Payload payload = ParsePayload(parser_->get().body());
  server_.Starts().Count(payload.tag);
  auto time = std::chrono::microseconds(
    static_cast<std::int64_t>(payload.milliseconds * run.slowness * 1000));
  if (fault_ == EndpointFault::Late) {
    time += server_.LateBy();
  }
  if (time.count() <= 0) {
    Answer(run.fails);
    return;
  }
  timer_.expires_after(time);
  timer_.async_wait([self = shared_from_this(), fails = run.fails](
                      const beast::error_code&) { self->Answer(fails); });
}

void EndpointSession::Answer(bool aFails)
{
  server_.ReleaseSlot();
  const std::string body = "done " + parser_->get().body();
  const unsigned status = aFails || fault_ == EndpointFault::Fail ? 500 : 200;
  switch (fault_) {
    case EndpointFault::HalfLength:
      out_ = "HTTP/1.1 200 OK\r\nHemlockhaven-Attempt: " + attempt_ +
             "\r\nContent-Length: " + std::to_string(2 * body.size()) +
             "\r\n\r\n" + body;
      Write(Then::Close);
      break;
    case EndpointFault::Chunked:
    case EndpointFault::HalfChunked: {
      const bool whole = fault_ == EndpointFault::Chunked;
      out_ = "HTTP/1.1 200 OK\r\nHemlockhaven-Attempt: " + attempt_ +
             "\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n" + body.substr(0, 5) +
             "\r\n";
      if (whole) {
        for (const char c : body.substr(5)) {
          out_ += "1\r\n";
          out_ += c;
          out_ += "\r\n";
        }
        out_ += "0\r\n\r\n";
      }
      Write(whole ? Then::Read : Then::Close);
      break;
    }
    case EndpointFault::Unframed:
      out_ = "HTTP/1.1 200 OK\r\nHemlockhaven-Attempt: " + attempt_ +
             "\r\n\r\n" + body;
      Write(Then::Close);
      break;
    case EndpointFault::Http10:
      out_ = "HTTP/1.0 200 OK\r\nHemlockhaven-Attempt: " + attempt_ +
             "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
             body;
      Write(Then::Close);
      break;
    case EndpointFault::Garbage:
      out_ = "220 service ready\r\n";
      Write(Then::Hang);
      break;
    case EndpointFault::WrongAttempt:
      attempt_ = "nobody-0";
      WriteReply(status, "", body, Then::Read);
      break;
    case EndpointFault::EarlierAttempt:
      attempt_ = earlierAttempt_;
      WriteReply(status, "", body, Then::Read);
      break;
    case EndpointFault::NoAttempt:
      attempt_.clear();
      WriteReply(status, "", body, Then::Read);
      break;
    case EndpointFault::Oversize:
      WriteReply(
        status, "", body + std::string(kOversizeBytes, 'x'), Then::Read);
      break;
    case EndpointFault::Never:
      Hang();
      break;
    case EndpointFault::Reset:
      Reset();
      break;
    case EndpointFault::Close:
      out_.clear();
      Write(Then::Close);
      break;
    case EndpointFault::CloseIdle:
      // The answer and the end of the stream leave together, so that no
      // request can arrive in between.
      SetCork(socket_.native_handle());
      WriteReply(status, "", body, Then::Close);
      break;
    case EndpointFault::SilentIdle:
      WriteReply(status, "", body, Then::Hang);
      break;
    default:
      WriteReply(status, "", body, Then::Read);
  }
}

void EndpointSession::Reset()
{
  beast::error_code ignored;
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  socket_.close(ignored);
}

void EndpointSession::Hang()
{
  // The session is kept until the client closes; what arrives is not read.
  socket_.async_wait(asio::ip::tcp::socket::wait_error,
                     [self = shared_from_this()](const beast::error_code&) {});
}

void EndpointSession::Drain()
{
  // Closing with bytes unread would reset the connection, and the reset can
  // overtake the reply.
  buffer_.clear();
  socket_.async_read_some(
    buffer_.prepare(kDrainBytes),
    [self = shared_from_this()](const beast::error_code& aError, std::size_t) {
      if (!aError) {
        self->Drain();
      }
    });
}

void EndpointSession::WriteReply(unsigned aStatus,
                                 std::string_view aHeaders,
                                 std::string_view aBody,
                                 Then aThen)
{
  out_.clear();
  if (fault_ == EndpointFault::Interim) {
    out_ += "HTTP/1.1 102 Processing\r\n\r\n";
  }
  out_ += "HTTP/1.1 ";
  out_ += std::to_string(aStatus);
  out_ += " Status\r\n";
  if (!attempt_.empty()) {
    out_ += "Hemlockhaven-Attempt: ";
    out_ += attempt_;
    out_ += "\r\n";
  }
  out_ += aHeaders;
  out_ += "Content-Length: ";
  out_ += std::to_string(aBody.size());
  out_ += "\r\n\r\n";
  out_ += aBody;
  if (fault_ == EndpointFault::Twice) {
    out_ += std::string(out_);
  }
  Write(aThen);
}

void EndpointSession::Write(Then aThen)
{
  asio::async_write(socket_,
                    asio::buffer(out_),
                    [self = shared_from_this(),
                     aThen](const beast::error_code& aError, std::size_t) {
                      if (aError || aThen == Then::Close) {
                        beast::error_code ignored;
                        self->socket_.shutdown(
                          asio::ip::tcp::socket::shutdown_send, ignored);
                        self->Drain();
                      } else if (aThen == Then::Hang) {
                        self->Hang();
                      } else {
                        self->Read();
                      }
                    });
}

}
