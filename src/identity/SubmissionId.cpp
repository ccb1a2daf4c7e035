#include "hemlockhaven/identity/SubmissionId.h"

#include <array>
#include <charconv>

namespace hemlockhaven {

namespace {

constexpr int kHexadecimal = 16;
constexpr int kDecimal = 10;

bool ParseNumber(std::string_view aText, int aBase, std::uint64_t& aNumber)
{
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, aNumber, aBase);
  return parsed.ec == std::errc() && parsed.ptr == end;
}

Error MalformedId(std::string_view aText)
{
  return Error::NotRun("parse id",
                       Reason::MalformedRequest,
                       "expected node.incarnation.sequence, found '" +
                         std::string(aText.substr(0, 80)) + "'");
}

}

Result<SubmissionId> SubmissionId::Parse(std::string_view aText)
{
  const std::size_t last = aText.rfind('.');
  if (last == std::string_view::npos || last == 0) {
    return MalformedId(aText);
  }
  const std::size_t middle = aText.rfind('.', last - 1);
  if (middle == std::string_view::npos || middle == 0) {
    return MalformedId(aText);
  }
  SubmissionId id;
  id.home.node = aText.substr(0, middle);
  const std::string_view number = aText.substr(middle + 1, last - middle - 1);
  if (!ParseNumber(number, kHexadecimal, id.home.number) ||
      !ParseNumber(aText.substr(last + 1), kDecimal, id.sequence)) {
    return MalformedId(aText);
  }
  return id;
}

std::string SubmissionId::Text() const
{
  std::array<char, 17> number{};
  const auto written = std::to_chars(
    number.data(), number.data() + number.size(), home.number, kHexadecimal);
  std::string text = home.node;
  text += '.';
  text.append(number.data(), written.ptr);
  text += '.';
  text += std::to_string(sequence);
  return text;
}

}
