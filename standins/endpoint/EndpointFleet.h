#ifndef HEMLOCKHAVEN_STANDINS_ENDPOINT_ENDPOINTFLEET_H
#define HEMLOCKHAVEN_STANDINS_ENDPOINT_ENDPOINTFLEET_H

#include "hemlockhaven/core/Span.h"
#include "standins/endpoint/EndpointServer.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace hemlockhaven {

//! Address and behaviour of one stand-in endpoint.
struct EndpointPlan
{
  std::string address = "127.0.0.1";
  std::uint16_t port = 0; //!< 0: any free port.
  EndpointBehaviour behaviour;
};

//! Many stand-in endpoints in one process, divided over threads.
class EndpointFleet
{
public:
  EndpointFleet(Span<const EndpointPlan> aPlans, std::size_t aThreads);
  //! Closes all connections and joins the threads.
  ~EndpointFleet();
  EndpointFleet(const EndpointFleet&) = delete;
  EndpointFleet& operator=(const EndpointFleet&) = delete;

  std::size_t Size() const { return servers_.size(); }
  EndpointServer& At(std::size_t aIndex) { return *servers_[aIndex]; }
  StartCounts& Starts() { return starts_; }

  //! Carries out a command {"port", "fault", "count", "slowness",
  //! "failsAll"}; without a port it goes to all endpoints. Returns the reply's
  //! body, empty if the command is malformed.
  std::string Control(std::string_view aCommand);

private:
  struct Lane
  {
    boost::asio::io_context context{ 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work{ context.get_executor() };
  };

  StartCounts starts_;
  std::vector<std::unique_ptr<Lane>> lanes_;
  std::vector<std::unique_ptr<EndpointServer>> servers_;
  std::vector<std::thread> threads_;
};

}

#endif
