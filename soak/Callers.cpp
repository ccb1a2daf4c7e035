#include "soak/Callers.h"

#include "platform/Protocol.h"

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <iomanip>
#include <memory>
#include <sstream>
#include <utility>

namespace hemlockhaven::Soak {

namespace {

//! A caller gives up after this, a second after its stated deadline.
constexpr Duration kDeadline{ 3000000 };
constexpr Duration kGivesUp{ 4000000 };

HttpClient::Limits ClientLimits()
{
  HttpClient::Limits limits;
  limits.maxConnectionsPerServer = 200;
  return limits;
}

}

Callers::Callers(boost::asio::io_context& aContext,
                 Fleet& aFleet,
                 Ledger& aLedger,
                 std::uint64_t aSeed)
  : context_(aContext)
  , fleet_(aFleet)
  , ledger_(aLedger)
  , dice_(aSeed)
  , http_(aContext, ClientLimits())
{
}

void Callers::Start(std::size_t aCount)
{
  for (std::size_t caller = 0; caller < aCount; ++caller) {
    Pause(caller);
  }
}

void Callers::Pause(std::size_t aCaller)
{
  auto timer = std::make_shared<boost::asio::steady_timer>(
    context_, std::chrono::milliseconds(50 + dice_.Next() % 400));
  timer->async_wait([this, timer, aCaller](const auto& aError) {
    if (!aError && !stopped_) {
      Send(aCaller);
    }
  });
}

void Callers::Send(std::size_t aCaller)
{
  CallerRecord record;
  record.daemon = dice_.Next() % fleet_.Daemons();
  std::ostringstream id;
  id << std::hex << std::setw(16) << std::setfill('0') << dice_.Next();
  record.id = id.str();
  record.tasks = 1 + dice_.Next() % 6;
  const std::uint64_t workMs = 30 + dice_.Next() % 250;
  const std::uint64_t cpuMillis = 2000 + dice_.Next() % 4000;

  HttpRequest call;
  call.address = fleet_.CallerAddress(record.daemon);
  call.method = "POST";
  call.target = "/quote/" + record.id;
  call.headers.emplace_back(Platform::Protocol::kDeadlineHeader,
                            std::to_string(kDeadline.count() / 1000));
  call.timeout = kGivesUp;
  call.body = nlohmann::json{
    { "spec", std::to_string(workMs) + " " + std::to_string(cpuMillis) },
    { "best_effort", true },
    { "steps",
      { { { "count", record.tasks },
          { "cpu", cpuMillis },
          { "mem_mb", 64 },
          { "estimate_ms", workMs } } } }
  }.dump();
  record.sent = SteadyNow();
  ++waiting_;
  http_.Send(std::move(call),
             [this, aCaller, record](const HttpResult& aResult) mutable {
               --waiting_;
               record.ended = SteadyNow();
               if (aResult.end == HttpOutcome::Answered) {
                 record.status = aResult.status;
                 record.body = aResult.body;
               }
               if (record.status == 200) {
                 served_.insert(record.daemon);
               }
               if (aResult.end != HttpOutcome::NotSent) {
                 ledger_.Add(std::move(record));
               }
               Pause(aCaller);
             });
}

}
