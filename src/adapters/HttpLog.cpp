#include "adapters/HttpLog.h"

#include <exception>
#include <utility>

namespace hemlockhaven {

namespace {

Error MalformedReply(std::string_view aStep, const std::exception& aError)
{
  return Error::Unknown(aStep, "", Reason::LogUnavailable, aError.what());
}

Result<LogOffset> Append(const PlatformAddress& aAddress,
                         std::string_view aData)
{
  const Result<nlohmann::json> reply =
    CallPlatform(aAddress, { "POST", "/append", "", aData });
  if (reply.has_error()) {
    return reply.error();
  }
  try {
    return reply.value().at("offset").get<LogOffset>();
  } catch (const nlohmann::json::exception& error) {
    return MalformedReply("append", error);
  }
}

Result<LogPage> Read(const PlatformAddress& aAddress,
                     LogOffset aFrom,
                     std::size_t aMaxRecords)
{
  const Result<nlohmann::json> reply = CallPlatform(
    aAddress,
    { "GET",
      "/read",
      "from=" + std::to_string(aFrom) + "&max=" + std::to_string(aMaxRecords),
      "" });
  if (reply.has_error()) {
    return reply.error();
  }
  try {
    LogPage page;
    reply.value().at("start").get_to(page.start);
    reply.value().at("next").get_to(page.next);
    for (const nlohmann::json& record : reply.value().at("records")) {
      page.records.push_back({ record.at("offset").get<LogOffset>(),
                               record.at("data").get<std::string>() });
    }
    return page;
  } catch (const nlohmann::json::exception& error) {
    return MalformedReply("read", error);
  }
}

}

LogHooks MakeHttpLog(const PlatformAddress& aAddress)
{
  LogHooks hooks;
  hooks.append = [aAddress](std::string_view aData) {
    return Append(aAddress, aData);
  };
  hooks.read = [aAddress](LogOffset aFrom, std::size_t aMaxRecords) {
    return Read(aAddress, aFrom, aMaxRecords);
  };
  return hooks;
}

}
