#ifndef HEMLOCKHAVEN_SRC_NET_ADDRESS_H
#define HEMLOCKHAVEN_SRC_NET_ADDRESS_H

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string_view>

namespace hemlockhaven {

//! Parses "IP:port". Returns nullopt if it is malformed or the port is 0. Host
//! names are not resolved.
std::optional<boost::asio::ip::tcp::endpoint> ParseAddress(
  std::string_view aAddress);

}

#endif
