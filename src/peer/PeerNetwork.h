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

//! Where a peer listens.
struct PeerAddress
{
  std::string node;
  std::string address; //!< IP number.
  std::uint16_t port = 0;
  //! Something goes out at least this often; a link that is silent for three
  //! times as long is replaced.
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
  //! The peer whose name is greater waits so long for the other to dial, so
  //! that a pair rarely opens two connections.
  Duration dialDelay = std::chrono::milliseconds(300);
};

//! Called outside of locks. All but `request` run on the I/O thread and must
//! not block.
struct PeerNetworkHooks
{
  using Reply = std::function<void(Message&&)>;

  Clock clock = &SteadyNow;
  //! A link is up; false refuses it. Digests follow.
  std::function<bool(const Hello&)> linked;
  std::function<void(std::string_view aNode)> lost;
  std::function<void(std::string_view aNode)> refused;
  std::function<void(const Incarnation&, const PeerDigest&)> digest;
  //! Runs on a thread for requests. The reply may be given later and by
  //! another thread, once.
  std::function<void(const Incarnation&, Message&&, Reply)> request;
  //! For tests: drops all traffic to and from the node.
  std::function<bool(std::string_view aNode)> isPartitioned;
};

//! Links to the other daemons: one TCP connection for each pair, whichever
//! side opened it.
//!
//! One thread does all reading and writing, two open connections, one accepts
//! them, and a few run requests. All of them block while they wait.
class PeerNetwork
{
public:
  using Callback = PeerLink::Callback;

  //! Listens; throws cxxtools::IOError if the address cannot be used.
  PeerNetwork(Hello aSelf,
              const std::string& aAddress,
              std::uint16_t aPort,
              PeerNetworkHooks aHooks,
              Counters& aCounters,
              PeerNetworkLimits aLimits = {});
  ~PeerNetwork();
  PeerNetwork(const PeerNetwork&) = delete;
  PeerNetwork& operator=(const PeerNetwork&) = delete;

  //! Whom to keep links to. Links to others stay until they break.
  void SetPeers(Span<const PeerAddress> aPeers);

  //! Sends a notice. The error says that it was not sent.
  Result<void> Send(std::string_view aNode, const Message& aMessage);

  //! Sends a notice to many and encodes it once; returns to how many it went.
  std::size_t SendAll(Span<const std::string> aNodes, const Message& aMessage);

  //! Sends a request. The callback is called once: by this call if nothing
  //! could be sent, otherwise on the I/O thread, where it must not block.
  void Call(std::string_view aNode,
            const Message& aRequest,
            Duration aTimeout,
            const Callback& aCallback);

  //! Sends a request and waits for its reply. Not for the I/O thread.
  Result<Message> CallAndWait(std::string_view aNode,
                              const Message& aRequest,
                              Duration aTimeout);

  //! Whether a link to the node is up.
  bool IsLinked(std::string_view aNode) const;

  //! Closes the link to the node; it is opened again.
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

  // Of the I/O thread.
  std::vector<Link> links_; //!< With and without a Hello.
  TimePoint nextTick_{};
  std::mt19937_64 random_; //!< Jitter; guarded by targetsMutex_.

  mutable std::mutex establishedMutex_;
  std::map<std::string, Link, std::less<>> established_;

  mutable std::mutex targetsMutex_;
  std::map<std::string, DialTarget, std::less<>> targets_;

  std::mutex pendingMutex_;
  std::vector<Link> newLinks_;
  std::vector<std::string> nodesToClose_; //!< Nodes whose link shall close.

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
