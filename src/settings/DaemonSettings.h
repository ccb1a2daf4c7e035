#ifndef HEMLOCKHAVEN_SRC_SETTINGS_DAEMONSETTINGS_H
#define HEMLOCKHAVEN_SRC_SETTINGS_DAEMONSETTINGS_H

#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/fleet/EndpointDescription.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hemlockhaven {

//! An IP number with a TCP port.
struct SocketAddress
{
  std::string address;
  std::uint16_t port = 0;
};

//! Another daemon, from the settings.
struct PeerSettings
{
  std::string name;
  std::string address; //!< IP number.
  std::uint16_t port = 0;
  std::string zone;
  std::uint32_t cores = 1; //!< Weight when work is divided.
};

//! Bounds from the settings.
struct LimitSettings
{
  std::size_t waitingCallers = 0;
  std::size_t connections = 0; //!< Of the callers' server.
  std::size_t bodyBytes = 0;
  std::size_t queuedTasks = 0;
  std::size_t queuedBytes = 0;
  Duration defaultDeadline{ 0 };
  Duration attemptFloor{ 0 };
  Duration attemptCeiling{ 0 };
  Duration keepFinished{ 0 };
  Duration readTimeout{ 0 }; //!< For a whole request.
};

//! The checked settings of one daemon. Defaults are in the table of keys.
struct DaemonSettings
{
  std::string name;
  std::string zone;
  std::uint32_t cores = 1; //!< Weight when work is divided.
  SocketAddress callers;
  SocketAddress operators;
  SocketAddress peerListen;
  std::vector<PeerSettings> peers;
  std::optional<SocketAddress> platformLog;
  std::optional<SocketAddress> vmList;
  std::vector<EndpointDescription> endpoints;
  std::size_t memoryMb = 0;  //!< Of the machine.
  std::uint32_t threads = 0; //!< Shards of the dispatcher.
  LimitSettings limits;
  Duration leaveDelay{ 0 };
  Duration shutdownLimit{ 0 };
  std::string logLevel;
  std::string queuePolicy;
  std::string placementPolicy;
};

}

#endif
