#ifndef HEMLOCKHAVEN_SRC_LINK_OUTGOINGLINK_H
#define HEMLOCKHAVEN_SRC_LINK_OUTGOINGLINK_H

#include "link/LinkNetwork.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <memory>
#include <mutex>
#include <string>

namespace hemlockhaven::Detail {

//! The connection on which this daemon sends to one other daemon. Queues frames
//! while connecting or writing.
class OutgoingLink : public std::enable_shared_from_this<OutgoingLink>
{
public:
  OutgoingLink(boost::asio::io_context& aContext,
               std::string aAddress,
               const LinkNetwork::Limits& aLimits);

  //! Queues a frame. False if the queue is full.
  bool Send(std::string_view aFrame);
  //! Closes the connection and drops queued frames.
  void Reset();
  //! The same if the connection has been open for that long.
  void ResetIfOpenFor(Duration aMinAge);

private:
  enum class State : std::uint8_t
  {
    Closed,
    Connecting,
    Open,
    Writing,
  };

  void ConnectOrWrite();
  void Connect();
  void Write();
  void WatchDisconnect();
  void Close();

  const std::string address_;
  const LinkNetwork::Limits limits_;
  boost::beast::tcp_stream stream_; //!< Its strand guards all but queue_.
  State state_ = State::Closed;
  TimePoint nextConnectAt_{};
  TimePoint openedAt_{};         //!< Of the present connection.
  std::uint64_t generation_ = 0; //!< Tells stale handlers apart.
  std::string writing_;
  char discardedByte_ = 0; //!< The peer sends nothing on this connection.
  std::mutex mutex_;
  std::string queue_; //!< Complete frames; guarded by mutex_.
};

}

#endif
