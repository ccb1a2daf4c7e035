#ifndef HEMLOCKHAVEN_SRC_NET_SOCKETOPTIONS_H
#define HEMLOCKHAVEN_SRC_NET_SOCKETOPTIONS_H

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>

namespace hemlockhaven {

//! Disables Nagle's algorithm and sets a TCP user timeout, which closes the
//! connection to a peer that has acknowledged no data for 3 seconds.
void SetSocketOptions(boost::asio::ip::tcp::socket& aSocket);
//! The same for a socket of any executor, by its descriptor.
void SetSocketOptions(int aDescriptor);

//! Bounds the memory that each accepted socket may take in the kernel. 0 leaves
//! a buffer to the system, which lets it grow to several MB.
void SetKernelBuffers(boost::asio::ip::tcp::acceptor& aAcceptor,
                      std::size_t aReceiveBytes,
                      std::size_t aSendBytes);

}

#endif
