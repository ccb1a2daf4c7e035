#ifndef HEMLOCKHAVEN_SRC_LINK_LINKMESSAGE_H
#define HEMLOCKHAVEN_SRC_LINK_LINKMESSAGE_H

#include "hemlockhaven/core/Span.h"
#include "hemlockhaven/leadership/Heartbeat.h"
#include "hemlockhaven/scheduler/Effects.h"
#include "hemlockhaven/scheduler/Work.h"

#include <optional>
#include <string>
#include <variant>

namespace hemlockhaven {

//! Asks a leader to cancel work that the sender submitted.
struct CancelWork
{
  std::string workId;
  std::string reason;
};

//! A message between daemons. Its index is the message type on the wire.
using LinkMessage = std::variant<Heartbeat, Work, WorkAnswer, CancelWork>;

//! Encodes a message as a msgpack array: version, type, fields.
std::string EncodeLinkMessage(const LinkMessage& aMessage);

//! Returns nullopt if the bytes are malformed or of another version.
std::optional<LinkMessage> DecodeLinkMessage(Span<const char> aBytes);

}

#endif
