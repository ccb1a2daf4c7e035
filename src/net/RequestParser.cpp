#include "net/RequestParser.h"

#include <algorithm>

namespace hemlockhaven::Detail {

namespace http = boost::beast::http;

std::string_view RequestParser::Method() const
{
  return std::string_view(head_).substr(0, methodBytes_);
}

std::string_view RequestParser::Target() const
{
  return std::string_view(head_).substr(methodBytes_, targetBytes_);
}

std::string_view RequestParser::Field(std::string_view aName) const
{
  std::string_view rest =
    std::string_view(head_).substr(methodBytes_ + targetBytes_);
  while (!rest.empty()) {
    // Neither a name nor a value contains a line feed, and no name a colon.
    const std::size_t colon = rest.find(':');
    const std::size_t end = rest.find('\n', colon);
    if (boost::beast::iequals({ rest.data(), colon },
                              { aName.data(), aName.size() })) {
      return rest.substr(colon + 1, end - colon - 1);
    }
    rest.remove_prefix(end + 1);
  }
  return {};
}

std::size_t RequestParser::AppendToBody(View aBytes)
{
  if (body_.size() + aBytes.size() > body_.capacity()) {
    const std::size_t doubled = 2 * (body_.size() + aBytes.size());
    body_.reserve(announcedBytes_ > 0
                    ? std::min<std::size_t>(doubled, announcedBytes_)
                    : doubled);
  }
  body_.insert(body_.end(), aBytes.begin(), aBytes.end());
  return aBytes.size();
}

void RequestParser::on_request_impl(http::verb /*aMethod*/,
                                    View aMethodText,
                                    View aTarget,
                                    int /*aVersion*/,
                                    Error& /*aError*/)
{
  head_.append(aMethodText.data(), aMethodText.size());
  head_.append(aTarget.data(), aTarget.size());
  methodBytes_ = aMethodText.size();
  targetBytes_ = aTarget.size();
}

void RequestParser::on_response_impl(int /*aStatus*/,
                                     View /*aReason*/,
                                     int /*aVersion*/,
                                     Error& /*aError*/)
{
}

void RequestParser::on_field_impl(http::field /*aField*/,
                                  View aName,
                                  View aValue,
                                  Error& /*aError*/)
{
  if (isHeaderComplete_) {
    return;
  }
  head_.append(aName.data(), aName.size()).append(":");
  head_.append(aValue.data(), aValue.size()).append("\n");
}

void RequestParser::on_header_impl(Error& /*aError*/)
{
  isHeaderComplete_ = true;
}

void RequestParser::on_body_init_impl(
  const boost::optional<std::uint64_t>& aLength,
  Error& /*aError*/)
{
  announcedBytes_ = aLength.value_or(0);
}

std::size_t RequestParser::on_body_impl(View aBytes, Error& /*aError*/)
{
  return AppendToBody(aBytes);
}

void RequestParser::on_chunk_header_impl(std::uint64_t /*aSize*/,
                                         View /*aExtensions*/,
                                         Error& /*aError*/)
{
}

std::size_t RequestParser::on_chunk_body_impl(std::uint64_t /*aRemaining*/,
                                              View aBytes,
                                              Error& /*aError*/)
{
  return AppendToBody(aBytes);
}

void RequestParser::on_finish_impl(Error& /*aError*/) {}

}
