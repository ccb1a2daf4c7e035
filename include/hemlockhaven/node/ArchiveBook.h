#ifndef HEMLOCKHAVEN_NODE_ARCHIVEBOOK_H
#define HEMLOCKHAVEN_NODE_ARCHIVEBOOK_H

#include "hemlockhaven/core/Result.h"
#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/identity/SubmissionId.h"
#include "hemlockhaven/job/JobBook.h"
#include "hemlockhaven/membership/Messages.h"

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace hemlockhaven {

//! Splits an archive into parts of about so many bytes of answers; only the
//! last one has the window of ids.
std::vector<Archive> SplitArchive(Archive&& aArchive, std::size_t aBytes);

//! What stopped homes handed over: their finished answers and which of their
//! ids were used. It starts nothing.
class ArchiveBook
{
public:
  ArchiveBook(Clock aClock, Duration aKeep, std::size_t aMostHomes);

  //! Takes one part of an archive; Reason::QueueFull if too many are kept.
  Result<void> Add(Archive&& aPart);

  //! The answer of a stopped home's submission. An id that its home never used
  //! is "not run": the home has stopped and nobody else starts it.
  Result<JobAnswer> Find(const SubmissionId& aId) const;

  //! All that is kept, for the next successor; whole archives only.
  std::vector<Archive> Export() const;

  //! Whether this home handed its answers over to this daemon.
  bool Holds(const Incarnation& aHome) const;

  //! Forgets archives that are older than the limit.
  void Expire();

private:
  struct Kept
  {
    Incarnation home;
    TimePoint at{};
    bool isWhole = false;
    std::uint64_t firstSequence = 0;
    std::uint64_t nextSequence = 0;
    std::string usedBits;
    std::unordered_map<std::uint64_t, JobAnswer> answers;
  };

  static bool IsUnused(const Kept& aKept, std::uint64_t aSequence);

  Clock clock_;
  Duration keep_;
  std::size_t mostHomes_;
  mutable std::mutex mutex_;                      //!< Guards homes_.
  std::unordered_map<std::uint64_t, Kept> homes_; //!< By incarnation number.
};

}

#endif
