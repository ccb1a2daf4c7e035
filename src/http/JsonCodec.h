#ifndef HEMLOCKHAVEN_SRC_HTTP_JSONCODEC_H
#define HEMLOCKHAVEN_SRC_HTTP_JSONCODEC_H

#include "hemlockhaven/core/Error.h"
#include "hemlockhaven/core/Result.h"
#include "hemlockhaven/job/JobBook.h"
#include "hemlockhaven/job/JobSpec.h"
#include "net/MemoryReservation.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string_view>

namespace hemlockhaven {

//! What kind of submission a body describes.
enum class SubmissionKind : std::uint8_t
{
  Request, //!< One task: `payload`; may be idempotent.
  Job,     //!< Many tasks: `tasks`.
};

//! Reads a submission. The error says which member is wrong and why, or that
//! its memory was not reserved.
Result<JobSpec> ParseSubmission(std::string_view aBody,
                                SubmissionKind aKind,
                                const ReserveHook& aReserve = nullptr);

//! A refusal or failure: reason, ran, retryAfterMs, step, peer, detail.
nlohmann::json ToJson(const Error& aError);

//! An answer; the results are present only if the job is complete.
nlohmann::json ToJson(const JobAnswer& aAnswer, SubmissionKind aKind);

}

#endif
