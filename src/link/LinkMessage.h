#ifndef HEMLOCKHAVEN_SRC_LINK_LINKMESSAGE_H
#define HEMLOCKHAVEN_SRC_LINK_LINKMESSAGE_H

#include "hemlockhaven/core/Span.h"
#include "hemlockhaven/front/JobQuery.h"
#include "hemlockhaven/leadership/Heartbeat.h"
#include "hemlockhaven/scheduler/Effects.h"
#include "hemlockhaven/scheduler/Work.h"

#include <cstddef>
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
using LinkMessage = std::
  variant<Heartbeat, Work, WorkAnswer, CancelWork, JobQuery, JobQueryReply>;

//! Longest frame of a job query or its reply.
constexpr std::size_t kMaxJobQueryBytes = 256;

//! Encodes a message as a msgpack array: version, type, fields.
std::string EncodeLinkMessage(const LinkMessage& aMessage);

//! Returns nullopt if the bytes are malformed or of another version. A job
//! query or reply with bad fields yields one that is not well-formed: its
//! receiver rejects it, and the connection, whose end would be taken for a loss
//! of the sender, is kept.
std::optional<LinkMessage> DecodeLinkMessage(Span<const char> aBytes);

}

#endif
