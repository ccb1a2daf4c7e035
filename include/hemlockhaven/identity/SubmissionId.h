#ifndef HEMLOCKHAVEN_IDENTITY_SUBMISSIONID_H
#define HEMLOCKHAVEN_IDENTITY_SUBMISSIONID_H

#include "hemlockhaven/core/Result.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace hemlockhaven {

//! One run of a daemon. A restarted daemon is another incarnation, because it
//! has forgotten what the earlier one started.
struct Incarnation
{
  std::string node;         //!< The daemon's name from its settings.
  std::uint64_t number = 0; //!< Random for each start of the process.

  friend bool operator==(const Incarnation& aLeft, const Incarnation& aRight)
  {
    return aLeft.number == aRight.number && aLeft.node == aRight.node;
  }
  friend bool operator!=(const Incarnation& aLeft, const Incarnation& aRight)
  {
    return !(aLeft == aRight);
  }
};

//! Identity of a submission. Only the incarnation that issued it can start it.
struct SubmissionId
{
  Incarnation home;
  std::uint64_t sequence = 0;

  //! Parses "node.incarnation.sequence"; the incarnation is hexadecimal.
  static Result<SubmissionId> Parse(std::string_view aText);

  std::string Text() const;

  friend bool operator==(const SubmissionId& aLeft, const SubmissionId& aRight)
  {
    return aLeft.sequence == aRight.sequence && aLeft.home == aRight.home;
  }
};

}

#endif
