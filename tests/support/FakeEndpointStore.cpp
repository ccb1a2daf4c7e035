#include "support/FakeEndpointStore.h"

#include <nlohmann/json.hpp>

namespace hemlockhaven::Testing {

void FakeEndpointStore::Put(const ListedEndpoint& aEndpoint)
{
  const nlohmann::json record{
    { "service", aEndpoint.service },
    // Not used: the simulation routes commands by id.
    { "address", "10.0.0.1:80" },
    { "zone", aEndpoint.zone },
    { "state", aEndpoint.draining ? "draining" : "ready" },
    { "capacity",
      { { "cpu", aEndpoint.capacity.cpuMillis },
        { "mem_mb", aEndpoint.capacity.memoryMb },
        { "gpus", aEndpoint.capacity.accelerators } } },
    { "labels", aEndpoint.labels },
    { "born", aEndpoint.incarnationStartMs },
  };
  latest_[aEndpoint.id] = record.dump();
  records_.push_back({ aEndpoint.id, latest_[aEndpoint.id] });
}

void FakeEndpointStore::Remove(std::string_view aId)
{
  const std::string id(aId);
  latest_.erase(id);
  records_.push_back({ id, std::nullopt });
}

FakeEndpointStore::ReadResult FakeEndpointStore::ReadFrom(
  std::optional<std::uint64_t> aOffset) const
{
  ReadResult read;
  read.end = records_.size();
  if (aOffset) {
    for (std::size_t i = *aOffset; i < records_.size(); ++i) {
      read.records.push_back(records_[i]);
    }
    return read;
  }
  read.isSnapshot = true;
  for (const auto& [key, value] : latest_) {
    read.records.push_back({ key, value });
  }
  return read;
}

}
