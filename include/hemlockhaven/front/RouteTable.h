#ifndef HEMLOCKHAVEN_FRONT_ROUTETABLE_H
#define HEMLOCKHAVEN_FRONT_ROUTETABLE_H

#include "hemlockhaven/core/Time.h"

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hemlockhaven {

//! Maps requests of one host and path prefix to a service and to the
//! parameters of its work.
struct Route
{
  std::string name;
  std::string host;
  std::string pathPrefix;
  std::string service;
  Duration targetLatency{ 0 };
  double stretch = 1;
  std::uint32_t attempts = 1;
  std::uint32_t priority = 0; //!< 0 is the most urgent.
};

//! A complete set of routes.
struct RouteConfiguration
{
  std::uint64_t version = 0;
  std::vector<Route> routes;
};

//! The active routes. Versions only increase. Thread-safe.
class RouteTable
{
public:
  //! Activates the configuration if its version is higher than the active one.
  //! Returns whether it was activated.
  bool Apply(RouteConfiguration aConfiguration);

  //! Finds the route of the host with the longest matching path prefix, or
  //! null. The route stays valid after a later Apply.
  std::shared_ptr<const Route> Find(std::string_view aHost,
                                    std::string_view aPath) const;

  //! 0 until a configuration has been applied.
  std::uint64_t Version() const;

private:
  mutable std::mutex mutex_;
  std::uint64_t version_ = 0;
  //! Routes by host, ordered by descending prefix length.
  std::unordered_map<std::string, std::vector<std::shared_ptr<const Route>>>
    byHost_;
};

}

#endif
