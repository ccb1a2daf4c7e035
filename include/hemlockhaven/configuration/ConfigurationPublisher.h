#ifndef HEMLOCKHAVEN_CONFIGURATION_CONFIGURATIONPUBLISHER_H
#define HEMLOCKHAVEN_CONFIGURATION_CONFIGURATIONPUBLISHER_H

#include "hemlockhaven/configuration/ConfigurationStore.h"
#include "hemlockhaven/core/Result.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace hemlockhaven {

//! What became of an operator's document.
struct PublishAnswer
{
  enum class Outcome : std::uint8_t
  {
    Accepted, //!< In force as `version`.
    Conflict, //!< Not accepted: `version` is current, not the base.
    Invalid,  //!< Not appended because of `faults`.
    Refused,  //!< Not appended: the log refused it.
    Unknown,  //!< It may come into force; ask for the current version later.
  };

  Outcome outcome = Outcome::Unknown;
  ConfigurationVersion version = 0;
  std::vector<ConfigurationFault> faults;
  std::string detail; //!< For Refused and Unknown.
};

//! Publishes documents through the log. Thread-safe; it keeps no state.
class ConfigurationPublisher
{
public:
  struct Hooks
  {
    //! Encodes and appends a change; blocks.
    std::function<Result<LogOffset>(const ConfigurationChange&)> append;
    std::function<void()> wakeReader; //!< Reads the log at once.
    std::function<std::uint64_t()> random;
  };

  //! The store must be fed from the log.
  ConfigurationPublisher(ConfigurationStore& aStore, Hooks aHooks);

  //! Appends the document and waits for the verdict of the log.
  PublishAnswer Publish(const Configuration& aDocument,
                        ConfigurationVersion aBase,
                        Duration aLimit);

private:
  ConfigurationStore& store_;
  Hooks hooks_;
};

}

#endif
