#ifndef HEMLOCKHAVEN_PEER_PEERNETWORK_H
#define HEMLOCKHAVEN_PEER_PEERNETWORK_H

#include "hemlockhaven/core/Result.h"
#include "hemlockhaven/core/Span.h"
#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/membership/Messages.h"
#include "hemlockhaven/metrics/Counters.h"

#include "peer/PeerLink.h"

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace cxxtools::net {
class TcpServer;
class TcpSocket;
}

namespace hemlockhaven {

//! Address on which a peer accepts connections.
struct PeerAddress
{
  std::string node;
  std::string address; //!< IP address.
  std::uint16_t port = 0;
  //! A keep-alive is sent when nothing else was for this long. A link that
  //! receives nothing for more than three intervals is closed and dialed again.
  Duration keepAliveInterval = std::chrono::milliseconds(500);
};

struct PeerNetworkLimits
{
  std::size_t maxQueuedBytesPerPeer = 32U << 20U;
  std::size_t maxQueuedRequests = 10000;
  std::size_t requestThreads = 4;
  Duration connectTimeout = std::chrono::seconds(1);
  Duration minRetryDelay = std::chrono::milliseconds(100);
  Duration maxRetryDelay = std::chrono::seconds(5);
  //! The node with the greater name waits this long for the other one to dial,
  //! so that a pair rarely opens two connections.
  Duration dialDelay = std::chrono::milliseconds(300);
};

//! `request` runs on a request thread, `refused` on a dial thread, `clock` and
//! `isPartitioned` on any thread, the others on the I/O thread. Only `request`
//! may block. No hook except `clock` is called with a lock held.
struct PeerNetworkHooks
{
  using Reply = std::function<void(Message&&)>;

  Clock clock = &SteadyNow;
  //! Called when a peer's Hello arrives, before its digests; false closes the
  //! link.
  std::function<bool(const Hello&)> linked;
  std::function<void(std::string_view aNode)> lost;
  std::function<void(std::string_view aNode)> refused;
  std::function<void(const Incarnation&, const PeerDigest&)> digest;
  //! Runs on a request thread. The reply function may be called later and from
  //! any thread, but only once.
  std::function<void(const Incarnation&, Message&&, Reply)> request;
  //! For tests: whether to drop all traffic to and from the node.
  std::function<bool(std::string_view aNode)> isPartitioned;
};

//! Connections to the other daemons: one TCP connection per pair of daemons,
//! opened by either side.
//!
//! One thread does all I/O, two dial, one accepts, and
//! PeerNetworkLimits::requestThreads run requests. All of them block while they
//! wait.
class PeerNetwork
{
public:
  using Callback = PeerLink::Callback;

  //! Starts listening; throws cxxtools::IOError if the address cannot be bound.
  PeerNetwork(Hello aSelf,
              const std::string& aAddress,
              std::uint16_t aPort,
              PeerNetworkHooks aHooks,
              Counters& aCounters,
              PeerNetworkLimits aLimits = {});
  ~PeerNetwork();
  PeerNetwork(const PeerNetwork&) = delete;
  PeerNetwork& operator=(const PeerNetwork&) = delete;

  //! Sets the peers to keep linked. Existing links to other nodes stay until
  //! they break, and are then not dialed again.
  void SetPeers(Span<const PeerAddress> aPeers);

  //! Sends a one-way message. An error means that it was not sent.
  Result<void> Send(std::string_view aNode, const Message& aMessage);

  //! Sends a one-way message to several nodes, encoding it once; returns the
  //! number of nodes that it was sent to.
  std::size_t SendAll(Span<const std::string> aNodes, const Message& aMessage);

  //! Sends a request. The callback is called once: before this returns if the
  //! request cannot be queued, otherwise on the I/O thread, where it must not
  //! block.
  void Call(std::string_view aNode,
            const Message& aRequest,
            Duration aTimeout,
            const Callback& aCallback);

  //! Sends a request and blocks until its reply. Must not be called on the I/O
  //! thread.
  Result<Message> CallAndWait(std::string_view aNode,
                              const Message& aRequest,
                              Duration aTimeout);

  //! Whether a link to the node is established.
  bool IsLinked(std::string_view aNode) const;

  //! Closes the link to the node. It is dialed again if the node is a peer.
  void CloseLink(std::string_view aNode);

  std::uint64_t SentBytes() const { return sentBytes_; }
  std::uint64_t ReceivedBytes() const { return receivedBytes_; }

private:
  struct DialTarget
  {
    PeerAddress address;
    TimePoint nextDial{};
    Duration retryDelay{ 0 };
    bool isDialing = false;
  };
  struct DialRequest
  {
    std::string node;
    std::string address;
    std::uint16_t port = 0;
  };
  struct Request
  {
    Incarnation from;
    Message message;
    std::weak_ptr<PeerLink> link;
    std::uint64_t correlation = 0;
  };
  class Waker;
  using Link = std::shared_ptr<PeerLink>;

  void Accept();
  void DialPeers();
  void ServeRequests();
  void RunIo();

  void AddLink(std::unique_ptr<cxxtools::net::TcpSocket> aSocket,
               std::string aDialedNode);
  void ApplyPendingChanges();
  void PollOnce();
  void Tick();
  void StartDials(TimePoint aNow);
  void Read(const Link& aLink);
  bool HandleFrame(const Link& aLink, std::string_view aBytes);
  bool HandleHello(const Link& aLink, const Hello& aHello);
  void RemoveLink(const Link& aLink);
  void ScheduleRedial(const std::string& aNode);
  void FailCalls(std::vector<PeerLink::FailedCall>&& aCalls);
  bool IsPartitioned(std::string_view aNode) const;
  Link FindLink(std::string_view aNode) const;
  Duration KeepAliveInterval(std::string_view aNode) const;

  Hello self_;
  PeerNetworkHooks hooks_;
  Counters& counters_;
  PeerNetworkLimits limits_;
  std::shared_ptr<Waker> waker_;
  std::unique_ptr<cxxtools::net::TcpServer> server_;
  std::atomic<bool> isStopping_{ false };
  std::atomic<std::uint64_t> nextCorrelation_{ 1 };
  std::atomic<std::uint64_t> sentBytes_{ 0 };
  std::atomic<std::uint64_t> receivedBytes_{ 0 };

  // Accessed by the I/O thread only.
  std::vector<Link> links_; //!< Before and after the Hello.
  TimePoint nextTick_{};
  std::mt19937_64 random_; //!< Jitter; guarded by targetsMutex_.

  mutable std::mutex establishedMutex_;
  std::map<std::string, Link, std::less<>> established_;

  mutable std::mutex targetsMutex_;
  std::map<std::string, DialTarget, std::less<>> targets_;

  std::mutex pendingMutex_;
  std::vector<Link> newLinks_;
  std::vector<std::string> nodesToClose_; //!< Nodes whose links to close.

  std::mutex dialsMutex_;
  std::condition_variable dialsChanged_;
  std::deque<DialRequest> dials_;

  std::mutex requestsMutex_;
  std::condition_variable requestsChanged_;
  std::deque<Request> requests_;

  std::vector<std::thread> threads_;
};

}

#endif
