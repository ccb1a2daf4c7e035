// Mutates frames and random bytes and checks the decoder: it must not crash,
// must not allocate beyond a bound, and must give back what was encoded.
//
// --seed N --operations N

#include "tests/wire/Samples.h"
#include "wire/Frame.h"

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <string_view>

#include <malloc.h>

using namespace hemlockhaven;
using namespace std::literals;

namespace {

//! A decoded element takes up to 64 bytes for a byte of the frame (a label of
//! two empty texts), twice while it is copied, beside msgpack's own 24.
constexpr std::size_t kMostBytesAByte = 192;
constexpr std::size_t kMostBytesBeside = 1U << 16U;

std::string Mutate(Samples::Maker& aMaker, std::string aBytes)
{
  constexpr std::string_view kTelling =
    "\x00\x7f\x80\x8f\x90\x91\x9f\xa0\xc0\xc1\xc4\xc7\xca\xcf\xd3\xd9\xdb\xdc"
    "\xdd\xde\xdf\xff"sv;
  for (std::uint64_t count = 1 + aMaker.Below(4); count > 0; --count) {
    const std::size_t at = aBytes.empty() ? 0 : aMaker.Below(aBytes.size());
    const char telling = kTelling[aMaker.Below(kTelling.size())];
    switch (aBytes.empty() ? 0 : aMaker.Below(6)) {
      case 0:
        aBytes.insert(at, 1, telling);
        break;
      case 1:
        aBytes[at] = telling;
        break;
      case 2:
        aBytes[at] = static_cast<char>(aMaker.Below(256));
        break;
      case 3:
        aBytes.erase(at, 1 + aMaker.Below(8));
        break;
      case 4:
        aBytes.resize(at);
        break;
      default:
        aBytes.insert(at, aBytes.substr(at, aMaker.Below(32)));
    }
  }
  return aBytes;
}

std::string RandomBytes(Samples::Maker& aMaker)
{
  std::string bytes(aMaker.Below(200), '\0');
  for (char& byte : bytes) {
    byte = static_cast<char>(aMaker.Below(256));
  }
  return bytes;
}

//! What is wrong with the decoder's treatment of the bytes; null: nothing.
const char* Check(const std::string& aBytes)
{
  const std::size_t before = ::mallinfo2().uordblks;
  const auto frame = Wire::Decode(aBytes, Samples::Maker::Now());
  const std::size_t after = ::mallinfo2().uordblks;
  if (after > before &&
      after - before > aBytes.size() * kMostBytesAByte + kMostBytesBeside) {
    return "unbounded memory";
  }
  if (!frame) {
    return frame.error().step == "decode" ? nullptr : "wrong step";
  }
  // Whatever is accepted has one meaning: it survives another round.
  const auto again = Wire::Encode(frame.value(), Samples::Maker::Now());
  if (!again) {
    return "accepted and not encodable";
  }
  const std::string_view body =
    std::string_view(again.value()).substr(Wire::kLengthBytes);
  const auto second = Wire::Decode(body, Samples::Maker::Now());
  if (!second || Wire::Encode(second.value(), Samples::Maker::Now()).value() !=
                   again.value()) {
    return "another meaning after another round";
  }
  return nullptr;
}

}

#ifdef HEMLOCKHAVEN_LIBFUZZER

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData,
                                      std::size_t aSize)
{
  const std::string bytes(reinterpret_cast<const char*>(aData), aSize);
  if (Check(bytes) != nullptr) {
    std::abort();
  }
  return 0;
}

#else

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
  Samples::Maker maker(seed);
  std::uint64_t accepted = 0;
  for (std::uint64_t operation = 0; operation < operations; ++operation) {
    const std::size_t type = maker.Below(std::variant_size_v<Message>);
    const Wire::Frame frame = maker.AnyFrame(type);
    const std::string whole =
      Wire::Encode(frame, Samples::Maker::Now()).value();
    const std::string body = whole.substr(Wire::kLengthBytes);
    const char* fault = nullptr;
    switch (maker.Below(8)) {
      case 0: {
        const auto decoded = Wire::Decode(body, Samples::Maker::Now());
        if (!decoded ||
            Wire::Encode(decoded.value(), Samples::Maker::Now()).value() !=
              whole) {
          fault = "not what was encoded";
        }
        break;
      }
      case 1:
        fault = Check(RandomBytes(maker));
        break;
      default: {
        const std::string mutated = Mutate(maker, body);
        fault = Check(mutated);
        accepted +=
          Wire::Decode(mutated, Samples::Maker::Now()).has_value() ? 1 : 0;
      }
    }
    if (fault != nullptr) {
      std::printf("seed %llu operation %llu type %zu: %s\n",
                  static_cast<unsigned long long>(seed),
                  static_cast<unsigned long long>(operation),
                  type,
                  fault);
      return 1;
    }
  }
  std::printf("%llu operations, %llu mutated frames accepted, no violation\n",
              static_cast<unsigned long long>(operations),
              static_cast<unsigned long long>(accepted));
  return 0;
}

#endif
