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

//! Links to the other daemons: one outgoing connection to each, on which this
//! daemon sends, and the incoming ones, on which it receives.
class LinkNetwork
{
public:
  struct Hooks
  {
    //! A message, and the name of the daemon that sent it.
    std::function<void(std::string_view aMember, LinkMessage)> received;
    //! The connection on which a daemon sent has ended.
    std::function<void(std::string_view aMember)> disconnected;
    //! A frame that cannot be read; its connection is closed.
    std::function<void(std::string_view aMember)> malformed;
  };

  struct Limits
  {
    std::size_t maxFrameBytes = std::size_t{ 1 } << 20U;
    //! Unsent bytes to one daemon; further messages are dropped.
    std::size_t maxQueuedBytes = std::size_t{ 2 } << 20U;
    //! A connection attempt, and the pause after one that failed.
    Duration connectTimeout{ 400000 };
    Duration reconnectDelay{ 50000 };
  };

  //! Listens; throws std::exception if the address is taken.
  LinkNetwork(boost::asio::io_context& aContext,
              const boost::asio::ip::tcp::endpoint& aListen,
              const Limits& aLimits,
              Hooks aHooks);
  ~LinkNetwork();
  LinkNetwork(const LinkNetwork&) = delete;
  LinkNetwork& operator=(const LinkNetwork&) = delete;

  //! Sends to the daemon at this address, connecting if needed. False if too
  //! much is waiting already.
  bool Send(const std::string& aAddress, const LinkMessage& aMessage);

  //! Closes the connection to this address; the next message opens another.
  void Reset(const std::string& aAddress);

  std::uint16_t Port() const { return acceptor_.local_endpoint().port(); }

  struct Shared; //!< State that connections share.

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
