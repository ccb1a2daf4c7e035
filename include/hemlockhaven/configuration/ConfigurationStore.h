#ifndef HEMLOCKHAVEN_CONFIGURATION_CONFIGURATIONSTORE_H
#define HEMLOCKHAVEN_CONFIGURATION_CONFIGURATIONSTORE_H

#include "hemlockhaven/configuration/ConfigurationReducer.h"
#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/platform/LogReader.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>

namespace hemlockhaven {

//! The configuration in force in this daemon. Thread-safe.
class ConfigurationStore
{
public:
  using State = std::shared_ptr<const ConfigurationState>;
  //! Called outside of the lock after the version rose. Two calls may overlap;
  //! the receiver reads Current() for the newest.
  using ChangeHook = std::function<void(const State&)>;

  struct Options
  {
    ChangeHook changed;
    //! In [0, 1); spreads the daemons' snapshots, so that one appends and the
    //! others see it.
    double snapshotShare = 0;
    GuardHook guard;
  };

  explicit ConfigurationStore(Options aOptions);

  //! Null until the first state is known; the daemon is not ready then.
  State Current() const;

  //! Takes a peer's state if it is newer.
  void Adopt(const ConfigurationState& aState);

  //! The snapshot to append now, if the newest in the log is older than a
  //! quarter of what the log retains. Each call that returns one counts as an
  //! append, so a failed append is repeated at the next quarter of that span.
  std::optional<ConfigurationState> TakeDueSnapshot();

  //! Waits for the verdict on a change; nothing if the limit passes.
  std::optional<ConfigurationVerdict> AwaitVerdict(std::uint64_t aNonce,
                                                   Duration aLimit);

  // From the reader of the log, in order.
  void OnChange(LogOffset aOffset, const ConfigurationChange& aChange);
  void OnSnapshot(LogOffset aOffset, const ConfigurationState& aSnapshot);
  void OnGap(LogOffset aFrom, LogOffset aTo);
  void OnPosition(const LogPosition& aPosition);

private:
  //! Applies a step under the lock and tells the hook outside of it.
  void Update(const std::function<void()>& aStep);

  Options options_;
  mutable std::mutex mutex_; //!< Guards all members below.
  std::condition_variable judged_;
  ConfigurationReducer reducer_;
  State current_;
  std::deque<ConfigurationVerdict> verdicts_; //!< The newest ones.
  LogPosition position_;
  LogOffset snapshotAt_ = 0; //!< Where the newest snapshot is.
};

}

#endif
