#ifndef HEMLOCKHAVEN_PEER_ERRORREPLY_H
#define HEMLOCKHAVEN_PEER_ERRORREPLY_H

#include "hemlockhaven/core/Error.h"
#include "hemlockhaven/membership/Messages.h"

#include <cstddef>
#include <optional>

namespace hemlockhaven {

//! Builds the reply that reports an error for a request, given the request's
//! index in Message. Empty if that request's reply has no error field.
std::optional<Message> MakeErrorReply(std::size_t aRequestType,
                                      const Error& aError);

}

#endif
