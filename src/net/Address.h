#ifndef HEMLOCKHAVEN_SRC_NET_ADDRESS_H
#define HEMLOCKHAVEN_SRC_NET_ADDRESS_H

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string_view>

namespace hemlockhaven {

//! Parses "IP:port"; nothing if it is malformed. No names are looked up.
std::optional<boost::asio::ip::tcp::endpoint> ParseAddress(
  std::string_view aAddress);

}

#endif
