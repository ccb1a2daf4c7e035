#include "peer/PeerNetwork.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace hemlockhaven;

namespace {

//! Tests wait for conditions; this timeout only stops a test that hangs.
constexpr Duration kTimeout = std::chrono::seconds(30);

bool WaitUntil(const std::function<bool()>& aCondition)
{
  const TimePoint end = SteadyNow() + kTimeout;
  while (!aCondition()) {
    if (SteadyNow() > end) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return true;
}

//! A bare socket bound to a loopback port that the kernel chose.
class RawListener
{
public:
  RawListener()
    : socket_(::socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    const int bound =
      ::bind(socket_, reinterpret_cast<sockaddr*>(&address), length);
    CHECK_EQUAL(0, bound);
    ::getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &length);
    port_ = ntohs(address.sin_port);
  }
  ~RawListener() { ::close(socket_); }
  RawListener(const RawListener&) = delete;
  RawListener& operator=(const RawListener&) = delete;

  void Listen() const { ::listen(socket_, 8); }
  std::uint16_t Port() const { return port_; }

private:
  int socket_;
  std::uint16_t port_ = 0;
};

std::uint16_t FreePort()
{
  return RawListener().Port();
}

//! A daemon's peer network and a record of its hook calls.
struct Daemon
{
  std::string node;
  std::uint16_t port = FreePort();
  Counters counters;
  std::atomic<bool> isPartitioned{ false };
  std::atomic<int> linked{ 0 };
  std::atomic<int> lost{ 0 };
  std::atomic<int> refused{ 0 };
  std::atomic<int> digests{ 0 };
  std::mutex mutex;
  std::vector<PeerNetworkHooks::Reply> heldReplies; //!< For Fetch.
  std::unique_ptr<PeerNetwork> network;

  explicit Daemon(std::string aNode,
                  std::uint64_t aNumber = 1,
                  PeerNetworkLimits aLimits = {})
    : node(std::move(aNode))
  {
    Start(aNumber, aLimits);
  }
  ~Daemon() { network.reset(); }

  void Start(std::uint64_t aNumber, PeerNetworkLimits aLimits = {})
  {
    PeerNetworkHooks hooks;
    hooks.linked = [this](const Hello&) {
      ++linked;
      return true;
    };
    hooks.lost = [this](std::string_view) { ++lost; };
    hooks.refused = [this](std::string_view) { ++refused; };
    hooks.digest = [this](const Incarnation&, const PeerDigest&) { ++digests; };
    hooks.isPartitioned = [this](std::string_view) {
      return isPartitioned.load();
    };
    hooks.request = [this](const Incarnation&,
                           Message&& aRequest,
                           PeerNetworkHooks::Reply aReply) {
      if (const auto* pull = std::get_if<ConfigurationPull>(&aRequest)) {
        aReply(ConfigurationOffer{ pull->version, 0, "document" });
        return;
      }
      const std::lock_guard lock(mutex);
      heldReplies.push_back(std::move(aReply));
    };
    network = std::make_unique<PeerNetwork>(Hello{ { node, aNumber }, "a", 4 },
                                            "127.0.0.1",
                                            port,
                                            hooks,
                                            counters,
                                            aLimits);
  }

  void SetPeer(const Daemon& aPeer) const
  {
    const PeerAddress address{
      aPeer.node, "127.0.0.1", aPeer.port, std::chrono::milliseconds(100)
    };
    network->SetPeers({ &address, 1 });
  }

  std::size_t HeldReplyCount()
  {
    const std::lock_guard lock(mutex);
    return heldReplies.size();
  }
};

bool LinkDaemons(const Daemon& aLeft, const Daemon& aRight)
{
  aLeft.SetPeer(aRight);
  aRight.SetPeer(aLeft);
  return WaitUntil([&] {
    return aLeft.network->IsLinked(aRight.node) &&
           aRight.network->IsLinked(aLeft.node);
  });
}

//! A call whose completion the test waits for.
struct PendingCall
{
  std::mutex mutex;
  std::optional<Result<Message>> reply;

  void Start(const Daemon& aFrom,
             const std::string& aTo,
             const Message& aRequest,
             Duration aTimeout = kTimeout)
  {
    aFrom.network->Call(
      aTo, aRequest, aTimeout, [this](Result<Message>&& aReply) {
        const std::lock_guard lock(mutex);
        reply.emplace(std::move(aReply));
      });
  }
  bool IsFinished()
  {
    const std::lock_guard lock(mutex);
    return reply.has_value();
  }
};

//! The error expected of a call that gets no reply.
struct FailedCallCase
{
  const char* guardsAgainst;
  enum
  {
    NoLink,
    LinkIsClosed,
    PeerStops,
    Partition
  } fault;
  Reason reason;
  Ran ran;
};

constexpr FailedCallCase kFailedCallCases[] = {
  { "reporting an unknown outcome for an unsent request",
    FailedCallCase::NoLink,
    Reason::ConnectRefused,
    Ran::NotRun },
  { "reporting \"not run\" for a sent request when the link closes",
    FailedCallCase::LinkIsClosed,
    Reason::PeerLost,
    Ran::Unknown },
  { "reporting \"not run\" for a sent request when the peer stops",
    FailedCallCase::PeerStops,
    Reason::PeerLost,
    Ran::Unknown },
  { "reporting \"not run\" for a sent request during a partition",
    FailedCallCase::Partition,
    Reason::PeerLost,
    Ran::Unknown },
};

}

TEST_GROUP(PeerNetwork){ void setup() override{
  // cxxtools sets a global locale, which caches memory allocated for the first
  // formatted number. CppUTest would report it as a leak of the first test.
  MemoryLeakWarningPlugin::saveAndDisableNewDeleteOverloads();
std::ostringstream() << 1;
MemoryLeakWarningPlugin::restoreNewDeleteOverloads();
}
}
;

