#ifndef HEMLOCKHAVEN_SRC_HTTP_HTTPREPLY_H
#define HEMLOCKHAVEN_SRC_HTTP_HTTPREPLY_H

#include "hemlockhaven/core/Error.h"
#include "hemlockhaven/core/Time.h"

#include <nlohmann/json.hpp>

#include <string>

namespace hemlockhaven {

//! Status and body of a reply: JSON, or plain text if `text` is not empty.
struct HttpReply
{
  unsigned status = 200;
  nlohmann::json body = nullptr;
  std::string text{};       //!< Sent as text/plain instead of the body.
  Duration retryAfter{ 0 }; //!< Sent as Retry-After unless zero.
};

//! The status that tells callers best what happened.
unsigned StatusOf(const Error& aError);

//! The reply to a refusal or failure.
HttpReply ReplyOf(const Error& aError);

}

#endif
