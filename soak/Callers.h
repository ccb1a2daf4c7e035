#ifndef HEMLOCKHAVEN_SOAK_CALLERS_H
#define HEMLOCKHAVEN_SOAK_CALLERS_H

#include "hemlockhaven/fleet/Dice.h"
#include "net/HttpClient.h"
#include "soak/Fleet.h"
#include "soak/Ledger.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <set>

namespace hemlockhaven::Soak {

//! Callers that send one job after the other over kept connections, also to
//! daemons that are stopping, until these are gone.
class Callers
{
public:
  Callers(boost::asio::io_context& aContext,
          Fleet& aFleet,
          Ledger& aLedger,
          std::uint64_t aSeed);

  void Start(std::size_t aCount);
  //! Sends no more; running requests go on.
  void Stop() { stopped_ = true; }
  std::size_t Waiting() const { return waiting_; }

  //! Daemons that completed a job since the call.
  void BeginRound() { served_.clear(); }
  std::size_t Served() const { return served_.size(); }

private:
  void Send(std::size_t aCaller);
  void Pause(std::size_t aCaller);

  boost::asio::io_context& context_;
  Fleet& fleet_;
  Ledger& ledger_;
  Dice dice_;
  HttpClient http_;
  bool stopped_ = false;
  std::size_t waiting_ = 0;
  std::set<std::size_t> served_;
};

}

#endif
