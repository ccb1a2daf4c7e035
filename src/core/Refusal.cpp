#include "hemlockhaven/core/Refusal.h"

#include <algorithm>
#include <array>
#include <iterator>

namespace hemlockhaven {

namespace {

// In the order of Reason.
constexpr std::array<std::string_view, kReasonCount> kReasonNames{
  "none",
  "malformed-request",
  "body-too-large",
  "identity-required",
  "id-expired",
  "id-reused",
  "key-epoch-too-old",
  "claim-log-unavailable",
  "no-eligible-endpoint",
  "queue-full",
  "quota-exceeded",
  "deadline-unreachable",
  "deadline-passed",
  "too-many-waiting",
  "shutting-down",
  "not-ready",
  "cancelled",
  "job-failed",
  "home-gone",
  "home-unreachable",
  "peer-lost",
  "attempt-timeout",
  "connection-lost",
  "reply-truncated",
  "reply-unframed",
  "reply-mismatched",
  "reply-too-large",
  "reply-malformed",
  "connect-refused",
  "endpoint-refused",
  "endpoint-failed",
  "retry-budget-exhausted",
  "kind-quarantined",
  "not-found",
  "configuration-conflict",
  "configuration-invalid",
  "log-unavailable",
  "peer-refused",
  "internal",
};

constexpr std::array<std::string_view, 3> kRanNames{ "not run",
                                                     "unknown",
                                                     "ran" };

}

std::string_view ReasonName(Reason aReason)
{
  return kReasonNames.at(static_cast<std::size_t>(aReason));
}

std::string_view RanName(Ran aRan)
{
  return kRanNames.at(static_cast<std::size_t>(aRan));
}

Reason ReasonFromName(std::string_view aName)
{
  const auto* found =
    std::find(kReasonNames.begin(), kReasonNames.end(), aName);
  return found == kReasonNames.end()
           ? Reason::Internal
           : static_cast<Reason>(std::distance(kReasonNames.begin(), found));
}

Ran RanFromName(std::string_view aName)
{
  const auto* found = std::find(kRanNames.begin(), kRanNames.end(), aName);
  return found == kRanNames.end()
           ? Ran::Unknown
           : static_cast<Ran>(std::distance(kRanNames.begin(), found));
}

}
