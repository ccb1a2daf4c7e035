#ifndef HEMLOCKHAVEN_IDENTITY_IDISSUER_H
#define HEMLOCKHAVEN_IDENTITY_IDISSUER_H

#include "hemlockhaven/core/Guard.h"
#include "hemlockhaven/core/Result.h"
#include "hemlockhaven/identity/SubmissionId.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace hemlockhaven {

//! Issues submission ids and lets each of them be used once.
//!
//! It remembers one bit for each of the last kWindow sequences. A sequence
//! below the window counts as used, because its bit is forgotten.
class IdIssuer
{
public:
  //! How many of the newest sequences are remembered.
  static constexpr std::uint64_t kWindow = 1U << 20U;

  //! What a submission under an id may do.
  enum class Use
  {
    First,   //!< The first submission: it may start.
    Repeat,  //!< The id was used before.
    Expired, //!< The id fell out of the window: whether it ran is unknown.
    Foreign, //!< This incarnation never issued the id.
  };

  explicit IdIssuer(Incarnation aIncarnation, GuardHook aGuard = {});

  const Incarnation& Self() const { return self_; }

  //! Reserves consecutive sequences and returns the first; nothing starts.
  std::uint64_t Reserve(std::uint32_t aCount);

  //! Marks the id as used. Of all calls with one id at most one returns First.
  Use MarkUsed(const SubmissionId& aId);

  //! Whether this incarnation issued the id and nothing was submitted under it
  //! so far.
  bool IsUnused(const SubmissionId& aId) const;

  //! Makes a used id usable again. Only for a submission of which nothing has
  //! started and nothing will: a refused one may come again under its id.
  void Release(const SubmissionId& aId);

  //! The remembered window, one bit a sequence, lowest bit of a byte first.
  struct Window
  {
    std::uint64_t firstSequence = 0; //!< Of the first bit.
    std::uint64_t nextSequence = 0;  //!< First sequence never issued.
    std::string usedBits;
  };

  //! Copies the window for a successor. No id may be used afterwards.
  Window Export();

private:
  //! Sequences are remembered in blocks, each under its own lock.
  static constexpr std::size_t kBlocks = 16;
  static constexpr std::uint64_t kBlockSize = kWindow / kBlocks;

  struct Block
  {
    mutable std::mutex mutex;
    std::uint64_t generation = 0; //!< Sequence divided by kBlockSize.
    std::vector<bool> used;       //!< Empty until the first use.
  };

  Block& BlockOf(std::uint64_t aSequence);

  Incarnation self_;
  GuardHook guard_;
  std::atomic<std::uint64_t> next_{ 1 };
  std::array<Block, kBlocks> blocks_;
};

}

#endif
