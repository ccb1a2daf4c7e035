#include "http/EndpointReplyParser.h"

#include "http/EndpointHeaders.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>

namespace hemlockhaven::Detail {

namespace beast = boost::beast;

namespace {

// A declared length is not trusted with more memory than this in advance.
constexpr std::uint64_t kReserveBytes = 65536;

}

EndpointReplyParser::EndpointReplyParser(std::uint64_t aBodyBytes)
{
  body_limit(aBodyBytes);
  eager(true);
}

void EndpointReplyParser::on_request_impl(beast::http::verb /*aVerb*/,
                                          Text /*aMethod*/,
                                          Text /*aTarget*/,
                                          int /*aVersion*/,
                                          ErrorCode& /*aError*/)
{
}

void EndpointReplyParser::on_response_impl(int aStatus,
                                           Text /*aReason*/,
                                           int /*aVersion*/,
                                           ErrorCode& /*aError*/)
{
  status_ = static_cast<unsigned>(aStatus);
}

void EndpointReplyParser::on_field_impl(beast::http::field aField,
                                        Text aName,
                                        Text aValue,
                                        ErrorCode& /*aError*/)
{
  if (aField != beast::http::field::unknown) {
    return;
  }
  if (beast::iequals(aName, kAttemptHeader)) {
    if (!attemptSeen_) {
      attempt_.assign(aValue.data(), aValue.size());
    } else if (aValue != attempt_) {
      attempt_.clear();
    }
    attemptSeen_ = true;
  } else if (beast::iequals(aName, kNotRunHeader)) {
    notRun_.assign(aValue.data(), aValue.size());
  }
}

void EndpointReplyParser::on_header_impl(ErrorCode& /*aError*/) {}

void EndpointReplyParser::on_body_init_impl(
  const boost::optional<std::uint64_t>& aLength,
  ErrorCode& /*aError*/)
{
  if (aLength) {
    body_.reserve(std::min(*aLength, kReserveBytes));
  }
}

std::size_t EndpointReplyParser::on_body_impl(Text aBody, ErrorCode& /*aError*/)
{
  body_.append(aBody.data(), aBody.size());
  return aBody.size();
}

void EndpointReplyParser::on_chunk_header_impl(std::uint64_t /*aSize*/,
                                               Text /*aExtensions*/,
                                               ErrorCode& /*aError*/)
{
}

std::size_t EndpointReplyParser::on_chunk_body_impl(std::uint64_t /*aRemain*/,
                                                    Text aBody,
                                                    ErrorCode& /*aError*/)
{
  body_.append(aBody.data(), aBody.size());
  return aBody.size();
}

void EndpointReplyParser::on_finish_impl(ErrorCode& /*aError*/) {}

}
