#include "net/HttpRequestView.h"

#include <cctype>
#include <charconv>

namespace hemlockhaven {

namespace {

std::string UrlDecoded(std::string_view aText)
{
  std::string text;
  text.reserve(aText.size());
  for (std::size_t i = 0; i < aText.size(); ++i) {
    unsigned code = 0;
    const char* digits = aText.data() + i + 1;
    if (aText[i] == '%' && i + 2 < aText.size() &&
        std::from_chars(digits, digits + 2, code, 16).ptr == digits + 2) {
      text += static_cast<char>(code);
      i += 2;
    } else {
      text += aText[i] == '+' ? ' ' : aText[i];
    }
  }
  return text;
}

}

bool StripPrefix(std::string_view& aText, std::string_view aPrefix)
{
  if (aText.substr(0, aPrefix.size()) != aPrefix) {
    return false;
  }
  aText.remove_prefix(aPrefix.size());
  return true;
}

std::optional<std::string> QueryText(std::string_view aQuery,
                                     std::string_view aName)
{
  while (!aQuery.empty()) {
    const std::size_t end = aQuery.find('&');
    std::string_view item = aQuery.substr(0, end);
    aQuery = end == std::string_view::npos ? "" : aQuery.substr(end + 1);
    if (StripPrefix(item, aName) && StripPrefix(item, "=")) {
      return UrlDecoded(item);
    }
  }
  return std::nullopt;
}

std::optional<std::uint64_t> QueryNumber(std::string_view aQuery,
                                         std::string_view aName)
{
  const auto text = QueryText(aQuery, aName);
  if (!text) {
    return std::nullopt;
  }
  std::uint64_t number = 0;
  const char* last = text->data() + text->size();
  const auto parsed = std::from_chars(text->data(), last, number);
  if (parsed.ec != std::errc() || parsed.ptr != last) {
    return std::nullopt;
  }
  return number;
}

std::string UrlEncoded(std::string_view aText)
{
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string text;
  for (const char letter : aText) {
    const auto code = static_cast<unsigned char>(letter);
    if (std::isalnum(code) != 0 || letter == '-' || letter == '.' ||
        letter == '_') {
      text += letter;
    } else {
      text += '%';
      text += kDigits[code >> 4U];
      text += kDigits[code & 15U];
    }
  }
  return text;
}

}
