#include "http/HttpReply.h"

#include "http/JsonCodec.h"

namespace hemlockhaven {

unsigned StatusOf(const Error& aError)
{
  switch (aError.reason) {
    case Reason::MalformedRequest:
    case Reason::IdentityRequired:
    case Reason::ConfigurationInvalid:
      return 400;
    case Reason::NotFound:
      return 404;
    case Reason::ConfigurationConflict:
    case Reason::IdReused:
      return 409;
    case Reason::HomeGone:
    case Reason::IdExpired:
    case Reason::KeyEpochTooOld:
      return 410;
    case Reason::BodyTooLarge:
      return 413;
    case Reason::NoEligibleEndpoint:
      return 422;
    case Reason::QueueFull:
    case Reason::QuotaExceeded:
    case Reason::TooManyWaiting:
      return 429;
    case Reason::DeadlinePassed:
    case Reason::AttemptTimeout:
      return 504;
    case Reason::Internal:
      return 500;
    default:
      return aError.ran == Ran::NotRun ? 503 : 502;
  }
}

HttpReply ReplyOf(const Error& aError)
{
  HttpReply reply;
  reply.status = StatusOf(aError);
  reply.body = { { "error", ToJson(aError) } };
  reply.retryAfter = aError.retryAfter;
  return reply;
}

}
