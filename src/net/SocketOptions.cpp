#include "net/SocketOptions.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace hemlockhaven {

namespace {

//! Unacknowledged data ends a connection after this, in milliseconds: several
//! retransmissions, and less than a caller waits.
constexpr int kUserTimeoutMs = 3000;

}

void SetSocketOptions(boost::asio::ip::tcp::socket& aSocket)
{
  // A connection works without these options, only slower or longer.
  boost::system::error_code ignored;
  aSocket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  using UserTimeout =
    boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  aSocket.set_option(UserTimeout(kUserTimeoutMs), ignored);
}

}
