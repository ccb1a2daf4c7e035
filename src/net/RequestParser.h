#ifndef HEMLOCKHAVEN_SRC_NET_REQUESTPARSER_H
#define HEMLOCKHAVEN_SRC_NET_REQUESTPARSER_H

#include <boost/beast/core/error.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/basic_parser.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockhaven::Detail {

//! Parses a request and holds what has arrived of it. The header is kept as one
//! text, since an object for each field takes many times the field's bytes. The
//! body grows as its bytes arrive and not by the announced length.
class RequestParser final : public boost::beast::http::basic_parser<true>
{
public:
  std::string_view Method() const;
  std::string_view Target() const;
  std::string_view Body() const { return { body_.data(), body_.size() }; }

  //! The value of the first header field of that name, in any case; empty if
  //! there is none. Trailers are left out.
  std::string_view Field(std::string_view aName) const;

  //! Bytes allocated for the header and the body.
  std::size_t HeldBytes() const { return head_.capacity() + body_.capacity(); }

private:
  using Error = boost::beast::error_code;
  using View = boost::beast::string_view;

  std::size_t AppendToBody(View aBytes);

  // Beast prescribes these names.
  // NOLINTBEGIN(readability-identifier-naming)
  void on_request_impl(boost::beast::http::verb aMethod,
                       View aMethodText,
                       View aTarget,
                       int aVersion,
                       Error& aError) override;
  void on_response_impl(int aStatus,
                        View aReason,
                        int aVersion,
                        Error& aError) override;
  void on_field_impl(boost::beast::http::field aField,
                     View aName,
                     View aValue,
                     Error& aError) override;
  void on_header_impl(Error& aError) override;
  void on_body_init_impl(const boost::optional<std::uint64_t>& aLength,
                         Error& aError) override;
  std::size_t on_body_impl(View aBytes, Error& aError) override;
  void on_chunk_header_impl(std::uint64_t aSize,
                            View aExtensions,
                            Error& aError) override;
  std::size_t on_chunk_body_impl(std::uint64_t aRemaining,
                                 View aBytes,
                                 Error& aError) override;
  void on_finish_impl(Error& aError) override;
  // NOLINTEND(readability-identifier-naming)

  std::string head_; //!< Method, target, and "name:value\n" for each field.
  std::size_t methodBytes_ = 0;
  std::size_t targetBytes_ = 0;
  bool isHeaderComplete_ = false;
  std::uint64_t announcedBytes_ = 0; //!< Of the body; 0: not announced.
  //! Unlike a string's, its reserve does not round up.
  std::vector<char> body_;
};

}

#endif
