#ifndef HEMLOCKHAVEN_SRC_DAEMON_DAEMON_H
#define HEMLOCKHAVEN_SRC_DAEMON_DAEMON_H

#include "daemon/PeerConnection.h"
#include "daemon/PeriodicTask.h"
#include "daemon/PlatformConnection.h"
#include "hemlockhaven/metrics/Summaries.h"
#include "hemlockhaven/node/Node.h"
#include "http/CallerApi.h"
#include "http/EndpointClient.h"
#include "http/HttpServer.h"
#include "http/OperatorApi.h"
#include "net/ConnectionMemory.h"
#include "net/ConnectionPlan.h"
#include "net/RequestError.h"
#include "settings/DaemonSettings.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string_view>

namespace hemlockhaven {

//! One daemon with its sockets. Start and Shutdown are called once each, by
//! one thread.
class Daemon
{
public:
  explicit Daemon(DaemonSettings aSettings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  //! Opens the servers; throws std::exception if an address is taken.
  void Start();

  //! Withdraws readiness, waits for leaveDelay, refuses new submissions as not
  //! run, waits for started work and for callers that read their answers, and
  //! closes the servers. Blocks.
  void Shutdown();

private:
  void StartPlatform();
  HttpServer::Options ServerOptions(const SocketAddress& aAddress);
  NodeHooks MakeNodeHooks();
  OperatorHooks MakeOperatorHooks();
  Result<void> Readiness() const;
  NodeStatus Status() const;
  void UpdateLinks();
  void WaitUntilIdle() const;

  // Operators' hooks.
  Result<WhereAnswer> Where(const WhereQuery& aQuery);
  Result<ConfigurationView> ViewConfiguration() const;
  Result<std::uint64_t> Publish(std::uint64_t aBase,
                                const Configuration& aDocument);
  Result<std::size_t> Drain(const DrainOrder& aOrder);

  DaemonSettings settings_;
  Summaries summaries_;
  const ConnectionPlan plan_;
  RequestErrorCounts rejected_;
  std::shared_ptr<ConnectionMemory> connectionMemory_;
  std::unique_ptr<EndpointClient> endpointClient_;
  std::unique_ptr<Node> node_;
  std::unique_ptr<CallerApi> callerApi_;
  std::unique_ptr<OperatorApi> operatorApi_;
  std::unique_ptr<HttpServer> callerServer_;
  std::unique_ptr<HttpServer> operatorServer_;
  std::atomic<bool> isReady_{ false };
  std::atomic<bool> areLinksUp_{ false }; //!< Or waited for long enough.
  TimePoint startedAt_{};
  std::atomic<bool> isClosing_{ false };
  std::unique_ptr<PeerConnection> peers_;
  std::unique_ptr<PlatformConnection> platform_;
  std::unique_ptr<PeriodicTask> ticks_;
};

}

#endif
