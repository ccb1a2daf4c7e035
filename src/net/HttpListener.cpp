#include "net/HttpListener.h"

#include "net/SocketOptions.h"

#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <sys/socket.h>

#include <map>
#include <mutex>
#include <optional>
#include <utility>

namespace hemlockhaven {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

struct HttpListener::Shared
{
  Limits limits;
  RequestHandler handler;
  RequestErrorHook errorReply;
  std::atomic<std::size_t> connections{ 0 };
  std::atomic<std::size_t> refused{ 0 };
  std::atomic<bool> draining{ false };
  std::atomic<bool> stopped{ false };
  std::mutex mutex;
  //! Connections that wait for a request, with the function that closes them
  //! while they are still idle.
  std::map<const void*, std::function<void()>> idle;
};

namespace {

//! Most requests fit into one read of this size.
constexpr std::size_t kReadChunkBytes = 4096;

//! Limit of the input that is discarded after the last reply. Closing with
//! unread input would reset the connection before the caller reads the reply.
constexpr std::size_t kMaxDiscardedBytes = 64U << 20U;

std::string_view ToView(beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

std::string EncodeResponse(const OutgoingReply& aReply, bool aKeepAlive)
{
  std::string bytes = "HTTP/1.1 ";
  bytes.append(std::to_string(aReply.status)).append(" ");
  bytes.append(
    ToView(http::obsolete_reason(http::int_to_status(aReply.status))));
  bytes.append("\r\nContent-Type: ").append(aReply.contentType);
  bytes.append("\r\nContent-Length: ");
  bytes.append(std::to_string(aReply.body.size()));
  if (aReply.retryAfterSeconds > 0) {
    bytes.append("\r\nRetry-After: ");
    bytes.append(std::to_string(aReply.retryAfterSeconds));
  }
  if (!aKeepAlive) {
    bytes.append("\r\nConnection: close");
  }
  return bytes.append("\r\n\r\n").append(aReply.body);
}

//! A connection of a caller; its requests are handled sequentially.
class Session : public std::enable_shared_from_this<Session>
{
public:
  //! Increments aCount, a counter in aShared, for the lifetime of the session.
  Session(net::ip::tcp::socket aSocket,
          std::shared_ptr<HttpListener::Shared> aShared,
          std::atomic<std::size_t>& aCount)
    : stream_(std::move(aSocket))
    , shared_(std::move(aShared))
    , count_(aCount)
  {
    ++count_;
  }

  ~Session()
  {
    --count_;
    const std::lock_guard<std::mutex> lock(shared_->mutex);
    shared_->idle.erase(this);
  }
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  void Read()
  {
    parser_.emplace();
    parser_->header_limit(
      static_cast<std::uint32_t>(shared_->limits.headerBytes));
    parser_->body_limit(shared_->limits.bodyBytes);
    stream_.expires_after(shared_->limits.idleTimeout);
    {
      const std::lock_guard<std::mutex> lock(shared_->mutex);
      shared_->idle[this] = [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
          net::dispatch(self->stream_.get_executor(),
                        [self] { self->CloseIfIdle(); });
        }
      };
    }
    if (buffer_.size() > 0) {
      ReadRequest();
      return;
    }
    stream_.async_read_some(
      buffer_.prepare(kReadChunkBytes),
      [self = shared_from_this()](const beast::error_code& aError,
                                  std::size_t aCount) {
        if (aError) {
          self->RemoveFromIdle();
          return;
        }
        self->buffer_.commit(aCount);
        self->ReadRequest();
      });
  }

private:
  bool IsOverLimit() const { return &count_ == &shared_->refused; }

  void RemoveFromIdle()
  {
    const std::lock_guard<std::mutex> lock(shared_->mutex);
    shared_->idle.erase(this);
  }

  //! Reads the rest of a request whose first bytes are buffered.
  void ReadRequest()
  {
    stream_.expires_after(shared_->limits.readTimeout);
    http::async_read(
      stream_,
      buffer_,
      *parser_,
      [self = shared_from_this()](const beast::error_code& aError,
                                  std::size_t) { self->OnRead(aError); });
  }

  void CloseIfIdle()
  {
    // A request that has started to arrive still gets its reply.
    if (!awaitsReply_ && !parser_->got_some() && buffer_.size() == 0) {
      beast::error_code ignored; // The caller may have closed it first.
      stream_.socket().close(ignored);
    }
  }

  void OnRead(const beast::error_code& aError)
  {
    RemoveFromIdle();
    if (!aError) {
      if (IsOverLimit()) {
        ReplyWithError(RequestError::TooManyConnections);
      } else {
        Handle();
      }
      return;
    }
    // Invalid requests get an error reply; a closed connection gets none.
    if (aError == http::error::body_limit) {
      ReplyWithError(RequestError::BodyTooLarge);
    } else if (aError == http::error::header_limit ||
               aError == http::error::buffer_overflow) {
      ReplyWithError(RequestError::HeaderTooLarge);
    } else if (aError.category() ==
                 make_error_code(http::error::bad_method).category() &&
               aError != http::error::end_of_stream &&
               aError != http::error::partial_message) {
      ReplyWithError(RequestError::Malformed);
    }
  }

  void ReplyWithError(RequestError aRequestError)
  {
    keepAlive_ = false;
    awaitsReply_ = true;
    Write(EncodeResponse(shared_->errorReply(aRequestError), false));
  }

  void Handle()
  {
    auto& message = parser_->get();
    keepAlive_ = message.keep_alive();
    awaitsReply_ = true;
    // The handler decides how long the caller waits.
    stream_.expires_never();
    IncomingRequest request;
    request.method = ToView(message.method_string());
    request.target = ToView(message.target());
    request.body = message.body();
    request.header = [&message](std::string_view aName) {
      return ToView(message[beast::string_view(aName.data(), aName.size())]);
    };
    request.hasCallerLeft = [this] { return Peek() == CallerState::Left; };
    auto onDisconnect = shared_->handler(
      request, [self = shared_from_this()](OutgoingReply aReply) {
        net::dispatch(
          self->stream_.get_executor(),
          [self, reply = std::move(aReply)] { self->Reply(reply); });
      });
    if (awaitsReply_ && onDisconnect) {
      onDisconnect_ = std::move(onDisconnect);
      WatchDisconnect();
    }
  }

  enum class CallerState
  {
    Waits,
    HasSentMore,
    Left
  };

  CallerState Peek()
  {
    char byte = 0;
    const auto peeked = ::recv(
      stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (peeked > 0) {
      return CallerState::HasSentMore;
    }
    return peeked < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)
             ? CallerState::Waits
             : CallerState::Left;
  }

  //! Detects a disconnect of the caller while it waits for the reply.
  void WatchDisconnect()
  {
    stream_.socket().async_wait(
      net::ip::tcp::socket::wait_read,
      [self = shared_from_this()](const beast::error_code& aError) {
        if (aError || !self->awaitsReply_) {
          return;
        }
        const CallerState state = self->Peek();
        if (state == CallerState::HasSentMore) {
          return; // A pipelined request; it is read after this reply.
        }
        if (state == CallerState::Waits) {
          self->WatchDisconnect();
          return;
        }
        self->awaitsReply_ = false;
        const DisconnectHook onDisconnect =
          std::exchange(self->onDisconnect_, nullptr);
        if (onDisconnect) {
          onDisconnect();
        }
      });
  }

  void Reply(const OutgoingReply& aReply)
  {
    if (!awaitsReply_) {
      return; // The caller has disconnected.
    }
    keepAlive_ = keepAlive_ && !shared_->draining;
    Write(EncodeResponse(aReply, keepAlive_));
  }

  void Write(std::string aBytes)
  {
    awaitsReply_ = false;
    onDisconnect_ = nullptr;
    responseBytes_ = std::move(aBytes);
    beast::error_code ignored; // Only stops WatchDisconnect, if it is pending.
    stream_.socket().cancel(ignored);
    stream_.expires_after(shared_->limits.readTimeout);
    net::async_write(
      stream_,
      net::buffer(responseBytes_),
      [self = shared_from_this()](const beast::error_code& aError,
                                  std::size_t) {
        if (aError) {
          return;
        }
        if (self->keepAlive_) {
          self->Read();
          return;
        }
        beast::error_code atEnd; // The caller may have closed it first.
        self->stream_.socket().shutdown(net::ip::tcp::socket::shutdown_send,
                                        atEnd);
        self->buffer_.clear();
        self->DiscardInput(0);
      });
  }

  //! Discards remaining input until the caller closes the connection: closing
  //! earlier would reset it, and the caller might not see the reply.
  void DiscardInput(std::size_t aDiscardedBytes)
  {
    if (aDiscardedBytes > kMaxDiscardedBytes) {
      return;
    }
    stream_.async_read_some(
      buffer_.prepare(kReadChunkBytes),
      [self = shared_from_this(),
       aDiscardedBytes](const beast::error_code& aError, std::size_t aCount) {
        if (!aError) {
          self->DiscardInput(aDiscardedBytes + aCount);
        }
      });
  }

  beast::tcp_stream stream_;
  std::shared_ptr<HttpListener::Shared> shared_;
  std::atomic<std::size_t>& count_;
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  std::string responseBytes_;
  DisconnectHook onDisconnect_;
  bool keepAlive_ = true;
  bool awaitsReply_ = false;
};

}

OutgoingReply EmptyReply(RequestError aRequestError)
{
  OutgoingReply reply;
  switch (aRequestError) {
    case RequestError::Malformed:
      reply.status = 400;
      break;
    case RequestError::HeaderTooLarge:
      reply.status = 431;
      break;
    case RequestError::BodyTooLarge:
      reply.status = 413;
      break;
    case RequestError::TooManyConnections:
      reply.status = 503;
      reply.retryAfterSeconds = 1;
      break;
  }
  return reply;
}

HttpListener::HttpListener(net::io_context& aContext,
                           const net::ip::tcp::endpoint& aAddress,
                           const Limits& aLimits,
                           RequestHandler aHandler,
                           RequestErrorHook aErrorReply)
  : context_(aContext)
  , acceptor_(net::make_strand(aContext))
  , shared_(std::make_shared<Shared>())
{
  shared_->limits = aLimits;
  shared_->handler = std::move(aHandler);
  shared_->errorReply = std::move(aErrorReply);
  acceptor_.open(aAddress.protocol());
  acceptor_.set_option(net::socket_base::reuse_address(true));
  acceptor_.bind(aAddress);
  // Use the longest backlog that the system allows: a full one delays
  // connection attempts by seconds.
  acceptor_.listen(net::socket_base::max_listen_connections);
  Accept();
}

HttpListener::~HttpListener()
{
  shared_->stopped = true;
}

void HttpListener::Drain()
{
  if (shared_->draining.exchange(true)) {
    return;
  }
  std::map<const void*, std::function<void()>> idle;
  {
    const std::lock_guard<std::mutex> lock(shared_->mutex);
    idle.swap(shared_->idle);
  }
  for (const auto& [session, close] : idle) {
    close();
  }
}

std::uint16_t HttpListener::Port() const
{
  return acceptor_.local_endpoint().port();
}

std::size_t HttpListener::Connections() const
{
  return shared_->connections;
}

void HttpListener::Accept()
{
  acceptor_.async_accept(
    net::make_strand(context_),
    [this, shared = shared_](const beast::error_code& aError,
                             net::ip::tcp::socket aSocket) {
      if (shared->stopped || aError == net::error::operation_aborted) {
        return;
      }
      const bool isFull = shared->connections >= shared->limits.connections;
      auto& count = isFull ? shared->refused : shared->connections;
      if (!aError && (!isFull || count < shared->limits.refusedConnections)) {
        SetSocketOptions(aSocket);
        std::make_shared<Session>(std::move(aSocket), shared, count)->Read();
      }
      Accept();
    });
}

}
