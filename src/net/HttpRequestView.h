#ifndef HEMLOCKHAVEN_SRC_NET_HTTPREQUESTVIEW_H
#define HEMLOCKHAVEN_SRC_NET_HTTPREQUESTVIEW_H

#include "net/MemoryReservation.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hemlockhaven {

//! One HTTP request, as views into the transport's buffers.
struct HttpRequestView
{
  std::string_view method;
  std::string_view path;  //!< Without the query.
  std::string_view query; //!< Without '?'.
  std::string_view body;
  //! Reserves memory until the reply; empty: without a bound.
  ReserveHook reserve{};
};

//! Removes a prefix; false if the text does not start with it.
bool StripPrefix(std::string_view& aText, std::string_view aPrefix);

//! The decoded value of a query parameter, if it is present.
std::optional<std::string> QueryText(std::string_view aQuery,
                                     std::string_view aName);

//! The value of a query parameter, if it is a whole number.
std::optional<std::uint64_t> QueryNumber(std::string_view aQuery,
                                         std::string_view aName);

//! Encodes a text as the value of a query parameter.
std::string UrlEncoded(std::string_view aText);

}

#endif
