#ifndef HEMLOCKHAVEN_SRC_NET_SOCKETOPTIONS_H
#define HEMLOCKHAVEN_SRC_NET_SOCKETOPTIONS_H

#include <boost/asio/ip/tcp.hpp>

namespace hemlockhaven {

//! Sends small messages at once and gives up on a peer that acknowledges
//! nothing for some seconds.
void SetSocketOptions(boost::asio::ip::tcp::socket& aSocket);

}

#endif
