#include "hemlockhaven/front/RouteTable.h"

#include <algorithm>
#include <utility>

namespace hemlockhaven {

bool RouteTable::Apply(RouteConfiguration aConfiguration)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  if (aConfiguration.version <= version_) {
    return false;
  }
  version_ = aConfiguration.version;
  byHost_.clear();
  for (Route& route : aConfiguration.routes) {
    auto& routes = byHost_[route.host];
    routes.push_back(std::make_shared<const Route>(std::move(route)));
  }
  for (auto& [host, routes] : byHost_) {
    std::sort(
      routes.begin(), routes.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft->pathPrefix.size() > aRight->pathPrefix.size();
      });
  }
  return true;
}

std::shared_ptr<const Route> RouteTable::Find(std::string_view aHost,
                                              std::string_view aPath) const
{
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = byHost_.find(std::string(aHost));
  if (found == byHost_.end()) {
    return nullptr;
  }
  for (const auto& route : found->second) {
    if (aPath.substr(0, route->pathPrefix.size()) == route->pathPrefix) {
      return route;
    }
  }
  return nullptr;
}

std::uint64_t RouteTable::Version() const
{
  const std::lock_guard<std::mutex> lock(mutex_);
  return version_;
}

}
