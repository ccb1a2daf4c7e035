#ifndef HEMLOCKHAVEN_STANDINS_ENDPOINT_ENDPOINTFAULT_H
#define HEMLOCKHAVEN_STANDINS_ENDPOINT_ENDPOINTFAULT_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace hemlockhaven {

//! What a stand-in endpoint does wrong with one request for a run.
enum class EndpointFault : std::uint8_t
{
  None,
  Late,           //!< Answers EndpointBehaviour::lateBy after the run time.
  HalfLength,     //!< Closes after half of a body with Content-Length.
  HalfChunked,    //!< Closes before the last chunk.
  Twice,          //!< Sends the answer twice.
  WrongAttempt,   //!< Names an attempt that nobody made.
  EarlierAttempt, //!< Names the attempt before on this connection.
  NoAttempt,      //!< Names no attempt.
  Never,          //!< Starts the task and sends no byte.
  Reset,          //!< Starts the task and resets the connection.
  Close,          //!< Starts the task and closes without a byte.
  RefuseNotRun,   //!< Says "not run" though it has a free slot.
  CloseIdle,      //!< Answers, then closes the idle connection.
  SilentIdle,     //!< Answers, then reads and sends nothing on it.
  Unframed,       //!< Answers without a length and closes.
  Fail,           //!< Answers status 500 after the run time.
  Chunked,        //!< A correct answer in chunks.
  Http10,         //!< A correct HTTP/1.0 answer, then closes.
  Early,          //!< Refuses as not run on the header alone and closes.
  Oversize,       //!< Answers with a body of 1 MiB more than the payload.
  Garbage,        //!< Sends bytes that are no HTTP.
  Interim,        //!< Sends status 102 before the answer.
  Count,          //!< Number of faults; not a fault.
};

constexpr std::size_t kEndpointFaultCount =
  static_cast<std::size_t>(EndpointFault::Count);

//! The fault's name in options and in the control route, for example
//! "half-length".
std::string_view EndpointFaultName(EndpointFault aFault);

//! Finds a fault by its name.
std::optional<EndpointFault> EndpointFaultFromName(std::string_view aName);

}

#endif
