// Makes and mutates what clients send, and checks the parsers of requests and
// of JSON bodies: they must not crash, must hold no more than they are charged
// with, and must give back what was sent, in whatever parts it arrives.
//
// --seed N --operations N

#include "net/JsonDocument.h"
#include "net/RequestParser.h"

#include <boost/asio/buffer.hpp>

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <malloc.h>

using namespace hemlockhaven;
using nlohmann::json;

namespace {

constexpr std::uint32_t kHeaderBytes = 2048;
constexpr std::size_t kBodyBytes = 4096;

class Maker
{
public:
  explicit Maker(std::uint64_t aSeed)
    : random_(aSeed)
  {
  }

  std::size_t Below(std::size_t aLimit) { return random_() % aLimit; }

  std::string Text(std::size_t aMaxBytes, std::string_view aLetters)
  {
    std::string text(Below(aMaxBytes + 1), ' ');
    for (char& letter : text) {
      letter = aLetters[Below(aLetters.size())];
    }
    return text;
  }

  std::string Mutate(std::string aBytes)
  {
    for (std::size_t count = 1 + Below(4); count > 0 && !aBytes.empty();
         --count) {
      const std::size_t at = Below(aBytes.size());
      switch (Below(5)) {
        case 0:
          aBytes[at] = static_cast<char>(Below(256));
          break;
        case 1:
          aBytes.erase(at, 1 + Below(8));
          break;
        case 2:
          aBytes.insert(at, aBytes.substr(at, Below(64)));
          break;
        case 3:
          aBytes.insert(at, Text(8, "\r\n:;0fx{}[]\","));
          break;
        default:
          aBytes.resize(at);
      }
    }
    return aBytes;
  }

private:
  std::mt19937_64 random_;
};

//! A request and what the parser has to find in it.
struct Sample
{
  std::string bytes;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;
};

std::string Hex(std::size_t aNumber)
{
  char text[20];
  std::snprintf(text, sizeof(text), "%zx", aNumber);
  return text;
}

Sample MakeRequest(Maker& aMaker)
{
  constexpr std::string_view kLetters = "abcXYZ09-";
  Sample sample;
  sample.bytes = "POST /" + aMaker.Text(20, kLetters) + " HTTP/1.1\r\n";
  for (std::size_t i = aMaker.Below(40); i > 0; --i) {
    // Unique names: the parser returns the first of equal ones.
    sample.fields.emplace_back("f" + std::to_string(i),
                               "v" + aMaker.Text(12, kLetters) + "v");
    const auto& [name, value] = sample.fields.back();
    sample.bytes.append(name).append(":").append(aMaker.Text(2, " \t"));
    sample.bytes.append(value).append("\r\n");
  }
  sample.body = aMaker.Text(aMaker.Below(2) * 3000 + 20, kLetters);
  if (aMaker.Below(2) == 0) {
    sample.bytes += "Content-Length: " + std::to_string(sample.body.size()) +
                    "\r\n\r\n" + sample.body;
    return sample;
  }
  sample.bytes += "Transfer-Encoding: chunked\r\n\r\n";
  for (std::size_t at = 0; at < sample.body.size();) {
    const std::string chunk =
      sample.body.substr(at, 1 + aMaker.Below(aMaker.Below(2) * 1000 + 2));
    sample.bytes.append(Hex(chunk.size()));
    sample.bytes.append(aMaker.Below(4) == 0 ? ";e=1\r\n" : "\r\n");
    sample.bytes.append(chunk).append("\r\n");
    at += chunk.size();
  }
  sample.bytes += "0\r\n";
  for (std::size_t i = aMaker.Below(3); i > 0; --i) {
    sample.bytes += "trailer" + std::to_string(i) + ": x\r\n";
  }
  sample.bytes += "\r\n";
  return sample;
}

//! Parses the bytes in parts of random size, as HttpListener does.
void Parse(Maker& aMaker,
           std::string_view aBytes,
           Detail::RequestParser& aParser)
{
  aParser.header_limit(kHeaderBytes);
  aParser.body_limit(kBodyBytes);
  aParser.eager(true);
  const std::size_t largest = aMaker.Below(2) == 0 ? 3 : 2048;
  std::string pending;
  while (!aBytes.empty() && !aParser.is_done()) {
    const std::size_t count =
      std::min(1 + aMaker.Below(largest), aBytes.size());
    pending += aBytes.substr(0, count);
    aBytes.remove_prefix(count);
    boost::beast::error_code error;
    pending.erase(0, aParser.put(boost::asio::buffer(pending), error));
    if (error && error != boost::beast::http::error::need_more) {
      return;
    }
  }
}

//! What is wrong; null: nothing.
const char* CheckRequest(Maker& aMaker)
{
  const Sample sample = MakeRequest(aMaker);
  Detail::RequestParser parser;
  if (aMaker.Below(2) == 0) {
    Parse(aMaker, aMaker.Mutate(sample.bytes), parser);
    static_cast<void>(parser.Field("f1"));
    return parser.HeldBytes() <= 2 * (kHeaderBytes + kBodyBytes)
             ? nullptr
             : "a request holds more than the limits allow";
  }
  Parse(aMaker, sample.bytes, parser);
  if (!parser.is_done() || parser.Body() != sample.body) {
    return "another body than was sent";
  }
  for (const auto& [name, value] : sample.fields) {
    if (parser.Field(name) != value) {
      return "another field than was sent";
    }
  }
  return parser.Field("trailer1").empty() ? nullptr
                                          : "a trailer among the fields";
}

std::string MakeJson(Maker& aMaker, std::size_t aDepth)
{
  switch (aMaker.Below(aDepth == 0 ? 4 : 6)) {
    case 0:
      return "\"" + aMaker.Text(aMaker.Below(2) * 200 + 4, "ab\xc3\xa4") + "\"";
    case 1:
      return std::to_string(aMaker.Below(1000));
    case 2:
      return "-1.5e" + std::to_string(aMaker.Below(400));
    case 3:
      return aMaker.Below(2) == 0 ? "null" : "true";
    case 4: {
      std::string text = "[";
      for (std::size_t i = aMaker.Below(12); i > 0; --i) {
        text += MakeJson(aMaker, aDepth - 1) + (i > 1 ? "," : "");
      }
      return text + "]";
    }
    default: {
      std::string text = "{";
      for (std::size_t i = aMaker.Below(8); i > 0; --i) {
        text += "\"" + aMaker.Text(30, "abc") +
                "\":" + MakeJson(aMaker, aDepth - 1) + (i > 1 ? "," : "");
      }
      return text + "}";
    }
  }
}

//! Many equal values, so that what is reserved at first does not hide them.
std::string MakeWideJson(Maker& aMaker)
{
  const std::string value = MakeJson(aMaker, 1);
  const bool isObject = aMaker.Below(2) == 0;
  std::string text = isObject ? "{" : "[";
  for (std::size_t i = 1 + aMaker.Below(2000); i > 0; --i) {
    text += isObject ? "\"" + std::to_string(i) + "\":" : "";
    text += value + (i > 1 ? "," : "");
  }
  return text + (isObject ? "}" : "]");
}

const char* CheckJson(Maker& aMaker)
{
  std::string text =
    aMaker.Below(8) == 0 ? MakeWideJson(aMaker) : MakeJson(aMaker, 4);
  if (aMaker.Below(2) == 0) {
    text = aMaker.Mutate(std::move(text));
  }
  const std::size_t limit =
    aMaker.Below(2) == 0 ? aMaker.Below(20000) : std::size_t{ 1 } << 30U;
  std::size_t reserved = 0;
  const std::size_t before = ::mallinfo2().uordblks;
  const auto parsed = ParseJson(text, [&](std::size_t aBytes) {
    if (reserved + aBytes > limit) {
      return ReserveOutcome::Exhausted;
    }
    reserved += aBytes;
    return ReserveOutcome::Reserved;
  });
  const std::size_t after = ::mallinfo2().uordblks;
  if (after > before && after - before > reserved) {
    return "a document that holds more than was reserved";
  }
  if (parsed.has_error()) {
    return parsed.error().ran == Ran::NotRun ? nullptr : "not refused as such";
  }
  const json expected = json::parse(text, nullptr, false);
  const bool isEqual = expected.is_discarded() ? parsed.value().is_discarded()
                                               : parsed.value() == expected;
  return isEqual ? nullptr : "another document than the library's";
}

}

int main(int aCount, char** aArguments)
{
  std::uint64_t seed = 1;
  std::uint64_t operations = 20000;
  for (int index = 1; index + 1 < aCount; index += 2) {
    const std::string_view name = aArguments[index];
    const std::uint64_t value =
      std::strtoull(aArguments[index + 1], nullptr, 10);
    if (name == "--seed") {
      seed = value;
    } else if (name == "--operations") {
      operations = value;
    }
  }
  // The first error allocates what the library keeps.
  static_cast<void>(ParseJson("[1.5", nullptr));
  Maker maker(seed);
  for (std::uint64_t operation = 0; operation < operations; ++operation) {
    const char* fault =
      maker.Below(2) == 0 ? CheckRequest(maker) : CheckJson(maker);
    if (fault != nullptr) {
      std::printf("operation %llu: %s\n",
                  static_cast<unsigned long long>(operation),
                  fault);
      return 1;
    }
  }
  return 0;
}
