#include "support/EndpointLog.h"

#include <nlohmann/json.hpp>

namespace hemlockhaven::Testing {

void EndpointLog::Put(const ListedEndpoint& aEndpoint)
{
  const nlohmann::json record{
    { "service", aEndpoint.service },
    { "address", "10.0.0.1:80" }, // Orders go by the id in virtual time.
    { "zone", "z" },
    { "state", aEndpoint.draining ? "draining" : "ready" },
    { "capacity",
      { { "cpu", aEndpoint.capacity.cpuMillis },
        { "mem_mb", aEndpoint.capacity.memoryMb },
        { "gpus", aEndpoint.capacity.accelerators } } },
    { "labels", aEndpoint.labels },
    { "born", 1 },
  };
  newest_[aEndpoint.id] = record.dump();
  records_.push_back({ aEndpoint.id, newest_[aEndpoint.id] });
}

void EndpointLog::Remove(std::string_view aId)
{
  const std::string id(aId);
  newest_.erase(id);
  records_.push_back({ id, std::nullopt });
}

EndpointLog::Read EndpointLog::ReadFrom(
  std::optional<std::uint64_t> aOffset) const
{
  Read read;
  read.end = records_.size();
  if (aOffset) {
    for (std::size_t i = *aOffset; i < records_.size(); ++i) {
      read.records.push_back(records_[i]);
    }
    return read;
  }
  read.all = true;
  for (const auto& [key, value] : newest_) {
    read.records.push_back({ key, value });
  }
  return read;
}

}
