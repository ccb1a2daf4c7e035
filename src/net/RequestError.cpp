#include "net/RequestError.h"

#include "net/ConnectionMemory.h"
#include "net/MemoryReservation.h"

namespace hemlockhaven {

RequestError RequestErrorOf(ReserveOutcome aOutcome)
{
  return aOutcome == ReserveOutcome::TooLarge ? RequestError::DocumentTooLarge
                                              : RequestError::MemoryExhausted;
}

std::string_view RequestErrorName(RequestError aError)
{
  switch (aError) {
    case RequestError::Malformed:
      return "malformed request";
    case RequestError::HeaderTooLarge:
      return "header too long";
    case RequestError::BodyTooLarge:
      return "body too long";
    case RequestError::TrailerTooLarge:
      return "trailers too long";
    case RequestError::DocumentTooLarge:
      return "document too large";
    case RequestError::TooManyConnections:
      return "too many connections";
    case RequestError::MemoryExhausted:
      return "connection memory exhausted";
    case RequestError::TooSlow:
      return "request too slow";
    case RequestError::ReplyNotRead:
      return "reply not read";
    case RequestError::Count:
      break;
  }
  return "";
}

void RequestErrorCounts::Count(RequestError aError)
{
  ++counts_[static_cast<std::size_t>(aError)];
}

std::uint64_t RequestErrorCounts::Value(RequestError aError) const
{
  return counts_[static_cast<std::size_t>(aError)];
}

std::string WriteConnectionMetrics(const RequestErrorCounts& aCounts,
                                   const ConnectionMemory& aMemory)
{
  std::string text =
    "# HELP hemlockhaven_rejected_requests_total Requests rejected by "
    "the limits of connections, by reason.\n"
    "# TYPE hemlockhaven_rejected_requests_total counter\n";
  for (std::size_t i = 0; i < static_cast<std::size_t>(RequestError::Count);
       ++i) {
    const auto error = static_cast<RequestError>(i);
    text.append("hemlockhaven_rejected_requests_total{reason=\"")
      .append(RequestErrorName(error))
      .append("\"} ")
      .append(std::to_string(aCounts.Value(error)))
      .append("\n");
  }
  const auto gauge = [&text](std::string_view aName,
                             std::string_view aHelp,
                             std::size_t aValue) {
    text.append("# HELP ").append(aName).append(" ").append(aHelp);
    text.append("\n# TYPE ").append(aName).append(" gauge\n");
    text.append(aName).append(" ").append(std::to_string(aValue)).append("\n");
  };
  gauge("hemlockhaven_connection_bytes",
        "Memory held by connections.",
        aMemory.ChargedBytes());
  gauge("hemlockhaven_connection_budget_bytes",
        "Bound of the memory held by connections.",
        aMemory.BudgetBytes());
  return text;
}

}
