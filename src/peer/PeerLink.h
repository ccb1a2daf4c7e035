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

//! One TCP connection to a peer: a bounded queue of frames to write, the calls
//! that wait for a reply, and the bytes read so far.
//!
//! Enqueue and Await may be called by any thread; everything else by the
//! network's I/O thread only.
class PeerLink
{
public:
  using Callback = std::function<void(Result<Message>&&)>;
  using Bytes = std::shared_ptr<const std::string>;

  //! A call that has ended without a reply.
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

  //! Queues a frame. With a callback its reply is awaited until the deadline.
  //! An error means that nothing was queued and the callback is not called.
  Result<void> Enqueue(Bytes aBytes,
                       std::uint64_t aCorrelation = 0,
                       Callback aCallback = {},
                       TimePoint aDeadline = {});

  //! Awaits a reply to a frame that a test hook dropped.
  Result<void> RegisterCall(std::uint64_t aCorrelation,
                            Callback aCallback,
                            TimePoint aDeadline);

  //! Takes the call that a reply belongs to; empty if there is none.
  Callback TakeCall(std::uint64_t aCorrelation);

  //! Whether calls wait for a reply.
  bool HasCalls() const;

  //! Whether frames wait to be written.
  bool HasOutput() const;

  //! Writes what the socket takes; false if the link is broken.
  bool Flush(std::uint64_t& aSentBytes);

  //! Reads what has arrived; false if the link is broken.
  bool Receive(std::uint64_t& aReceivedBytes);

  //! The next whole frame without its length; valid until the next Receive.
  //! An error means that the bytes are no frame.
  Result<std::optional<std::string_view>> NextFrame();

  //! Takes the calls whose deadline has passed.
  std::vector<FailedCall> TakeExpiredCalls(TimePoint aNow);

  //! Refuses further frames, closes the connection and takes all calls.
  std::vector<FailedCall> Close();

  // Kept by the I/O thread.
  std::optional<Hello> peer; //!< Absent until its Hello arrived.
  std::string dialedNode;    //!< Whom the dialer expects; may be empty.
  TimePoint lastReceivedAt;
  TimePoint lastSentAt;

private:
  struct Call
  {
    Callback callback;
    TimePoint deadline;
    bool sent = false; //!< At least its first byte.
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
  std::size_t outputOffset_ = 0; //!< Written bytes of the first frame.
  std::size_t queuedBytes_ = 0;
  std::unordered_map<std::uint64_t, Call> calls_;
};

}

#endif
