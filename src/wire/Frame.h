#ifndef HEMLOCKHAVEN_WIRE_FRAME_H
#define HEMLOCKHAVEN_WIRE_FRAME_H

#include "hemlockhaven/core/Result.h"
#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/membership/Messages.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace hemlockhaven::Wire {

//! Version of the format; a frame of another one closes the link.
constexpr std::uint32_t kVersion = 1;

//! Bytes of the length that goes before each frame.
constexpr std::size_t kLengthBytes = 4;

//! Longest frame without its length.
constexpr std::size_t kMaxFrameBytes = 16U << 20U;

//! Elements of all arrays of a frame. An element takes 24 bytes while it is
//! decoded, so that no frame can ask for more than 24 MB before it is read.
constexpr std::size_t kMaxElements = 1U << 20U;

//! A message with the id that ties a reply to its request; 0 for notices.
struct Frame
{
  std::uint64_t correlation = 0;
  Message message;
};

//! The frame with its length in front. Points in time go out as their age at
//! aNow. The error's step is "encode": the message is too long.
Result<std::string> Encode(const Frame& aFrame, TimePoint aNow);

//! Reads a frame without its length. Never throws; the error's step is
//! "decode". Points in time are put before aNow.
Result<Frame> Decode(std::string_view aBytes, TimePoint aNow);

//! The length in the first kLengthBytes bytes. The error's step is "decode":
//! it is zero or over the limit.
Result<std::size_t> DecodeLength(std::string_view aBytes);

}

#endif
