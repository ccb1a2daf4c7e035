#ifndef HEMLOCKHAVEN_CORE_REFUSAL_H
#define HEMLOCKHAVEN_CORE_REFUSAL_H

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace hemlockhaven {

//! Whether a request ran, as far as this process can know.
enum class Ran : std::uint8_t
{
  NotRun,  //!< It certainly did not start.
  Unknown, //!< It may have started.
  Ran,     //!< It started.
};

//! Machine-readable reason of a refusal, failure or retry. Each value has its
//! own counter.
enum class Reason : std::uint8_t
{
  None,
  // Refusals before anything started.
  MalformedRequest,
  BodyTooLarge,
  IdentityRequired,
  IdExpired,
  IdReused, //!< The id was used for another submission.
  KeyEpochTooOld,
  ClaimLogUnavailable,
  NoEligibleEndpoint,
  QueueFull,
  QuotaExceeded,
  DeadlineUnreachable,
  DeadlinePassed,
  TooManyWaiting,
  ShuttingDown,
  NotReady,
  Cancelled,
  JobFailed,
  // Outcomes that this process cannot determine.
  HomeGone,
  HomeUnreachable,
  PeerLost,
  AttemptTimeout,
  ConnectionLost,
  ReplyTruncated,
  ReplyUnframed,
  ReplyMismatched,
  ReplyTooLarge,
  ReplyMalformed,
  // Outcomes of attempts.
  ConnectRefused,
  EndpointRefused,
  EndpointFailed,
  RetryBudgetExhausted,
  KindQuarantined,
  // Operators' interface.
  NotFound,
  ConfigurationConflict,
  ConfigurationInvalid,
  LogUnavailable,
  PeerRefused,
  Internal,
  Count, //!< Number of reasons; not a reason.
};

//! Number of values of Reason.
constexpr std::size_t kReasonCount = static_cast<std::size_t>(Reason::Count);

//! The reason's name in replies, counters and logs, for example "queue-full".
std::string_view ReasonName(Reason aReason);

//! "not run", "unknown" or "ran".
std::string_view RanName(Ran aRan);

//! Finds a reason by its name; Reason::Internal if there is none.
Reason ReasonFromName(std::string_view aName);

//! Finds the value by its name; Ran::Unknown if there is none.
Ran RanFromName(std::string_view aName);

}

#endif