TEST(PeerNetwork, ReportsWhetherFailedCallsRan)
{
  for (const FailedCallCase& row : kFailedCallCases) {
    Daemon left("a1");
    Daemon right("a2");
    PendingCall call;
    if (row.fault != FailedCallCase::NoLink) {
      CHECK_TEXT(LinkDaemons(left, right), row.guardsAgainst);
    }
    call.Start(left, "a2", Fetch{ { { "a2", 1 }, 1 }, kTimeout });
    if (row.fault != FailedCallCase::NoLink) {
      CHECK_TEXT(WaitUntil([&] { return right.HeldReplyCount() == 1; }),
                 row.guardsAgainst);
    }
    if (row.fault == FailedCallCase::LinkIsClosed) {
      left.network->CloseLink("a2");
    } else if (row.fault == FailedCallCase::PeerStops) {
      right.network.reset();
    } else if (row.fault == FailedCallCase::Partition) {
      left.isPartitioned = true;
    }
    CHECK_TEXT(WaitUntil([&] { return call.IsFinished(); }), row.guardsAgainst);
    CHECK_TEXT(!call.reply->has_value(), row.guardsAgainst);
    const Error& error = call.reply->error();
    CHECK_TEXT(error.reason == row.reason, row.guardsAgainst);
    CHECK_TEXT(error.ran == row.ran, row.guardsAgainst);
  }
}

// Guards against a reply delivered to another call, and against a slow request
// that delays the others.
TEST(PeerNetwork, MatchesRepliesToCalls)
{
  Daemon left("a1");
  Daemon right("a2");
  CHECK(LinkDaemons(left, right));
  PendingCall slow;
  slow.Start(left, "a2", Fetch{ { { "a2", 1 }, 1 }, kTimeout });
  for (std::uint64_t version = 1; version <= 200; ++version) {
    const Daemon& from = version % 2 == 0 ? left : right;
    const auto reply = from.network->CallAndWait(
      version % 2 == 0 ? "a2" : "a1", ConfigurationPull{ version }, kTimeout);
    CHECK(reply.has_value());
    LONGS_EQUAL(version, std::get<ConfigurationOffer>(reply.value()).version);
  }
  CHECK_FALSE(slow.IsFinished());
  CHECK(WaitUntil([&] { return right.HeldReplyCount() == 1; }));
  right.heldReplies[0](FetchReply{
    std::nullopt, Error::NotRun("home", Reason::NotFound, "no such job") });
  CHECK(WaitUntil([&] { return slow.IsFinished(); }));
  const auto& reply = std::get<FetchReply>(slow.reply->value());
  CHECK(reply.error->reason == Reason::NotFound);
}

// Guards against a reply that arrives after its call expired being delivered
// to another call.
TEST(PeerNetwork, DropsLateReplies)
{
  Daemon left("a1");
  Daemon right("a2");
  CHECK(LinkDaemons(left, right));
  const auto reply =
    left.network->CallAndWait("a2",
                              Fetch{ { { "a2", 1 }, 1 }, kTimeout },
                              std::chrono::milliseconds(300));
  CHECK(!reply.has_value());
  CHECK(WaitUntil([&] { return right.HeldReplyCount() == 1; }));
  right.heldReplies[0](FetchReply{
    std::nullopt, Error::NotRun("home", Reason::NotFound, "no such job") });
  CHECK(WaitUntil(
    [&] { return left.counters.EventCount(Event::PeerReplyLate) == 1; }));
}

// Guards against a peer that stays unlinked after its restart or a partition,
// and against a reply for the earlier process that reaches the new one.
TEST(PeerNetwork, ReconnectsAfterRestartsAndPartitions)
{
  Daemon left("a1");
  Daemon right("a2");
  CHECK(LinkDaemons(left, right));
  const auto isLinked = [&] {
    return left.network->IsLinked("a2") && right.network->IsLinked("a1");
  };
  CHECK(left.network->Send("a2", PeerDigest{}).has_value());
  CHECK(WaitUntil([&] { return right.digests == 1; }));

  right.network.reset();
  CHECK(WaitUntil([&] { return left.lost == 1 && left.refused > 0; }));
  CHECK(!left.network->Send("a2", PeerDigest{}).has_value());
  right.Start(2);
  right.SetPeer(left);
  CHECK(WaitUntil(isLinked));

  left.isPartitioned = true;
  CHECK(WaitUntil([&] { return !isLinked(); }));
  left.isPartitioned = false;
  CHECK(WaitUntil(isLinked));
  CHECK(left.network->CallAndWait("a2", ConfigurationPull{ 1 }, kTimeout)
          .has_value());
}

// Guards against a write queue that grows without bound for a peer that does
// not read, and against a silent link that is never replaced.
TEST(PeerNetwork, BoundsWriteQueueAndReplacesSilentLinks)
{
  RawListener silentPeer;
  silentPeer.Listen();
  PeerNetworkLimits limits;
  limits.maxQueuedBytesPerPeer = 64;
  Daemon left("a1", 1, limits);
  Daemon right("a2");
  CHECK(LinkDaemons(left, right));
  ConfigurationOffer offer;
  offer.document.assign(1000, 'x');
  CHECK(!left.network->Send("a2", offer).has_value());
  CHECK(left.counters.EventCount(Event::PeerSendRefused) == 1);

  const PeerAddress address{ "a3", "127.0.0.1", silentPeer.Port() };
  left.network->SetPeers({ &address, 1 });
  CHECK(WaitUntil(
    [&] { return left.counters.EventCount(Event::ConnectionReplaced) >= 2; }));
  CHECK_FALSE(left.network->IsLinked("a3"));
}
