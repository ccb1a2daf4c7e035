#ifndef HEMLOCKHAVEN_SRC_NET_REQUESTERROR_H
#define HEMLOCKHAVEN_SRC_NET_REQUESTERROR_H

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace hemlockhaven {

class ConnectionMemory;
enum class ReserveOutcome : std::uint8_t;

//! Why a request was rejected before it reached the handler, or a connection
//! was closed.
enum class RequestError : std::uint8_t
{
  Malformed,
  HeaderTooLarge,
  BodyTooLarge,
  TrailerTooLarge,  //!< Or the header of a chunk.
  DocumentTooLarge, //!< It needs too much memory when it is parsed.
  TooManyConnections,
  MemoryExhausted, //!< Gave way to other connections, or could not be parsed.
  TooSlow,         //!< The request stopped arriving.
  ReplyNotRead,    //!< Gave way to other connections.
  Count
};

//! The error of a request for which memory was not reserved.
RequestError RequestErrorOf(ReserveOutcome aOutcome);

//! The text of the error in logs and metrics.
std::string_view RequestErrorName(RequestError aError);

//! Counts rejected requests by error. Thread-safe.
class RequestErrorCounts
{
public:
  void Count(RequestError aError);
  std::uint64_t Value(RequestError aError) const;

private:
  std::array<std::atomic<std::uint64_t>,
             static_cast<std::size_t>(RequestError::Count)>
    counts_{};
};

//! The counters and the gauges of the memory in the Prometheus text format.
std::string WriteConnectionMetrics(const RequestErrorCounts& aCounts,
                                   const ConnectionMemory& aMemory);

}

#endif
