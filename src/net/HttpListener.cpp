#include "net/HttpListener.h"

#include "net/RequestParser.h"
#include "net/SocketOptions.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/status.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace hemlockhaven {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

struct HttpListener::Shared
{
  Limits limits;
  std::atomic<std::size_t> headerBytes{ 0 };
  std::atomic<std::size_t> bodyBytes{ 0 };
  RequestHandler handler;
  RequestErrorHook errorReply;
  Common common;
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

//! Most requests fit into one read of this size, and each idle connection holds
//! a buffer of it.
constexpr std::size_t kMinReadBytes = 2048;
//! Reads grow up to this size while they are filled.
constexpr std::size_t kMaxReadBytes = 16384;

//! Bytes on the wire for each byte of a chunked body. A chunk of one byte takes
//! six; clients that send such chunks stay within the limit.
constexpr std::size_t kMaxWireFactor = 8;

//! What a connection holds beside its buffers: state of the reactor and timers.
constexpr std::size_t kReactorBytes = 1024;

//! Time for a client to read a refusal and to close the connection.
constexpr Duration kDiscardTimeout{ 3000000 };

//! Pause after a failed accept. Without free descriptors each further attempt
//! fails at once.
constexpr Duration kAcceptRetryInterval{ 50000 };

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
    if (memoryId_ != 0) {
      shared_->common.memory->Close(memoryId_);
    }
    --count_;
    RemoveFromIdle();
  }
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  void Start()
  {
    if (shared_->common.memory) {
      // Closing a refused connection makes no room for another one.
      memoryId_ = shared_->common.memory->Open(
        IsOverLimit() ? nullptr : shared_.get(),
        SteadyNow(),
        [weak = weak_from_this()](GiveWayCause aCause) {
          if (const auto self = weak.lock()) {
            // At once if this is a thread of the listener: behind queued
            // reads the memory would be released too late.
            net::dispatch(self->stream_.get_executor(),
                          [self, aCause] { self->GiveWay(aCause); });
          }
        });
    }
    Read();
  }

