#ifndef HEMLOCKHAVEN_SRC_LINK_LINKNETWORK_H
#define HEMLOCKHAVEN_SRC_LINK_LINKNETWORK_H

#include "hemlockhaven/core/Time.h"
#include "link/LinkMessage.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace hemlockhaven {

namespace Detail {
class OutgoingLink;
}

//! Links to the other daemons. Connections are unidirectional: this daemon
//! sends on one outgoing connection to each other daemon and receives on
//! incoming ones. Thread-safe.
class LinkNetwork
{
public:
  struct Hooks
  {
    //! Called for each message with the name of its sender.
    std::function<void(std::string_view aMember, LinkMessage)> received;
    //! Called when the latest connection from a daemon has closed.
    std::function<void(std::string_view aMember)> disconnected;
    //! Called for an undecodable or oversized frame, before its connection is
    //! closed. aMember is empty if no heartbeat has arrived on the connection.
    std::function<void(std::string_view aMember)> malformed;
  };

  struct Limits
  {
    std::size_t maxFrameBytes = std::size_t{ 1 } << 20U;
    //! Limit of queued bytes per daemon; further messages are dropped.
    std::size_t maxQueuedBytes = std::size_t{ 2 } << 20U;
    Duration connectTimeout{ 400000 };
    //! Minimum time between the starts of two connection attempts.
    Duration reconnectDelay{ 50000 };
  };

  //! Starts listening. Throws std::exception if the address is in use.
  LinkNetwork(boost::asio::io_context& aContext,
              const boost::asio::ip::tcp::endpoint& aListen,
              const Limits& aLimits,
              Hooks aHooks);
  ~LinkNetwork();
  LinkNetwork(const LinkNetwork&) = delete;
  LinkNetwork& operator=(const LinkNetwork&) = delete;

  //! Queues a message to the daemon at the address ("IP:port") and connects if
  //! needed. False if the queue is full. Delivery is not guaranteed: a closed
  //! connection drops its queue.
  bool Send(const std::string& aAddress, const LinkMessage& aMessage);

  //! Closes the connection to the address; the next message opens a new one.
  void Reset(const std::string& aAddress);

  //! The same if the connection has been open for that long, so that one that
  //! is new is not given up before the other end has had time to answer.
  void ResetIfOpenFor(const std::string& aAddress, Duration aMinAge);

  std::uint16_t Port() const { return acceptor_.local_endpoint().port(); }

  struct Shared; //!< State shared with the connections.

private:
  void Accept();

  boost::asio::io_context& context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::shared_ptr<Shared> shared_;
  std::mutex mutex_;
  std::map<std::string, std::shared_ptr<Detail::OutgoingLink>> outgoing_;
};

}

#endif
