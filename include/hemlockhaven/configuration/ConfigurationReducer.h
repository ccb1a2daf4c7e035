#ifndef HEMLOCKHAVEN_CONFIGURATION_CONFIGURATIONREDUCER_H
#define HEMLOCKHAVEN_CONFIGURATION_CONFIGURATIONREDUCER_H

#include "hemlockhaven/configuration/ConfigurationRecord.h"
#include "hemlockhaven/core/Guard.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace hemlockhaven {

//! What became of a change. All readers come to the same verdict.
struct ConfigurationVerdict
{
  std::uint64_t nonce = 0;
  bool accepted = false;
  ConfigurationVersion version = 0; //!< In force after the change.
};

//! Computes the configuration from the log. It has no lock.
//!
//! A change is judged only if the state accounts for all records before it.
//! Changes behind a gap wait for a snapshot or a peer's state that covers the
//! gap; until then the last version holds.
class ConfigurationReducer
{
public:
  explicit ConfigurationReducer(GuardHook aGuard);

  // From the reader of the log, in order.
  void OnChange(LogOffset aOffset, const ConfigurationChange& aChange);
  //! A snapshot of which following records are partly lost is not used.
  void OnSnapshot(LogOffset aOffset, const ConfigurationState& aSnapshot);
  void OnGap(LogOffset aFrom, LogOffset aTo);
  void OnPosition(LogOffset aPosition);

  //! A peer's state: taken if it is newer. One with a gap before this
  //! reader's first record is in force, but judges no further change.
  void Adopt(const ConfigurationState& aState);

  //! Nothing until the first state is known.
  const std::optional<ConfigurationState>& State() const { return state_; }

  //! Whether the state accounts for all that was read.
  bool IsCurrent() const;

  //! Verdicts since the last call, in log order.
  std::vector<ConfigurationVerdict> TakeVerdicts();

private:
  struct Pending
  {
    LogOffset offset = 0;
    ConfigurationChange change;
  };

  void StartFromZero();
  void Take(const ConfigurationState& aState);
  void Judge(const Pending& aPending);

  GuardHook guard_;
  std::optional<ConfigurationState> state_;
  LogOffset position_ = 0;       //!< Read up to here.
  LogOffset contiguousFrom_ = 0; //!< All records from here on were read.
  std::deque<Pending> pending_;  //!< Read, but not judged yet.
  std::vector<ConfigurationVerdict> verdicts_;
};

}

#endif