private:
  bool IsOverLimit() const { return &count_ == &shared_->refused; }

  void RemoveFromIdle()
  {
    const std::lock_guard<std::mutex> lock(shared_->mutex);
    shared_->idle.erase(this);
  }

  std::size_t HeldBytes() const
  {
    return sizeof(Session) + kReactorBytes + buffer_.capacity() +
           (parser_ ? parser_->HeldBytes() : 0) + handledBytes_ +
           responseBytes_.capacity();
  }

  //! False: this connection has to give way, which only a receiving one has.
  bool Charge(ConnectionPhase aPhase)
  {
    phase_ = aPhase;
    return memoryId_ == 0 || shared_->common.memory->Update(
                               memoryId_, aPhase, HeldBytes(), SteadyNow());
  }

  void Reject(RequestError aError)
  {
    if (shared_->common.onRejection) {
      shared_->common.onRejection(aError);
    }
  }

  void Read()
  {
    parser_.reset();
    std::string().swap(responseBytes_);
    handledBytes_ = 0;
    if (buffer_.size() > 0) {
      BeginRequest();
      return;
    }
    if (buffer_.capacity() > kMinReadBytes) {
      buffer_ = beast::flat_buffer();
    }
    const auto space = buffer_.prepare(kMinReadBytes);
    static_cast<void>(
      Charge(isNew_ ? ConnectionPhase::Silent : ConnectionPhase::Idle));
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
    stream_.async_read_some(
      space,
      [self = shared_from_this()](const beast::error_code& aError,
                                  std::size_t aCount) {
        self->RemoveFromIdle();
        if (aError) {
          return;
        }
        self->buffer_.commit(aCount);
        self->BeginRequest();
      });
  }

  void CloseIfIdle()
  {
    // A request that has started to arrive still gets its reply.
    if ((phase_ == ConnectionPhase::Silent ||
         phase_ == ConnectionPhase::Idle) &&
        buffer_.size() == 0) {
      Close();
    }
  }

  void Close()
  {
    beast::error_code ignored; // The caller may have closed it first.
    stream_.socket().close(ignored);
  }

  //! Reads a request whose first bytes are buffered.
  void BeginRequest()
  {
    isNew_ = false;
    beganAt_ = SteadyNow();
    wireBytes_ = 0;
    readBytes_ = kMinReadBytes;
    headerLimit_ = shared_->headerBytes;
    bodyLimit_ = shared_->bodyBytes;
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(headerLimit_));
    parser_->body_limit(bodyLimit_);
    parser_->eager(true);
    phase_ = ConnectionPhase::Receiving;
    Parse();
  }

  //! Parses what is buffered and reads on until the request is complete.
  void Parse()
  {
    beast::error_code error;
    const std::size_t parsed = parser_->put(buffer_.data(), error);
    buffer_.consume(parsed);
    wireBytes_ += parsed;
    if (error && error != http::error::need_more) {
      ReplyWithError(ErrorOf(error));
    } else if (parser_->is_done()) {
      OnComplete();
    } else if (parser_->is_header_done() && buffer_.size() >= headerLimit_) {
      ReplyWithError(RequestError::TrailerTooLarge);
    } else if (wireBytes_ > 2 * headerLimit_ + kMaxWireFactor * bodyLimit_) {
      ReplyWithError(RequestError::BodyTooLarge);
    } else {
      ReadMore();
    }
  }

  static RequestError ErrorOf(const beast::error_code& aError)
  {
    if (aError == http::error::body_limit) {
      return RequestError::BodyTooLarge;
    }
    return aError == http::error::header_limit ? RequestError::HeaderTooLarge
                                               : RequestError::Malformed;
  }

  void ReadMore()
  {
    const auto space = buffer_.prepare(readBytes_);
    if (!Charge(ConnectionPhase::Receiving)) {
      ReplyWithError(RequestError::MemoryExhausted);
      return;
    }
    const TimePoint now = SteadyNow();
    const TimePoint stallsAt = parser_->is_header_done()
                                 ? now + shared_->limits.stallTimeout
                                 : beganAt_ + shared_->limits.headerTimeout;
    const TimePoint end =
      std::min(stallsAt, beganAt_ + shared_->limits.readTimeout);
    stream_.expires_after(std::max(end - now, Duration(0)));
    stream_.async_read_some(
      space,
      [self = shared_from_this()](const beast::error_code& aError,
                                  std::size_t aCount) {
        self->OnRead(aError, aCount);
      });
  }

  void OnRead(const beast::error_code& aError, std::size_t aCount)
  {
    if (givesWay_) {
      if (*givesWay_ == GiveWayCause::BudgetExhausted) {
        ReplyWithError(RequestError::MemoryExhausted);
      } else {
        Reject(RequestError::TooManyConnections);
      }
      return; // Without a reply the connection is closed.
    }
    if (aError) {
      // A closed connection gets no error reply.
      if (aError == beast::error::timeout) {
        Reject(RequestError::TooSlow);
      }
      return;
    }
    buffer_.commit(aCount);
    if (aCount >= readBytes_) {
      readBytes_ = std::min(2 * readBytes_, kMaxReadBytes);
    }
    Parse();
  }

  //! A read or write is pending while the connection can be chosen. The phase
  //! may have changed since: a request that was refused still gets its reply.
  void GiveWay(GiveWayCause aCause)
  {
    switch (phase_) {
      case ConnectionPhase::Receiving:
        givesWay_ = aCause;
        stream_.cancel(); // From here on the read leaves the buffer alone.
        ReleaseRequest();
        static_cast<void>(Charge(ConnectionPhase::Receiving));
        break;
      case ConnectionPhase::Answering:
        if (!isRefused_) {
          Reject(RequestError::ReplyNotRead);
          Close();
        }
        break;
      case ConnectionPhase::Silent:
      case ConnectionPhase::Discarding:
        if (aCause == GiveWayCause::ListenerFull) {
          Close();
        }
        break;
      case ConnectionPhase::Idle:
      case ConnectionPhase::Waiting:
        break; // The request has been completed in the meantime.
    }
  }

  void OnComplete()
  {
    if (IsOverLimit()) {
      ReplyWithError(RequestError::TooManyConnections);
    } else if (!Charge(ConnectionPhase::Receiving)) {
      ReplyWithError(RequestError::MemoryExhausted);
    } else {
      Handle();
    }
  }

  void ReleaseRequest()
  {
    parser_.reset();
    buffer_ = beast::flat_buffer();
  }

  //! Releases the request, replies and closes the connection.
  void ReplyWithError(RequestError aRequestError)
  {
    Reject(aRequestError);
    isRefused_ = true;
    ReleaseRequest();
    keepAlive_ = false;
    awaitsReply_ = true;
    Write(EncodeResponse(shared_->errorReply(aRequestError), false));
  }

  void Handle()
  {
    keepAlive_ = parser_->keep_alive();
    awaitsReply_ = true;
    reservation_.emplace(shared_->common.memory);
    // The handler decides how long the caller waits.
    stream_.expires_never();
    static_cast<void>(Charge(ConnectionPhase::Waiting));
    IncomingRequest request;
    request.method = parser_->Method();
    request.target = parser_->Target();
    request.body = parser_->Body();
    request.header = [this](std::string_view aName) {
      return parser_->Field(aName);
    };
    request.hasCallerLeft = [this] { return Peek() == CallerState::Left; };
    request.reserve = [this](std::size_t aBytes) {
      const ReserveOutcome outcome =
        reservation_ ? reservation_->Add(aBytes) : ReserveOutcome::Exhausted;
      if (outcome != ReserveOutcome::Reserved) {
        Reject(RequestErrorOf(outcome));
      }
      return outcome;
    };
    auto onDisconnect = shared_->handler(
      request, [self = shared_from_this()](OutgoingReply aReply) {
        net::dispatch(
          self->stream_.get_executor(),
          [self, reply = std::move(aReply)] { self->Reply(reply); });
      });
    // What the handler keeps of the request while it is handled.
    const std::size_t kept = parser_->Target().size() + parser_->Body().size();
    parser_.reset();
    if (!awaitsReply_) {
      return;
    }
    handledBytes_ = kept;
    if (buffer_.size() == 0) {
      buffer_ = beast::flat_buffer();
    }
    static_cast<void>(Charge(ConnectionPhase::Waiting));
    if (onDisconnect) {
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
    handledBytes_ = 0;
    reservation_.reset();
    responseBytes_ = std::move(aBytes);
    static_cast<void>(Charge(ConnectionPhase::Answering));
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
        std::string().swap(self->responseBytes_);
        self->buffer_ = beast::flat_buffer();
        self->stream_.expires_after(kDiscardTimeout);
        self->DiscardInput(0);
      });
  }

  //! Discards remaining input until the caller closes the connection: closing
  //! earlier would reset it, and the caller might not see the reply. A request
  //! within the limits is read to its end.
  void DiscardInput(std::size_t aDiscardedBytes)
  {
    if (aDiscardedBytes > headerLimit_ + bodyLimit_) {
      return;
    }
    const auto space = buffer_.prepare(kMinReadBytes);
    static_cast<void>(Charge(ConnectionPhase::Discarding));
    stream_.async_read_some(
      space,
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
  ConnectionMemory::ConnectionId memoryId_ = 0; //!< 0: not charged.
  ConnectionPhase phase_ = ConnectionPhase::Silent;
  std::optional<GiveWayCause> givesWay_;
  beast::flat_buffer buffer_;
  std::optional<Detail::RequestParser> parser_;
  std::size_t headerLimit_ = 0; //!< Of the present request.
  std::size_t bodyLimit_ = 0;
  TimePoint beganAt_{};
  std::size_t wireBytes_ = 0; //!< Of the present request.
  std::size_t readBytes_ = kMinReadBytes;
  std::size_t handledBytes_ = 0;
  std::optional<MemoryReservation> reservation_; //!< While it is handled.
  std::string responseBytes_;
  DisconnectHook onDisconnect_;
  bool isNew_ = true;
  bool isRefused_ = false;
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
    case RequestError::TrailerTooLarge:
      reply.status = 431;
      break;
    case RequestError::BodyTooLarge:
    case RequestError::DocumentTooLarge:
      reply.status = 413;
      break;
    case RequestError::TooSlow:
      reply.status = 408;
      break;
    case RequestError::MemoryExhausted:
    case RequestError::ReplyNotRead:
    case RequestError::Count:
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
                           RequestErrorHook aErrorReply,
                           Common aCommon)
  : context_(aContext)
  , acceptor_(net::make_strand(aContext))
  , acceptRetry_(acceptor_.get_executor())
  , shared_(std::make_shared<Shared>())
{
  shared_->limits = aLimits;
  shared_->handler = std::move(aHandler);
  shared_->errorReply = std::move(aErrorReply);
  shared_->common = std::move(aCommon);
  SetMessageLimits(aLimits.headerBytes, aLimits.bodyBytes);
  acceptor_.open(aAddress.protocol());
  acceptor_.set_option(net::socket_base::reuse_address(true));
  // Accepted sockets inherit the sizes, also while they wait for that.
  SetKernelBuffers(
    acceptor_, aLimits.receiveBufferBytes, aLimits.sendBufferBytes);
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

void HttpListener::SetMessageLimits(std::size_t aHeaderBytes,
                                    std::size_t aBodyBytes)
{
  shared_->headerBytes = aHeaderBytes;
  shared_->bodyBytes = aBodyBytes;
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
      if (aError) {
        acceptRetry_.expires_after(kAcceptRetryInterval);
        acceptRetry_.async_wait([this, shared](const beast::error_code& aEnd) {
          if (!aEnd && !shared->stopped) {
            Accept();
          }
        });
        return;
      }
      const bool isFull =
        shared->connections >= shared->limits.connections &&
        !(shared->common.memory &&
          shared->common.memory->MakeRoom(shared.get(), SteadyNow()));
      auto& count = isFull ? shared->refused : shared->connections;
      if (!isFull || count < shared->limits.refusedConnections) {
        SetSocketOptions(aSocket);
        std::make_shared<Session>(std::move(aSocket), shared, count)->Start();
      } else if (shared->common.onRejection) {
        shared->common.onRejection(RequestError::TooManyConnections);
      }
      Accept();
    });
}

}
