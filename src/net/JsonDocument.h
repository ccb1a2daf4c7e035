#ifndef HEMLOCKHAVEN_SRC_NET_JSONDOCUMENT_H
#define HEMLOCKHAVEN_SRC_NET_JSONDOCUMENT_H

#include "hemlockhaven/core/Result.h"
#include "net/MemoryReservation.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string_view>

namespace hemlockhaven {

//! Deeper documents are refused: some operations on them use a stack frame for
//! each level. Those of the interfaces have up to four levels.
constexpr std::size_t kMaxJsonDepth = 64;

//! Parses the text of a client and reserves the memory of the document and of
//! what is decoded from it, before it is allocated. Returns a discarded value
//! if the text is not JSON. Errors: MalformedRequest (too deep), BodyTooLarge
//! and TooManyWaiting, as the hook decides; an empty hook sets no bound.
Result<nlohmann::json> ParseJson(std::string_view aText,
                                 const ReserveHook& aReserve);

}

#endif
