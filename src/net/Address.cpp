#include "net/Address.h"

#include <charconv>
#include <cstdint>
#include <string>

namespace hemlockhaven {

std::optional<boost::asio::ip::tcp::endpoint> ParseAddress(
  std::string_view aAddress)
{
  const std::size_t colon = aAddress.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address(
    std::string(aAddress.substr(0, colon)), error);
  const std::string_view digits = aAddress.substr(colon + 1);
  std::uint16_t port = 0;
  const auto parsed =
    std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error || parsed.ec != std::errc() ||
      parsed.ptr != digits.data() + digits.size() || port == 0) {
    return std::nullopt;
  }
  return boost::asio::ip::tcp::endpoint(ip, port);
}

}
