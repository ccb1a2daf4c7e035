#include "net/SocketOptions.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace hemlockhaven {

namespace {

//! Closes a connection whose data stays unacknowledged for this long: several
//! retransmissions, but less than a caller waits.
constexpr int kUserTimeoutMs = 3000;

}

void SetSocketOptions(boost::asio::ip::tcp::socket& aSocket)
{
  SetSocketOptions(aSocket.native_handle());
}

void SetSocketOptions(int aDescriptor)
{
  // Errors are ignored: without these options a connection still works, but
  // sends later or takes longer to detect a dead peer.
  const int noDelay = 1;
  ::setsockopt(
    aDescriptor, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof(noDelay));
  ::setsockopt(aDescriptor,
               IPPROTO_TCP,
               TCP_USER_TIMEOUT,
               &kUserTimeoutMs,
               sizeof(kUserTimeoutMs));
}

void SetKernelBuffers(boost::asio::ip::tcp::acceptor& aAcceptor,
                      std::size_t aReceiveBytes,
                      std::size_t aSendBytes)
{
  // Linux takes twice the number that is set. An error leaves the system's
  // size, with which the listener still works.
  boost::system::error_code ignored;
  if (aReceiveBytes > 0) {
    aAcceptor.set_option(boost::asio::socket_base::receive_buffer_size(
                           static_cast<int>(aReceiveBytes / 2)),
                         ignored);
  }
  if (aSendBytes > 0) {
    aAcceptor.set_option(boost::asio::socket_base::send_buffer_size(
                           static_cast<int>(aSendBytes / 2)),
                         ignored);
  }
}

}
