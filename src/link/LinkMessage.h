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

//! Asks a leader to stop work of the sender.
struct CancelWork
{
  std::string workId;
  std::string reason;
};

//! What goes over a link between daemons.
using LinkMessage = std::variant<Heartbeat, Work, WorkAnswer, CancelWork>;

//! A message as msgpack: version, type, fields.
std::string EncodeLinkMessage(const LinkMessage& aMessage);

//! Nothing if the bytes are malformed or of another version.
std::optional<LinkMessage> DecodeLinkMessage(Span<const char> aBytes);

}

#endif
