#include "http/HttpServer.h"

#include "hemlockhaven/core/Error.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>

#include <exception>
#include <memory>
#include <string_view>
#include <utility>

namespace hemlockhaven {

namespace {

HttpListener::Limits LimitsOf(const HttpServer::Options& aOptions)
{
  HttpListener::Limits limits;
  limits.bodyBytes = aOptions.bodyBytes;
  limits.readTimeout = aOptions.readTimeout;
  limits.idleTimeout = aOptions.keepAlive;
  limits.connections = aOptions.connections;
  limits.receiveBufferBytes = aOptions.receiveBufferBytes;
  limits.sendBufferBytes = aOptions.sendBufferBytes;
  return limits;
}

HttpReply Malformed(std::string_view aDetail)
{
  return ReplyOf(
    Error::NotRun("read request", Reason::MalformedRequest, aDetail));
}

HttpReply ReplyTo(RequestError aFault)
{
  switch (aFault) {
    case RequestError::Malformed:
      return Malformed("the bytes are no HTTP request");
    case RequestError::HeaderTooLarge:
      return Malformed("the header is too long");
    case RequestError::DocumentTooLarge:
    case RequestError::BodyTooLarge:
      return ReplyOf(Error::NotRun(
        "read body", Reason::BodyTooLarge, "the body is over the limit"));
    case RequestError::TrailerTooLarge:
      return Malformed("the trailers or a chunk's header are too long");
    case RequestError::MemoryExhausted:
      return ReplyOf(Error::NotRun("read request",
                                   Reason::TooManyWaiting,
                                   "connections hold too much memory",
                                   std::chrono::seconds(1)));
    case RequestError::TooManyConnections:
    case RequestError::TooSlow:
    case RequestError::ReplyNotRead:
    case RequestError::Count:
      break;
  }
  return ReplyOf(Error::NotRun("accept",
                               Reason::TooManyWaiting,
                               "too many connections",
                               std::chrono::seconds(1)));
}

OutgoingReply Encode(const HttpReply& aReply)
{
  OutgoingReply reply;
  reply.status = aReply.status;
  // The header counts whole seconds; retryAfterMs in the body is exact.
  reply.retryAfterSeconds = static_cast<std::uint32_t>(
    (aReply.retryAfter.count() + 999'999) / 1'000'000);
  if (!aReply.text.empty()) {
    reply.contentType = "text/plain; version=0.0.4";
    reply.body = aReply.text;
  } else {
    reply.body = aReply.body.dump(
      -1, ' ', false, nlohmann::json::error_handler_t::replace);
  }
  return reply;
}

//! The parts of a request, kept while its handler waits for a thread.
struct KeptRequest
{
  std::string method;
  std::string target;
  std::string body;

  HttpRequestView View() const
  {
    const std::string_view all = target;
    const std::size_t mark = all.find('?');
    return { method,
             all.substr(0, mark),
             mark == std::string_view::npos ? "" : all.substr(mark + 1),
             body,
             nullptr };
  }
};

}

HttpServer::HttpServer(const Options& aOptions, Handler aHandler)
  : handler_(std::move(aHandler))
  , common_(aOptions.common)
  , pool_(aOptions.maxThreads)
  , listener_(
      context_,
      { boost::asio::ip::make_address(aOptions.address), aOptions.port },
      LimitsOf(aOptions),
      [this](const IncomingRequest& aRequest,
             const ReplyHook& aReply) -> DisconnectHook {
        Answer(aRequest, aReply);
        return nullptr;
      },
      [](RequestError aFault) { return Encode(ReplyTo(aFault)); },
      aOptions.common)
  , thread_([this] { context_.run(); })
{
}

HttpServer::~HttpServer()
{
  // The listener still hands requests in until the context stops.
  pool_.Stop();
  // Behind the replies of the handlers that have just ended.
  boost::asio::post(context_, [this] { context_.stop(); });
  thread_.join();
}

void HttpServer::Answer(const IncomingRequest& aRequest,
                        const ReplyHook& aReply)
{
  if (!aRequest.header("Transfer-Encoding").empty()) {
    aReply(Encode(Malformed("a body needs Content-Length")));
    return;
  }
  const bool runs =
    pool_.Run([this,
               request = KeptRequest{ std::string(aRequest.method),
                                      std::string(aRequest.target),
                                      std::string(aRequest.body) },
               reply = aReply] {
      const auto reservation =
        std::make_shared<MemoryReservation>(common_.memory);
      HttpRequestView view = request.View();
      view.reserve = [this, &reservation](std::size_t aBytes) {
        const ReserveOutcome outcome = reservation->Add(aBytes);
        if (outcome != ReserveOutcome::Reserved && common_.onRejection) {
          common_.onRejection(RequestErrorOf(outcome));
        }
        return outcome;
      };
      try {
        OutgoingReply outgoing = Encode(handler_(view));
        // The request has been handled, so that it is answered in any case.
        static_cast<void>(reservation->Add(outgoing.body.size()));
        outgoing.reservation = reservation;
        reply(std::move(outgoing));
      } catch (const std::exception& problem) {
        reply(Encode(ReplyOf(
          Error::Unknown("answer", "", Reason::Internal, problem.what()))));
      }
    });
  if (!runs) {
    aReply(Encode(ReplyOf(Error::NotRun("accept",
                                        Reason::NotReady,
                                        "this server stops",
                                        std::chrono::seconds(1)))));
  }
}

}
