#ifndef HEMLOCKHAVEN_SRC_HTTP_STATUSJSON_H
#define HEMLOCKHAVEN_SRC_HTTP_STATUSJSON_H

#include "http/OperatorHooks.h"

#include <nlohmann/json_fwd.hpp>

namespace hemlockhaven {

nlohmann::json ToJson(const NodeStatus& aStatus);
nlohmann::json ToJson(const RequestRecord& aRecord);
nlohmann::json ToJson(const WhereAnswer& aAnswer);

//! "leaving", "ejected", "full" or "live".
std::string_view EndpointStateName(const EndpointStatus& aEndpoint);

}

#endif
