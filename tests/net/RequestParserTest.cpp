#include "net/RequestParser.h"

#include <boost/asio/buffer.hpp>

#include <algorithm>
#include <string>
#include <string_view>

// Last, because its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace hemlockhaven;

namespace {

//! The whole request is parsed once in one part and once byte by byte.
struct FieldRow
{
  const char* guardsAgainst;
  const char* request;
  const char* name;
  const char* value;
  const char* body;
};

const FieldRow kFieldRows[] = {
  { "a name that is found only in its own case",
    "GET /a HTTP/1.1\r\nhOSt: one\r\n\r\n",
    "Host",
    "one",
    "" },
  { "a later field of the same name before the first one",
    "GET /a HTTP/1.1\r\nX: 1\r\nX: 2\r\n\r\n",
    "X",
    "1",
    "" },
  { "a field found by the begin of its name",
    "GET /a HTTP/1.1\r\nX-Long: 1\r\nX: 2\r\n\r\n",
    "X",
    "2",
    "" },
  { "a field found within the value of another one",
    "GET /a HTTP/1.1\r\nA: X:1\r\nB: 2\r\n\r\n",
    "X",
    "",
    "" },
  { "an empty value that takes the next line",
    "GET /a HTTP/1.1\r\nX:\r\nY: 1\r\n\r\n",
    "X",
    "",
    "" },
  { "spaces around a value",
    "GET /a HTTP/1.1\r\nX: \t a b \t\r\n\r\n",
    "X",
    "a b",
    "" },
  { "a folded value that looks like two fields",
    "GET /a HTTP/1.1\r\nX: 1\r\n Y: 2\r\n\r\n",
    "Y",
    "",
    "" },
  { "a trailer taken for a field of the header",
    "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    "2\r\nab\r\n1;e=f\r\nc\r\n0\r\nX: 1\r\n\r\n",
    "X",
    "",
    "abc" },
  { "a target taken for a field",
    "GET X:1 HTTP/1.1\r\nY: 2\r\n\r\n",
    "GETX",
    "",
    "" },
  { "a body of an announced length cut or mixed with the header",
    "POST /a HTTP/1.1\r\nContent-Length: 5\r\nX: 1\r\n\r\nY:2\r\n",
    "X",
    "1",
    "Y:2\r\n" },
};

void ParseInParts(Detail::RequestParser& aParser,
                  std::string_view aBytes,
                  std::size_t aPartBytes)
{
  aParser.eager(true);
  std::string pending;
  while (!aBytes.empty()) {
    const std::size_t count = std::min(aPartBytes, aBytes.size());
    pending += aBytes.substr(0, count);
    aBytes.remove_prefix(count);
    boost::beast::error_code error;
    pending.erase(0, aParser.put(boost::asio::buffer(pending), error));
    CHECK(!error || error == boost::beast::http::error::need_more);
  }
}

}

TEST_GROUP(RequestParser){};

TEST(RequestParser, FindsFieldsAndBody)
{
  for (const FieldRow& row : kFieldRows) {
    for (const std::size_t part : { std::size_t{ 1 }, std::string::npos }) {
      Detail::RequestParser parser;
      ParseInParts(parser, row.request, part);
      CHECK_TEXT(parser.is_done(), row.guardsAgainst);
      STRCMP_EQUAL_TEXT(row.value,
                        std::string(parser.Field(row.name)).c_str(),
                        row.guardsAgainst);
      STRCMP_EQUAL_TEXT(
        row.body, std::string(parser.Body()).c_str(), row.guardsAgainst);
    }
  }
}

// Guards against fields that take many times their bytes in the header.
TEST(RequestParser, HoldsTheBytesOfItsHeader)
{
  constexpr std::size_t kFields = 2600;
  std::string request = "GET /a HTTP/1.1\r\n";
  for (std::size_t i = 0; i < kFields; ++i) {
    request += "a:b\r\n";
  }
  request += "Last: here\r\n\r\n";
  Detail::RequestParser parser;
  parser.header_limit(static_cast<std::uint32_t>(request.size()));
  ParseInParts(parser, request, std::string::npos);
  CHECK(parser.is_done());
  CHECK(parser.HeldBytes() <= 2 * request.size());
  STRCMP_EQUAL("here", std::string(parser.Field("last")).c_str());
  STRCMP_EQUAL("GET", std::string(parser.Method()).c_str());
  STRCMP_EQUAL("/a", std::string(parser.Target()).c_str());
}
