#ifndef HEMLOCKHAVEN_SOAK_FAULTPROXY_H
#define HEMLOCKHAVEN_SOAK_FAULTPROXY_H

#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/fleet/Dice.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockhaven::Soak {

//! What a proxy does to the bytes of its connections.
struct ProxyFault
{
  bool holdsRequests = false; //!< Bytes towards the server wait for the end.
  bool holdsAnswers = false;  //!< Bytes towards the client do.
  Duration delay{ 0 };        //!< Of each piece, in both directions.
  double share = 1;           //!< Of the connections that this happens to.
};

//! What a cut belongs to; cuts of both kinds may go on at once.
enum class CutScope : std::size_t
{
  Zone,
  Server,
};

//! Whether a cut separates the client from the server. The name is empty until
//! the client has told it, and for good if the proxy has no ClientNamer.
using CutHook = std::function<bool(std::string_view aClient)>;

//! Finds the client's name in bytes that it sent; empty if they do not tell it.
using ClientNamer = std::function<std::string(std::string_view aBytes)>;

//! A TCP proxy on loopback that delays, holds, cuts and resets.
class FaultProxy
{
public:
  using Address = boost::asio::ip::tcp::endpoint;

  //! Throws std::exception if the address is taken.
  FaultProxy(boost::asio::io_context& aContext,
             const Address& aListen,
             const Address& aServer,
             std::uint64_t aSeed,
             ClientNamer aNamer = nullptr);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  void Set(const ProxyFault& aFault);
  //! Ends a fault that was set, but no cut.
  void Heal() { Set(ProxyFault()); }
  //! Holds the bytes of the clients that the hook names, in both directions, as
  //! lost packets do that are sent again after the cut.
  void Cut(CutScope aScope, CutHook aIsCut);
  void Mend(CutScope aScope) { Cut(aScope, nullptr); }
  //! Resets all connections, or those of the clients that the hook names.
  void Reset(const CutHook& aIsCut = nullptr);
  //! Resets the clients' sides only. The server's sides stay open and silent,
  //! as behind a device that has forgotten the connections.
  void ResetClients();
  //! Takes in and drops all further bytes towards the server on the connections
  //! that are open; new ones work.
  void Silence();

  class Connection;

private:
  void Accept();
  bool IsCut(std::string_view aClient) const;
  //! Applies fault and cuts to the connections that are alive.
  void Apply();

  boost::asio::ip::tcp::acceptor acceptor_;
  Address server_;
  Dice dice_;
  ProxyFault fault_;
  ClientNamer namer_;
  std::array<CutHook, 2> cuts_; //!< By scope.
  std::vector<std::weak_ptr<Connection>> connections_;
};

}

#endif
