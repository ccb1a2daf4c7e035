#ifndef HEMLOCKHAVEN_CONFIGURATION_CONFIGURATIONRECORD_H
#define HEMLOCKHAVEN_CONFIGURATION_CONFIGURATIONRECORD_H

#include "hemlockhaven/configuration/Configuration.h"
#include "hemlockhaven/platform/LogHooks.h"

#include <cstdint>
#include <memory>

namespace hemlockhaven {

using ConfigurationVersion = std::uint64_t;

//! A version of the configuration and how much of the log it accounts for.
struct ConfigurationState
{
  ConfigurationVersion version = 0; //!< 0: nothing was published yet.
  LogOffset asOf = 0; //!< All records below it are taken into account.
  std::shared_ptr<const Configuration> document;
};

//! An operator's change; it counts only if its base is the current version.
struct ConfigurationChange
{
  ConfigurationVersion base = 0;
  std::uint64_t nonce = 0; //!< By which its author finds it in the log.
  std::shared_ptr<const Configuration> document; //!< Checked.
};

}

#endif
