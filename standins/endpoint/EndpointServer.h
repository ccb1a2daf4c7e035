#ifndef HEMLOCKHAVEN_STANDINS_ENDPOINT_ENDPOINTSERVER_H
#define HEMLOCKHAVEN_STANDINS_ENDPOINT_ENDPOINTSERVER_H

#include "standins/endpoint/EndpointBehaviour.h"
#include "standins/endpoint/EndpointFault.h"
#include "standins/endpoint/StartCounts.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>

namespace hemlockhaven {

//! What one run will do, decided when it takes its slot.
struct PlannedRun
{
  bool taken = false; //!< Whether a slot was free.
  bool fails = false;
  double slowness = 1.0;
};

//! Serves POST /run, GET /health, GET /starts and POST /control.
//!
//! Sockets are used on the context's thread only; the behaviour may be changed
//! on any thread.
class EndpointServer
{
public:
  //! Answers POST /control; the text is the reply's body, empty for a
  //! malformed command.
  using Control = std::function<std::string(std::string_view aBody)>;

  //! Port 0 takes any free port.
  EndpointServer(boost::asio::io_context& aContext,
                 const std::string& aAddress,
                 std::uint16_t aPort,
                 const EndpointBehaviour& aBehaviour,
                 StartCounts& aStarts);

  std::uint16_t Port() const { return port_; }
  StartCounts& Starts() { return starts_; }
  std::chrono::milliseconds LateBy() const;

  //! Connections accepted since the start.
  std::uint64_t AcceptedCount() const { return accepted_; }

  //! The next aCount runs have this fault, after those armed before.
  void Arm(EndpointFault aFault, std::uint32_t aCount);

  void SetSlowness(double aSlowness);
  void SetFailsAll(bool aFailsAll);
  void SetControl(Control aControl) { control_ = std::move(aControl); }
  const Control& OnControl() const { return control_; }

  //! The fault of the next run, which takes it off the list.
  EndpointFault TakeFault();

  PlannedRun TakeSlot();
  void ReleaseSlot();

private:
  void Accept();

  StartCounts& starts_;
  boost::asio::ip::tcp::acceptor acceptor_;
  const std::uint16_t port_;
  Control control_;
  std::atomic<std::uint64_t> accepted_{ 0 };
  const std::chrono::steady_clock::time_point startedAt_ =
    std::chrono::steady_clock::now();

  mutable std::mutex mutex_; //!< Guards what follows.
  EndpointBehaviour behaviour_;
  std::deque<EndpointFault> faults_;
  std::uint32_t running_ = 0;
  std::uint64_t started_ = 0;
};

}

#endif
