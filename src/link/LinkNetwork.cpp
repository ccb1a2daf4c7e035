#include "link/LinkNetwork.h"

#include "link/OutgoingLink.h"
#include "net/SocketOptions.h"

#include <boost/asio/strand.hpp>

#include <array>
#include <atomic>
#include <cstring>
#include <utility>
#include <vector>

namespace hemlockhaven {

namespace net = boost::asio;
using boost::system::error_code;

namespace {

class IncomingLink;

//! The newest connection from a daemon.
struct LatestConnection
{
  std::uint64_t number = 0;
  std::weak_ptr<IncomingLink> link;
};

}

struct LinkNetwork::Shared
{
  Limits limits;
  Hooks hooks;
  std::atomic<bool> stopped{ false };
  std::mutex mutex;
  std::map<std::string, LatestConnection, std::less<>> latestConnections;
  std::uint64_t connectionCount = 0;
};

namespace {

constexpr std::size_t kLengthBytes = 4;

std::string EncodeFrame(const LinkMessage& aMessage)
{
  const std::string body = EncodeLinkMessage(aMessage);
  const auto length = static_cast<std::uint32_t>(body.size());
  std::string frame;
  frame.reserve(kLengthBytes + body.size());
  for (int shift = 24; shift >= 0; shift -= 8) {
    frame.push_back(static_cast<char>((length >> shift) & 0xffU));
  }
  return frame.append(body);
}

std::uint32_t DecodeLength(const char* aBytes)
{
  std::uint32_t length = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    length = (length << 8U) | static_cast<unsigned char>(aBytes[i]);
  }
  return length;
}

//! An incoming connection, on which another daemon sends.
class IncomingLink : public std::enable_shared_from_this<IncomingLink>
{
public:
  IncomingLink(net::ip::tcp::socket aSocket,
               std::shared_ptr<LinkNetwork::Shared> aShared)
    : socket_(std::move(aSocket))
    , shared_(std::move(aShared))
  {
    const std::lock_guard<std::mutex> lock(shared_->mutex);
    connectionNumber_ = ++shared_->connectionCount;
  }

  void Read()
  {
    constexpr std::size_t kReadChunkBytes = 16384;
    const std::size_t used = bytes_.size();
    bytes_.resize(used + kReadChunkBytes);
    socket_.async_read_some(
      net::buffer(bytes_.data() + used, kReadChunkBytes),
      [self = shared_from_this(), used](const error_code& aError,
                                        std::size_t aCount) {
        self->bytes_.resize(used + aCount);
        if (aError || self->shared_->stopped || !self->ProcessFrames()) {
          self->Close();
          return;
        }
        self->Read();
      });
  }

private:
  //! Decodes and delivers the complete frames in the buffer. False if the
  //! connection must be closed.
  bool ProcessFrames()
  {
    std::size_t offset = 0;
    while (bytes_.size() - offset >= kLengthBytes) {
      const std::size_t length = DecodeLength(bytes_.data() + offset);
      if (length > shared_->limits.maxFrameBytes) {
        shared_->hooks.malformed(member_);
        return false;
      }
      if (bytes_.size() - offset - kLengthBytes < length) {
        break;
      }
      auto message =
        DecodeLinkMessage({ bytes_.data() + offset + kLengthBytes, length });
      if (!message) {
        shared_->hooks.malformed(member_);
        return false;
      }
      offset += kLengthBytes + length;
      if (const Heartbeat* heartbeat = std::get_if<Heartbeat>(&*message)) {
        SetSender(heartbeat->from.name);
      }
      // A sender is unknown until its first heartbeat; earlier messages are
      // dropped.
      if (!member_.empty()) {
        shared_->hooks.received(member_, std::move(*message));
      }
    }
    bytes_.erase(bytes_.begin(),
                 bytes_.begin() + static_cast<std::ptrdiff_t>(offset));
    return true;
  }

  void SetSender(const std::string& aName)
  {
    if (member_ == aName) {
      return;
    }
    member_ = aName;
    std::shared_ptr<IncomingLink> earlier;
    {
      const std::lock_guard<std::mutex> lock(shared_->mutex);
      LatestConnection& latest = shared_->latestConnections[aName];
      if (latest.number > connectionNumber_) {
        return;
      }
      earlier = latest.link.lock();
      latest = { connectionNumber_, weak_from_this() };
    }
    if (earlier) {
      // The daemon has given it up; its end may never arrive.
      net::dispatch(earlier->socket_.get_executor(),
                    [earlier] { earlier->Close(); });
    }
  }

  void Close()
  {
    error_code ignored; // The connection is abandoned anyway.
    socket_.close(ignored);
    {
      const std::lock_guard<std::mutex> lock(shared_->mutex);
      const auto latest = shared_->latestConnections.find(member_);
      if (latest == shared_->latestConnections.end() ||
          latest->second.number != connectionNumber_) {
        return; // A newer connection of this daemon exists.
      }
      shared_->latestConnections.erase(latest);
    }
    if (!shared_->stopped) {
      shared_->hooks.disconnected(member_);
    }
  }

  net::ip::tcp::socket socket_;
  std::shared_ptr<LinkNetwork::Shared> shared_;
  std::uint64_t connectionNumber_ = 0;
  std::string member_;
  std::vector<char> bytes_;
};

}

LinkNetwork::LinkNetwork(net::io_context& aContext,
                         const net::ip::tcp::endpoint& aListen,
                         const Limits& aLimits,
                         Hooks aHooks)
  : context_(aContext)
  , acceptor_(net::make_strand(aContext))
  , shared_(std::make_shared<Shared>())
{
  shared_->limits = aLimits;
  shared_->hooks = std::move(aHooks);
  acceptor_.open(aListen.protocol());
  acceptor_.set_option(net::socket_base::reuse_address(true));
  acceptor_.bind(aListen);
  acceptor_.listen();
  Accept();
}

LinkNetwork::~LinkNetwork()
{
  shared_->stopped = true;
}

void LinkNetwork::Accept()
{
  acceptor_.async_accept(
    net::make_strand(context_),
    [this, shared = shared_](const error_code& aError,
                             net::ip::tcp::socket aSocket) {
      if (shared->stopped || aError == net::error::operation_aborted) {
        return;
      }
      if (!aError) {
        SetSocketOptions(aSocket);
        std::make_shared<IncomingLink>(std::move(aSocket), shared)->Read();
      }
      Accept();
    });
}

bool LinkNetwork::Send(const std::string& aAddress, const LinkMessage& aMessage)
{
  std::shared_ptr<Detail::OutgoingLink> link;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    auto& entry = outgoing_[aAddress];
    if (!entry) {
      entry = std::make_shared<Detail::OutgoingLink>(
        context_, aAddress, shared_->limits);
    }
    link = entry;
  }
  return link->Send(EncodeFrame(aMessage));
}

void LinkNetwork::ResetIfOpenFor(const std::string& aAddress, Duration aMinAge)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = outgoing_.find(aAddress);
  if (found != outgoing_.end()) {
    found->second->ResetIfOpenFor(aMinAge);
  }
}

void LinkNetwork::Reset(const std::string& aAddress)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = outgoing_.find(aAddress);
  if (found != outgoing_.end()) {
    found->second->Reset();
  }
}

}
