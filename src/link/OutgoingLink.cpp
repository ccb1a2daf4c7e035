#include "link/OutgoingLink.h"

#include "net/Address.h"
#include "net/SocketOptions.h"

#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>

#include <utility>

namespace hemlockhaven::Detail {

namespace net = boost::asio;
using boost::system::error_code;

OutgoingLink::OutgoingLink(net::io_context& aContext,
                           std::string aAddress,
                           const LinkNetwork::Limits& aLimits)
  : address_(std::move(aAddress))
  , limits_(aLimits)
  , stream_(net::make_strand(aContext))
{
}

bool OutgoingLink::Send(std::string_view aFrame)
{
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (queue_.size() + aFrame.size() > limits_.maxQueuedBytes) {
      return false;
    }
    queue_.append(aFrame);
  }
  net::dispatch(stream_.get_executor(),
                [self = shared_from_this()] { self->ConnectOrWrite(); });
  return true;
}

void OutgoingLink::Reset()
{
  net::dispatch(stream_.get_executor(),
                [self = shared_from_this()] { self->Close(); });
}

void OutgoingLink::ResetIfOpenFor(Duration aMinAge)
{
  net::dispatch(stream_.get_executor(), [self = shared_from_this(), aMinAge] {
    const bool isOpen =
      self->state_ == State::Open || self->state_ == State::Writing;
    if (isOpen && SteadyNow() - self->openedAt_ >= aMinAge) {
      self->Close();
    }
  });
}

void OutgoingLink::ConnectOrWrite()
{
  if (state_ == State::Open) {
    Write();
  } else if (state_ == State::Closed) {
    if (SteadyNow() >= nextConnectAt_) {
      Connect();
    } else {
      // Frames queued while the daemon is unreachable would arrive too late.
      const std::lock_guard<std::mutex> lock(mutex_);
      queue_.clear();
    }
  }
}

void OutgoingLink::Connect()
{
  const auto endpoint = ParseAddress(address_);
  if (!endpoint) {
    nextConnectAt_ = TimePoint::max();
    return;
  }
  state_ = State::Connecting;
  nextConnectAt_ = SteadyNow() + limits_.reconnectDelay;
  const std::uint64_t generation = ++generation_;
  stream_.expires_after(limits_.connectTimeout);
  stream_.async_connect(
    *endpoint,
    [self = shared_from_this(), generation](const error_code& aError) {
      if (generation != self->generation_) {
        return;
      }
      if (aError) {
        self->Close();
        return;
      }
      self->stream_.expires_never();
      SetSocketOptions(self->stream_.socket());
      self->state_ = State::Open;
      self->openedAt_ = SteadyNow();
      self->WatchDisconnect();
      self->Write();
    });
}

void OutgoingLink::Write()
{
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    writing_.swap(queue_);
    queue_.clear();
  }
  if (writing_.empty()) {
    return;
  }
  state_ = State::Writing;
  net::async_write(stream_.socket(),
                   net::buffer(writing_),
                   [self = shared_from_this(), generation = generation_](
                     const error_code& aError, std::size_t) {
                     if (generation != self->generation_) {
                       return;
                     }
                     self->writing_.clear();
                     if (aError) {
                       self->Close();
                       return;
                     }
                     self->state_ = State::Open;
                     self->Write();
                   });
}

void OutgoingLink::WatchDisconnect()
{
  stream_.socket().async_read_some(
    net::buffer(&discardedByte_, 1),
    [self = shared_from_this(), generation = generation_](const error_code&,
                                                          std::size_t) {
      if (generation == self->generation_) {
        self->Close();
      }
    });
}

void OutgoingLink::Close()
{
  ++generation_;
  state_ = State::Closed;
  error_code ignored; // The connection is abandoned anyway.
  stream_.socket().close(ignored);
  // Frames of a broken connection may have arrived; sending them again could
  // deliver them twice.
  const std::lock_guard<std::mutex> lock(mutex_);
  queue_.clear();
}

}
