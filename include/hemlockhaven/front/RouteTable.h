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

//! Where work of one kind comes in and how it is served.
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

//! One accepted configuration of all routes.
struct RouteConfiguration
{
  std::uint64_t version = 0;
  std::vector<Route> routes;
};

//! The routes in force. Versions only rise.
class RouteTable
{
public:
  //! Takes the configuration into force unless it is older than the present
  //! one. True if it was taken.
  bool Apply(RouteConfiguration aConfiguration);

  //! The route of this host with the longest prefix of the path; null: none.
  //! Stays valid while the caller holds it.
  std::shared_ptr<const Route> Find(std::string_view aHost,
                                    std::string_view aPath) const;

  //! 0 until a configuration is in force.
  std::uint64_t Version() const;

private:
  mutable std::mutex mutex_;
  std::uint64_t version_ = 0;
  //! By host; longer prefixes first.
  std::unordered_map<std::string, std::vector<std::shared_ptr<const Route>>>
    byHost_;
};

}

#endif
