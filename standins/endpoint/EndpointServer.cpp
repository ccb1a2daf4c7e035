#include "standins/endpoint/EndpointServer.h"

#include "standins/endpoint/EndpointSession.h"

#include <boost/asio/error.hpp>
#include <boost/asio/ip/address.hpp>

#include <memory>
#include <utility>

namespace hemlockhaven {

namespace asio = boost::asio;

EndpointServer::EndpointServer(asio::io_context& aContext,
                               const std::string& aAddress,
                               std::uint16_t aPort,
                               const EndpointBehaviour& aBehaviour,
                               StartCounts& aStarts)
  : starts_(aStarts)
  , acceptor_(aContext,
              asio::ip::tcp::endpoint(asio::ip::make_address(aAddress), aPort))
  , port_(acceptor_.local_endpoint().port())
  , behaviour_(aBehaviour)
{
  Accept();
}

std::chrono::milliseconds EndpointServer::LateBy() const
{
  const std::lock_guard<std::mutex> lock(mutex_);
  return behaviour_.lateBy;
}

void EndpointServer::Arm(EndpointFault aFault, std::uint32_t aCount)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  faults_.insert(faults_.end(), aCount, aFault);
}

void EndpointServer::SetSlowness(double aSlowness)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  behaviour_.slowness = aSlowness;
}

void EndpointServer::SetFailsAll(bool aFailsAll)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  behaviour_.failsAll = aFailsAll;
}

EndpointFault EndpointServer::TakeFault()
{
  const std::lock_guard<std::mutex> lock(mutex_);
  if (faults_.empty()) {
    return EndpointFault::None;
  }
  const EndpointFault fault = faults_.front();
  faults_.pop_front();
  return fault;
}

PlannedRun EndpointServer::TakeSlot()
{
  const auto now = std::chrono::steady_clock::now();
  const std::lock_guard<std::mutex> lock(mutex_);
  if (running_ >= behaviour_.slots) {
    return {};
  }
  ++running_;
  ++started_;
  PlannedRun run;
  run.taken = true;
  run.slowness = behaviour_.slowness;
  for (const PlannedChange& change : behaviour_.changes) {
    if (now - startedAt_ >= change.after) {
      run.slowness = change.slowness;
    }
  }
  run.fails = behaviour_.failsAll || (behaviour_.failOneIn != 0 &&
                                      started_ % behaviour_.failOneIn == 0);
  return run;
}

void EndpointServer::ReleaseSlot()
{
  const std::lock_guard<std::mutex> lock(mutex_);
  --running_;
}

void EndpointServer::Accept()
{
  acceptor_.async_accept([this](const boost::system::error_code& aError,
                                asio::ip::tcp::socket aSocket) {
    if (aError == asio::error::operation_aborted) {
      return;
    }
    if (!aError) {
      ++accepted_;
      boost::system::error_code ignored;
      aSocket.set_option(asio::ip::tcp::no_delay(true), ignored);
      std::make_shared<EndpointSession>(*this, std::move(aSocket))->Read();
    }
    Accept();
  });
}

}
