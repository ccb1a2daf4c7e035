#ifndef HEMLOCKHAVEN_SRC_SETTINGS_SETTINGSREADER_H
#define HEMLOCKHAVEN_SRC_SETTINGS_SETTINGSREADER_H

#include "settings/DaemonSettings.h"

#include <string>
#include <string_view>
#include <vector>

namespace hemlockhaven {

//! One fault in the settings.
struct SettingsError
{
  std::string path;     //!< For example "peers[2].port".
  std::string expected; //!< What the key must hold.
  std::string found;    //!< What it holds.

  //! "peers[2].port: expected a whole number from 1 to 65535, found 0"
  std::string Describe() const;
};

//! Settings together with all faults; the settings count only without faults.
struct SettingsResult
{
  DaemonSettings settings;
  std::vector<SettingsError> errors;
};

//! Reads and checks settings in JSON against the table of keys.
SettingsResult ReadSettings(std::string_view aText);

//! Reads a file; a file that cannot be read is an error at path "".
SettingsResult ReadSettingsFile(const std::string& aPath);

}

#endif
