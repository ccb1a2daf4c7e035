#include "adapters/HttpVmList.h"

#include <stdexcept>

namespace hemlockhaven {

namespace {

using nlohmann::json;

bool IsLeaving(const json& aVm)
{
  const auto& state = aVm.at("state").get_ref<const std::string&>();
  if (state != "live" && state != "leaving") {
    throw std::invalid_argument("state: expected live or leaving, found " +
                                state);
  }
  return state == "leaving";
}

EntryVm EntryVmFromJson(const json& aVm)
{
  EntryVm entry;
  aVm.at("id").get_to(entry.node);
  aVm.at("address").get_to(entry.address);
  aVm.at("port").get_to(entry.peerPort);
  aVm.at("zone").get_to(entry.zone);
  entry.cores = aVm.value("cores", entry.cores);
  entry.leaving = IsLeaving(aVm);
  return entry;
}

EndpointDescription EndpointFromJson(const json& aVm)
{
  EndpointDescription endpoint;
  aVm.at("id").get_to(endpoint.id);
  aVm.at("address").get_to(endpoint.address);
  aVm.at("port").get_to(endpoint.port);
  aVm.at("zone").get_to(endpoint.zone);
  endpoint.rack = aVm.value("rack", "");
  endpoint.slots = aVm.value("slots", endpoint.slots);
  endpoint.cores = aVm.value("cores", endpoint.cores);
  endpoint.memoryMb = aVm.value("memoryMb", endpoint.memoryMb);
  endpoint.accelerators = aVm.value("accelerators", endpoint.accelerators);
  endpoint.leaving = IsLeaving(aVm);
  const json labels = aVm.value("labels", json::object());
  for (const auto& [key, value] : labels.items()) {
    endpoint.labels.Set(key, value.get_ref<const std::string&>());
  }
  endpoint.labels.Set("zone", endpoint.zone);
  endpoint.labels.Set("rack", endpoint.rack);
  return endpoint;
}

}

Result<VmList> ParseVmList(const json& aJson)
{
  try {
    VmList list;
    if (!aJson.is_array()) {
      throw std::invalid_argument("expected a list");
    }
    for (const json& vm : aJson) {
      const auto& role = vm.at("role").get_ref<const std::string&>();
      if (role == "entry") {
        list.entryVms.push_back(EntryVmFromJson(vm));
      } else if (role == "endpoint") {
        list.endpoints.push_back(EndpointFromJson(vm));
      }
    }
    return list;
  } catch (const std::exception& error) {
    return Error::NotRun(
      "read VM list", Reason::MalformedRequest, error.what());
  }
}

VmListHook MakeHttpVmList(const PlatformAddress& aAddress)
{
  return [aAddress]() -> Result<VmList> {
    const Result<json> reply =
      CallPlatform(aAddress, { "GET", "/vms", "", "" });
    if (reply.has_error()) {
      return reply.error();
    }
    return ParseVmList(reply.value());
  };
}

}
