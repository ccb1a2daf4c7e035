#ifndef HEMLOCKHAVEN_SOAK_FLEET_H
#define HEMLOCKHAVEN_SOAK_FLEET_H

#include "hemlockhaven/fleet/Dice.h"
#include "soak/FaultProxy.h"
#include "soak/Ledger.h"
#include "soak/StoreStandIn.h"
#include "system/Process.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hemlockhaven::Soak {

//! Size and place of one run.
struct FleetOptions
{
  std::size_t daemons = 5;
  std::size_t endpoints = 10;
  std::uint64_t seed = 1;
  std::string daemonProgram;
  std::string endpointProgram;
  std::string folder;     //!< Of settings, logs and events.
  unsigned network = 100; //!< Second byte of all addresses: 127.N.x.y.
};

//! Daemons and endpoints as processes, with a proxy in front of each, and the
//! store.
class Fleet
{
public:
  Fleet(boost::asio::io_context& aContext,
        const FleetOptions& aOptions,
        Ledger& aLedger);

  std::size_t Daemons() const { return daemons_.size(); }
  std::size_t Endpoints() const { return endpoints_.size(); }
  std::string CallerAddress(std::size_t aDaemon) const;
  const std::string& EndpointId(std::size_t aEndpoint) const
  {
    return endpoints_[aEndpoint].id;
  }

  void StartDaemon(std::size_t aDaemon);
  void SignalDaemon(std::size_t aDaemon, int aSignal);
  //! The exit code if the daemon's process has ended.
  std::optional<int> DaemonExit(std::size_t aDaemon);
  //! The daemon that began the latest term, by the running daemons' logs.
  std::optional<std::size_t> Leader() const;

  void StartEndpoint(std::size_t aEndpoint);
  void KillEndpoint(std::size_t aEndpoint);
  void SignalEndpoint(std::size_t aEndpoint, int aSignal);
  //! Lists the endpoint as ready or draining, or no more.
  void List(std::size_t aEndpoint, bool aDraining);
  void Unlist(std::size_t aEndpoint);
  void Configure();

  StoreStandIn& Store() { return store_; }
  FaultProxy& LinkProxy(std::size_t aDaemon)
  {
    return *daemons_[aDaemon].links;
  }
  FaultProxy& StoreProxy(std::size_t aDaemon)
  {
    return *daemons_[aDaemon].store;
  }
  FaultProxy& EndpointProxy(std::size_t aEndpoint)
  {
    return *endpoints_[aEndpoint].proxy;
  }

  //! Reads what the endpoints wrote into the ledger.
  void CollectEvents();
  //! Lines of the daemons' logs that are no JSON.
  std::size_t BadLogLines() const;

private:
  struct DaemonSlot
  {
    std::unique_ptr<Testing::Process> process;
    std::unique_ptr<FaultProxy> links;
    std::unique_ptr<FaultProxy> store;
    int lives = 0;
  };
  struct EndpointSlot
  {
    std::unique_ptr<Testing::Process> process;
    std::unique_ptr<FaultProxy> proxy;
    std::int64_t bornMs = 0;
    int lives = 0;
    std::string id;
  };

  std::string Ip(unsigned aGroup, std::size_t aNumber) const;
  //! The log of the daemon's current process.
  std::string LogFile(std::size_t aDaemon) const;
  FaultProxy::Address At(unsigned aGroup,
                         std::size_t aNumber,
                         std::uint16_t aPort) const;

  boost::asio::io_context& context_;
  const FleetOptions options_;
  Ledger& ledger_;
  Dice dice_;
  StoreStandIn store_;
  std::vector<DaemonSlot> daemons_;
  std::vector<EndpointSlot> endpoints_;
  std::vector<std::string> eventFiles_;
  std::vector<std::string> logFiles_;
  std::uint64_t version_ = 0; //!< Of the configuration.
};

}

#endif
