#ifndef HEMLOCKHAVEN_SRC_SETTINGS_SETTINGSTABLE_H
#define HEMLOCKHAVEN_SRC_SETTINGS_SETTINGSTABLE_H

#include "hemlockhaven/core/Span.h"
#include "settings/DaemonSettings.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace hemlockhaven {

//! What a key holds.
enum class SettingType : std::uint8_t
{
  Name,     //!< Letters, digits, '-' and '_'.
  Text,     //!< Any text of 1 to 64 bytes.
  IpNumber, //!< IPv4 or IPv6.
  Number,   //!< Whole number from least to most.
  Choice,   //!< One of the texts in choices, parted by '|'.
  Labels,   //!< Object of texts.
  Group,    //!< Optional object; its own keys follow.
  List,     //!< List of objects; their keys follow.
};

//! One row of the table of keys.
struct SettingKey
{
  std::string_view path; //!< For example "peers[].name".
  SettingType type;
  std::int64_t least;
  std::int64_t most;
  std::string_view choices;
  std::string_view defaultText; //!< JSON; empty: the key is required.
  std::string_view meaning;
  //! Stores a checked value; for Group and List it adds an empty item.
  void (*store)(DaemonSettings& aSettings, const nlohmann::json& aValue);
};

//! All keys, in the order of the operators' page.
Span<const SettingKey> SettingKeys();

//! What the key must hold, for error messages and the operators' page.
std::string Expected(const SettingKey& aKey);

//! The row of the operators' page for a key.
std::string MarkdownRow(const SettingKey& aKey);

}

#endif
