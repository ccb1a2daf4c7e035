#ifndef HEMLOCKHAVEN_IDENTITY_CLAIMBATCH_H
#define HEMLOCKHAVEN_IDENTITY_CLAIMBATCH_H

#include "hemlockhaven/identity/KeyHash.h"
#include "hemlockhaven/identity/SubmissionId.h"

#include <cstdint>
#include <vector>

namespace hemlockhaven {

//! One record of the log: an incarnation claims callers' keys.
struct ClaimBatch
{
  Incarnation holder;
  std::uint64_t nonce = 0; //!< Tells appends of one incarnation apart.
  std::vector<KeyHash> keys;
};

}

#endif
