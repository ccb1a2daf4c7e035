#ifndef HEMLOCKHAVEN_SOAK_FLEET_H
#define HEMLOCKHAVEN_SOAK_FLEET_H

#include "hemlockhaven/fleet/Dice.h"
#include "soak/FaultProxy.h"
#include "soak/Ledger.h"
#include "soak/Shape.h"
#include "soak/StoreStandIn.h"
#include "system/Process.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hemlockhaven::Soak {

//! Size and place of one run.
struct FleetOptions
{
  std::size_t daemons = 5;
  std::size_t endpoints = 10;
  std::uint64_t seed = 1;
  const Shape* shape = &ShapeOf("plain");
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
  static constexpr std::size_t kZones = 3;

  Fleet(boost::asio::io_context& aContext,
        const FleetOptions& aOptions,
        Ledger& aLedger);

  std::size_t Daemons() const { return daemons_.size(); }
  std::size_t Endpoints() const { return endpoints_.size(); }
  std::string CallerAddress(std::size_t aDaemon) const;
  const Shape& Kind() const { return *options_.shape; }
  const std::string& EndpointId(std::size_t aEndpoint) const
  {
    return endpoints_[aEndpoint].id;
  }

  void StartDaemon(std::size_t aDaemon);
  void SignalDaemon(std::size_t aDaemon, int aSignal);
  //! The exit code if the daemon's process has ended.
  std::optional<int> DaemonExit(std::size_t aDaemon);
  //! The daemon that began the latest term, by the running daemons' logs.
  std::optional<std::size_t> Leader();
  //! All that began a term and have not yielded it.
  std::vector<std::size_t> Leaders();

  void StartEndpoint(std::size_t aEndpoint);
  void KillEndpoint(std::size_t aEndpoint);
  void SignalEndpoint(std::size_t aEndpoint, int aSignal);
  //! Lists the endpoint as ready or draining, or no more.
  void List(std::size_t aEndpoint, bool aDraining);
  void Unlist(std::size_t aEndpoint);
  void Configure();

  void SetStoreMode(StoreStandIn::Mode aMode);
  FaultProxy& LinkProxy(std::size_t aDaemon)
  {
    return *daemons_[aDaemon].links;
  }
  FaultProxy& StoreProxy(std::size_t aDaemon)
  {
    return *daemons_[aDaemon].store;
  }
  //! Null if callers reach the daemon directly.
  FaultProxy* CallerProxy(std::size_t aDaemon)
  {
    return daemons_[aDaemon].callers.get();
  }
  //! The proxies of all zones in front of the endpoint.
  void ForEachProxy(std::size_t aEndpoint,
                    const std::function<void(FaultProxy&)>& aHook);

  //! Cuts the zone off from the other zones and from the store. Its daemons and
  //! endpoints see each other, and callers reach all daemons.
  void CutZone(std::size_t aZone);
  void MendZones();
  void ResetZone(std::size_t aZone);

  //! Passes on each line of the daemons' logs.
  void ReadLogs(const std::function<void(std::size_t aDaemon,
                                         std::string_view aLine)>& aHook) const;
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
    std::unique_ptr<FaultProxy> callers;
    int lives = 0;
    std::streamoff readUpTo = 0; //!< In the log, by ReadTerms.
    std::string leadsSince;      //!< Empty unless it began a term.
    bool hasYielded = false;
  };
  struct EndpointSlot
  {
    std::unique_ptr<Testing::Process> process;
    std::vector<std::unique_ptr<FaultProxy>> proxies; //!< By view.
    std::int64_t bornMs = 0;
    int lives = 0;
    std::string id;
  };

  //! Zones that reach endpoints and store by themselves.
  std::size_t Views() const { return Kind().isZoned ? kZones : 1; }
  //! The view of a daemon.
  std::size_t ViewOf(std::size_t aDaemon) const { return aDaemon % Views(); }
  void Put(const std::string& aTopic,
           const std::string& aKey,
           const std::function<std::string(std::size_t aView)>& aValue);
  //! Runs the hook on the proxies over which the zone sees the rest, with the
  //! clients that these separate.
  void ForEachBorder(
    std::size_t aZone,
    const std::function<void(FaultProxy&, const CutHook&)>& aHook);
  //! Reads what is new in the log about the daemon's terms.
  void ReadTerms(std::size_t aDaemon);

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
  Dice viewDice_; //!< Of its own: plain seeds keep their draws.
  std::vector<std::unique_ptr<StoreStandIn>> stores_; //!< By view.
  std::vector<DaemonSlot> daemons_;
  std::vector<EndpointSlot> endpoints_;
  std::vector<std::string> eventFiles_;
  std::vector<std::pair<std::size_t, std::string>> logFiles_; //!< By daemon.
  std::uint64_t version_ = 0; //!< Of the configuration.
};

}

#endif
