#ifndef HEMLOCKHAVEN_PEER_PEERLINK_H
#define HEMLOCKHAVEN_PEER_PEERLINK_H

#include "hemlockhaven/core/Result.h"
#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/membership/Messages.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cxxtools::net {
class TcpSocket;
}

namespace hemlockhaven {

//! One TCP connection to a peer: a bounded write queue, the pending calls and
//! the read buffer.
//!
//! Enqueue and RegisterCall are thread-safe; all other methods are for the
//! network's I/O thread.
class PeerLink
{
public:
  using Callback = std::function<void(Result<Message>&&)>;
  using Bytes = std::shared_ptr<const std::string>;

  //! A call that ended without a reply.
  struct FailedCall
  {
    Callback callback;
    Error error;
  };

  PeerLink(std::unique_ptr<cxxtools::net::TcpSocket> aSocket,
           bool aIsDialed,
           std::size_t aMaxQueuedBytes,
           TimePoint aNow);
  ~PeerLink();
  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  int Descriptor() const;
  bool IsDialed() const { return isDialed_; }

  //! Queues a frame. With a callback, also registers a call that expires at the
  //! deadline. On error nothing is queued and the callback is never called.
  Result<void> Enqueue(Bytes aBytes,
                       std::uint64_t aCorrelation = 0,
                       Callback aCallback = {},
                       TimePoint aDeadline = {});

  //! Registers a call without queuing its frame, for frames that a simulated
  //! partition drops. The call counts as sent.
  Result<void> RegisterCall(std::uint64_t aCorrelation,
                            Callback aCallback,
                            TimePoint aDeadline);

  //! Removes a pending call and returns its callback; empty if there is none.
  Callback TakeCall(std::uint64_t aCorrelation);

  //! Whether any call is pending.
  bool HasCalls() const;

  //! Whether any frame is queued for writing.
  bool HasOutput() const;

  //! Writes queued frames until the socket would block; false if the connection
  //! is broken. Adds the bytes written to the argument.
  bool Flush(std::uint64_t& aSentBytes);

  //! Reads available bytes, up to a limit; false if the connection is closed or
  //! broken. Adds the bytes read to the argument.
  bool Receive(std::uint64_t& aReceivedBytes);

  //! Returns the next complete frame without its length prefix; empty if more
  //! bytes are needed. The view is valid until the next Receive. An error means
  //! that the length prefix is invalid.
  Result<std::optional<std::string_view>> NextFrame();

  //! Removes and returns the calls whose deadline has passed. Unsent frames of
  //! these calls leave the write queue.
  std::vector<FailedCall> TakeExpiredCalls(TimePoint aNow);

  //! Shuts the connection down, rejects further frames, and removes and returns
  //! all pending calls.
  std::vector<FailedCall> Close();

  // Accessed by the I/O thread only.
  std::optional<Hello> peer; //!< Empty until its Hello arrives.
  std::string dialedNode;    //!< Expected node; empty if accepted.
  TimePoint lastReceivedAt;
  TimePoint lastSentAt;

private:
  struct Call
  {
    Callback callback;
    TimePoint deadline;
    bool sent = false; //!< At least one byte was written.
  };
  struct QueuedFrame
  {
    Bytes bytes;
    std::uint64_t correlation = 0;
  };

  std::unique_ptr<cxxtools::net::TcpSocket> socket_;
  bool isDialed_;
  std::size_t maxQueuedBytes_;
  std::string input_;
  std::size_t inputStart_ = 0;

  mutable std::mutex mutex_; //!< Guards the members below.
  bool closed_ = false;
  std::deque<QueuedFrame> output_;
  std::size_t outputOffset_ = 0; //!< Bytes written of the first frame.
  std::size_t queuedBytes_ = 0;
  std::unordered_map<std::uint64_t, Call> calls_;
};

}

#endif
