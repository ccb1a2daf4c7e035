#ifndef HEMLOCKHAVEN_SRC_HTTP_ENDPOINTREPLYPARSER_H
#define HEMLOCKHAVEN_SRC_HTTP_ENDPOINTREPLYPARSER_H

#include <boost/beast/http/basic_parser.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace hemlockhaven::Detail {

//! Parses one reply of an endpoint and keeps only the fields that decide how
//! the attempt ended, so that a reply costs no allocation for each field.
class EndpointReplyParser : public boost::beast::http::basic_parser<false>
{
public:
  using ErrorCode = boost::beast::error_code;
  using Text = boost::beast::string_view;

  explicit EndpointReplyParser(std::uint64_t aBodyBytes);

  unsigned Status() const { return status_; }

  //! Value of the attempt header; empty if there is none or two that differ.
  std::string_view AttemptText() const { return attempt_; }

  //! Value of the header that says "not run"; empty if there is none.
  std::string_view NotRun() const { return notRun_; }

  std::string&& TakeBody() { return std::move(body_); }

private:
  void on_request_impl(boost::beast::http::verb aVerb,
                       Text aMethod,
                       Text aTarget,
                       int aVersion,
                       ErrorCode& aError) override;
  void on_response_impl(int aStatus,
                        Text aReason,
                        int aVersion,
                        ErrorCode& aError) override;
  void on_field_impl(boost::beast::http::field aField,
                     Text aName,
                     Text aValue,
                     ErrorCode& aError) override;
  void on_header_impl(ErrorCode& aError) override;
  void on_body_init_impl(const boost::optional<std::uint64_t>& aLength,
                         ErrorCode& aError) override;
  std::size_t on_body_impl(Text aBody, ErrorCode& aError) override;
  void on_chunk_header_impl(std::uint64_t aSize,
                            Text aExtensions,
                            ErrorCode& aError) override;
  std::size_t on_chunk_body_impl(std::uint64_t aRemain,
                                 Text aBody,
                                 ErrorCode& aError) override;
  void on_finish_impl(ErrorCode& aError) override;

  unsigned status_ = 0;
  bool attemptSeen_ = false;
  std::string attempt_;
  std::string notRun_;
  std::string body_;
};

}

#endif
