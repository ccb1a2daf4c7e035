#include "wire/Frame.h"

#include "wire/Packer.h"
#include "wire/Unpacker.h"

#include <array>
#include <exception>
#include <new>
#include <utility>

namespace hemlockhaven::Wire {

namespace {

//! Nesting of the deepest message, an answer in an archive, is 7.
constexpr std::size_t kMaxDepth = 12;

//! Counts what arrays declare before anything is allocated for them.
class Bounds : public msgpack::null_visitor
{
public:
  explicit Bounds(std::size_t aBytes)
    : bytes_(aBytes)
  {
  }

  // The names are those that msgpack::parse calls.
  // NOLINTBEGIN(readability-identifier-naming)
  bool start_array(std::uint32_t aCount)
  {
    elements_ += aCount;
    // Each element takes at least one byte of the frame.
    return ++depth_ <= kMaxDepth && elements_ <= kMaxElements &&
           elements_ <= bytes_;
  }
  bool end_array()
  {
    --depth_;
    return true;
  }
  bool start_map(std::uint32_t /*aCount*/) { return false; }
  bool visit_ext(const char* /*aData*/, std::uint32_t /*aSize*/)
  {
    return false;
  }
  // NOLINTEND(readability-identifier-naming)

private:
  std::size_t bytes_;
  std::size_t elements_ = 0;
  std::size_t depth_ = 0;
};

//! Texts stay in the frame's bytes until they are copied into the message.
bool KeepReference(msgpack::type::object_type /*aType*/,
                   std::size_t /*aSize*/,
                   void* /*aData*/)
{
  return true;
}

Error Malformed(std::string_view aDetail)
{
  return Error::Unknown("decode", "", Reason::MalformedRequest, aDetail);
}

template<std::size_t... Types>
Message ReadMessage(std::size_t aType,
                    Detail::Unpacker& aIn,
                    std::index_sequence<Types...> /*aTypes*/)
{
  using Reader = Message (*)(Detail::Unpacker&);
  static constexpr std::array<Reader, sizeof...(Types)> kReaders{
    [](Detail::Unpacker& aFrom) -> Message {
      return aFrom.Read<std::variant_alternative_t<Types, Message>>();
    }...
  };
  return kReaders.at(aType)(aIn);
}

}

Result<std::string> Encode(const Frame& aFrame, TimePoint aNow)
{
  try {
    msgpack::sbuffer buffer(256);
    constexpr std::array<char, kLengthBytes> kNoLength{};
    buffer.write(kNoLength.data(), kNoLength.size());
    Detail::Packer packer(buffer, aNow);
    packer.Array(4);
    packer.Number(kVersion);
    packer.Number(aFrame.message.index());
    packer.Number(aFrame.correlation);
    std::visit([&](const auto& aMessage) { packer.Pack(aMessage); },
               aFrame.message);
    const std::size_t length = buffer.size() - kLengthBytes;
    if (length > kMaxFrameBytes) {
      return Error::NotRun(
        "encode", Reason::BodyTooLarge, "message over the limit of a frame");
    }
    std::string bytes(buffer.data(), buffer.size());
    for (std::size_t index = 0; index < kLengthBytes; ++index) {
      bytes[index] =
        static_cast<char>(length >> (8 * (kLengthBytes - 1 - index)));
    }
    return bytes;
  } catch (const std::exception& error) {
    return Error::NotRun("encode", Reason::BodyTooLarge, error.what());
  }
}

Result<std::size_t> DecodeLength(std::string_view aBytes)
{
  if (aBytes.size() < kLengthBytes) {
    return Malformed("length incomplete");
  }
  std::size_t length = 0;
  for (std::size_t index = 0; index < kLengthBytes; ++index) {
    length = (length << 8U) | static_cast<unsigned char>(aBytes[index]);
  }
  if (length == 0 || length > kMaxFrameBytes) {
    return Malformed("length out of range");
  }
  return length;
}

Result<Frame> Decode(std::string_view aBytes, TimePoint aNow)
{
  if (aBytes.empty() || aBytes.size() > kMaxFrameBytes) {
    return Malformed("length out of range");
  }
  try {
    Bounds bounds(aBytes.size());
    std::size_t end = 0;
    if (!msgpack::parse(aBytes.data(), aBytes.size(), end, bounds) ||
        end != aBytes.size()) {
      return Malformed("not one bounded array");
    }
    bool isReferenced = false;
    const msgpack::object_handle handle = msgpack::unpack(
      aBytes.data(), aBytes.size(), isReferenced, &KeepReference);
    Detail::Unpacker in(handle.get(), aNow);
    in.Expect(4);
    if (in.Number<std::uint32_t>() != kVersion) {
      return Malformed("unknown version");
    }
    const auto type = in.Number<std::uint32_t>();
    if (type >= std::variant_size_v<Message>) {
      return Malformed("unknown type");
    }
    Frame frame;
    frame.correlation = in.Number<std::uint64_t>();
    frame.message = ReadMessage(
      type, in, std::make_index_sequence<std::variant_size_v<Message>>{});
    return frame;
  } catch (const std::exception& error) {
    return Malformed(error.what());
  }
}

}
