#ifndef HEMLOCKHAVEN_SRC_ADAPTERS_CONFIGURATIONJSON_H
#define HEMLOCKHAVEN_SRC_ADAPTERS_CONFIGURATIONJSON_H

#include "hemlockhaven/configuration/Configuration.h"
#include "hemlockhaven/core/Result.h"
#include "net/MemoryReservation.h"

#include <nlohmann/json.hpp>

#include <string_view>
#include <vector>

namespace hemlockhaven {

//! A parsed document, or all errors found in it.
struct ParsedConfiguration
{
  Configuration document;
  std::vector<ConfigurationFault> faults; //!< Empty if the document is valid.
};

//! Parses and validates a document of the form
//! {"callers": [{"caller", "weight", "maxQueuedTasks"}],
//!  "steering": [{"submissions": selector, "endpoints": selector}],
//!  "drained": [selector]}
ParsedConfiguration ParseConfiguration(const nlohmann::json& aJson);
//! The same for the text of a client. The error says that it has too many
//! levels or that its memory was not reserved.
Result<ParsedConfiguration> ParseConfiguration(
  std::string_view aText,
  const ReserveHook& aReserve = nullptr);

nlohmann::json ToJson(const Configuration& aDocument);

}

#endif
