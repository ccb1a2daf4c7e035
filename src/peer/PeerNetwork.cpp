#include "peer/PeerNetwork.h"

#include "peer/ErrorReply.h"
#include "wire/Frame.h"

#include <algorithm>
#include <cerrno>
#include <exception>
#include <future>
#include <utility>

#include <cxxtools/net/tcpserver.h>
#include <cxxtools/net/tcpsocket.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace hemlockhaven {

namespace {

constexpr int kListenBacklog = 64;
constexpr int kDialThreadCount = 2;

//! A link that receives nothing for longer than this many keep-alive intervals
//! is replaced.
constexpr int kMaxSilentIntervals = 3;

//! Tick intervals with and without pending calls. Calls expire on ticks, so
//! they need a shorter one.
constexpr Duration kCallTickInterval = std::chrono::milliseconds(20);
constexpr Duration kIdleTickInterval = std::chrono::milliseconds(250);

Error NotLinked(std::string_view aNode)
{
  Error error = Error::NotRun(
    "peer", Reason::ConnectRefused, "no link to the peer is established");
  error.peer = aNode;
  return error;
}

}

//! Wakes the I/O thread from poll() through an eventfd.
class PeerNetwork::Waker
{
public:
  Waker()
    : descriptor_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
  {
  }
  ~Waker() { ::close(descriptor_); }
  Waker(const Waker&) = delete;
  Waker& operator=(const Waker&) = delete;

  int Descriptor() const { return descriptor_; }

  void Wake()
  {
    if (!isPending_.exchange(true)) {
      const std::uint64_t one = 1;
      [[maybe_unused]] const ssize_t count =
        ::write(descriptor_, &one, sizeof(one));
    }
  }

  void Clear()
  {
    std::uint64_t count = 0;
    [[maybe_unused]] const ssize_t readBytes =
      ::read(descriptor_, &count, sizeof(count));
    isPending_ = false;
  }

private:
  int descriptor_;
  std::atomic<bool> isPending_{ false };
};

PeerNetwork::PeerNetwork(Hello aSelf,
                         const std::string& aAddress,
                         std::uint16_t aPort,
                         PeerNetworkHooks aHooks,
                         Counters& aCounters,
                         PeerNetworkLimits aLimits)
  : self_(std::move(aSelf))
  , hooks_(std::move(aHooks))
  , counters_(aCounters)
  , limits_(aLimits)
  , waker_(std::make_shared<Waker>())
  , server_(std::make_unique<cxxtools::net::TcpServer>(aAddress,
                                                       aPort,
                                                       kListenBacklog))
  , random_(self_.self.number)
{
  threads_.emplace_back([this] { Accept(); });
  threads_.emplace_back([this] { RunIo(); });
  for (int index = 0; index < kDialThreadCount; ++index) {
    threads_.emplace_back([this] { DialPeers(); });
  }
  for (std::size_t index = 0; index < limits_.requestThreads; ++index) {
    threads_.emplace_back([this] { ServeRequests(); });
  }
}

PeerNetwork::~PeerNetwork()
{
  isStopping_ = true;
  server_->terminateAccept();
  {
    const std::lock_guard lock(dialsMutex_);
    dialsChanged_.notify_all();
  }
  {
    const std::lock_guard lock(requestsMutex_);
    requestsChanged_.notify_all();
  }
  waker_->Wake();
  for (std::thread& thread : threads_) {
    thread.join();
  }
  ApplyPendingChanges();
  for (const Link& link : links_) {
    FailCalls(link->Close());
  }
}

void PeerNetwork::SetPeers(Span<const PeerAddress> aPeers)
{
  const TimePoint now = hooks_.clock();
  {
    const std::lock_guard lock(targetsMutex_);
    std::map<std::string, DialTarget, std::less<>> targets;
    for (const PeerAddress& address : aPeers) {
      if (address.node == self_.self.node) {
        continue;
      }
      const auto old = targets_.find(address.node);
      DialTarget target;
      if (old != targets_.end()) {
        target = old->second;
      } else if (self_.self.node > address.node) {
        target.nextDial = now + limits_.dialDelay;
      }
      target.address = address;
      targets.emplace(address.node, std::move(target));
    }
    targets_ = std::move(targets);
  }
  waker_->Wake();
}

bool PeerNetwork::IsPartitioned(std::string_view aNode) const
{
  return hooks_.isPartitioned && hooks_.isPartitioned(aNode);
}

PeerNetwork::Link PeerNetwork::FindLink(std::string_view aNode) const
{
  const std::lock_guard lock(establishedMutex_);
  const auto link = established_.find(aNode);
  return link == established_.end() ? nullptr : link->second;
}

bool PeerNetwork::IsLinked(std::string_view aNode) const
{
  return FindLink(aNode) != nullptr;
}

void PeerNetwork::CloseLink(std::string_view aNode)
{
  {
    const std::lock_guard lock(pendingMutex_);
    nodesToClose_.emplace_back(aNode);
  }
  waker_->Wake();
}

Duration PeerNetwork::KeepAliveInterval(std::string_view aNode) const
{
  const std::lock_guard lock(targetsMutex_);
  const auto target = targets_.find(aNode);
  return target == targets_.end() ? PeerAddress{}.keepAliveInterval
                                  : target->second.address.keepAliveInterval;
}

Result<void> PeerNetwork::Send(std::string_view aNode, const Message& aMessage)
{
  const std::string node(aNode);
  if (SendAll({ &node, 1 }, aMessage) == 0) {
    return NotLinked(aNode);
  }
  return outcome::success();
}

std::size_t PeerNetwork::SendAll(Span<const std::string> aNodes,
                                 const Message& aMessage)
{
  auto encoded = Wire::Encode({ 0, aMessage }, hooks_.clock());
  if (!encoded) {
    counters_.Count(Event::PeerSendRefused, aNodes.size());
    return 0;
  }
  const auto bytes =
    std::make_shared<const std::string>(std::move(encoded).value());
  std::size_t sent = 0;
  for (const std::string& node : aNodes) {
    const Link link = FindLink(node);
    if (link && (IsPartitioned(node) || link->Enqueue(bytes))) {
      ++sent;
    }
  }
  counters_.Count(Event::PeerSendRefused, aNodes.size() - sent);
  if (sent != 0) {
    waker_->Wake();
  }
  return sent;
}

void PeerNetwork::Call(std::string_view aNode,
                       const Message& aRequest,
                       Duration aTimeout,
                       const Callback& aCallback)
{
  const TimePoint now = hooks_.clock();
  const std::uint64_t correlation = nextCorrelation_++;
  auto encoded = Wire::Encode({ correlation, aRequest }, now);
  const Link link = FindLink(aNode);
  Result<void> queued = outcome::success();
  if (!encoded) {
    queued = encoded.error();
  } else if (!link) {
    queued = NotLinked(aNode);
  } else if (IsPartitioned(aNode)) {
    queued = link->RegisterCall(correlation, aCallback, now + aTimeout);
  } else {
    queued = link->Enqueue(
      std::make_shared<const std::string>(std::move(encoded).value()),
      correlation,
      aCallback,
      now + aTimeout);
  }
  if (queued) {
    waker_->Wake();
    return;
  }
  counters_.Count(Event::PeerSendRefused);
  Error error = std::move(queued).error();
  error.peer = aNode;
  aCallback(std::move(error));
}

Result<Message> PeerNetwork::CallAndWait(std::string_view aNode,
                                         const Message& aRequest,
                                         Duration aTimeout)
{
  auto promise = std::make_shared<std::promise<Result<Message>>>();
  std::future<Result<Message>> reply = promise->get_future();
  Call(aNode, aRequest, aTimeout, [promise](Result<Message>&& aReply) {
    promise->set_value(std::move(aReply));
  });
  return reply.get();
}

void PeerNetwork::Accept()
{
  while (!isStopping_) {
    try {
      auto socket = std::make_unique<cxxtools::net::TcpSocket>();
      socket->accept(*server_);
      AddLink(std::move(socket), "");
    } catch (const cxxtools::net::AcceptTerminated&) {
      return;
    } catch (const std::exception&) {
      // For example, the process is out of file descriptors. The delay keeps
      // the thread from spinning while accept() fails.
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
  }
}

void PeerNetwork::DialPeers()
{
  while (true) {
    DialRequest dial;
    {
      std::unique_lock lock(dialsMutex_);
      dialsChanged_.wait(lock,
                         [this] { return isStopping_ || !dials_.empty(); });
      if (isStopping_) {
        return;
      }
      dial = std::move(dials_.front());
      dials_.pop_front();
    }
    try {
      auto socket = std::make_unique<cxxtools::net::TcpSocket>();
      socket->setTimeout(cxxtools::Milliseconds(
        std::chrono::duration_cast<std::chrono::milliseconds>(
          limits_.connectTimeout)
          .count()));
      socket->connect(dial.address, dial.port);
      AddLink(std::move(socket), dial.node);
    } catch (const std::exception& error) {
      ScheduleRedial(dial.node);
      // cxxtools reports errno only in the exception's text.
      const std::string refused = "errno " + std::to_string(ECONNREFUSED);
      if (hooks_.refused && std::string_view(error.what()).find(refused) !=
                              std::string_view::npos) {
        hooks_.refused(dial.node);
      }
    }
  }
}

void PeerNetwork::ScheduleRedial(const std::string& aNode)
{
  const std::lock_guard lock(targetsMutex_);
  const auto entry = targets_.find(aNode);
  if (entry == targets_.end()) {
    return;
  }
  DialTarget& target = entry->second;
  target.isDialing = false;
  target.retryDelay = std::clamp(
    target.retryDelay * 2, limits_.minRetryDelay, limits_.maxRetryDelay);
  // Jitter from half to one and a half times the delay, so that the peers of a
  // restarted daemon don't all dial at once.
  std::uniform_int_distribution<Duration::rep> jitter(
    target.retryDelay.count() / 2, target.retryDelay.count() * 3 / 2);
  target.nextDial = hooks_.clock() + Duration(jitter(random_));
}

void PeerNetwork::AddLink(std::unique_ptr<cxxtools::net::TcpSocket> aSocket,
                          std::string aDialedNode)
{
  const TimePoint now = hooks_.clock();
  auto link = std::make_shared<PeerLink>(std::move(aSocket),
                                         !aDialedNode.empty(),
                                         limits_.maxQueuedBytesPerPeer,
                                         now);
  link->dialedNode = std::move(aDialedNode);
  auto hello = Wire::Encode({ 0, self_ }, now);
  if (hello) {
    (void)link->Enqueue(
      std::make_shared<const std::string>(std::move(hello).value()));
  }
  {
    const std::lock_guard lock(pendingMutex_);
    newLinks_.push_back(std::move(link));
  }
  waker_->Wake();
}

void PeerNetwork::ApplyPendingChanges()
{
  std::vector<Link> newLinks;
  std::vector<std::string> nodesToClose;
  {
    const std::lock_guard lock(pendingMutex_);
    newLinks.swap(newLinks_);
    nodesToClose.swap(nodesToClose_);
  }
  links_.insert(links_.end(), newLinks.begin(), newLinks.end());
  for (const std::string& node : nodesToClose) {
    if (const Link link = FindLink(node)) {
      RemoveLink(link);
    }
  }
}

void PeerNetwork::RunIo()
{
  while (!isStopping_) {
    ApplyPendingChanges();
    PollOnce();
    const TimePoint now = hooks_.clock();
    if (now >= nextTick_) {
      Tick();
    }
  }
}

void PeerNetwork::PollOnce()
{
  std::vector<pollfd> polls;
  polls.reserve(links_.size() + 1);
  polls.push_back({ waker_->Descriptor(), POLLIN, 0 });
  const std::vector<Link> links = links_;
  for (const Link& link : links) {
    const bool hasOutput = link->HasOutput();
    polls.push_back({ link->Descriptor(),
                      static_cast<short>(POLLIN | (hasOutput ? POLLOUT : 0)),
                      0 });
  }
  const Duration remaining =
    std::clamp(nextTick_ - hooks_.clock(), Duration{ 0 }, kIdleTickInterval);
  // Rounded up, since a timeout of 0 ms shortly before a tick would spin.
  const auto milliseconds = static_cast<int>(remaining.count() / 1000 + 1);
  if (::poll(polls.data(), polls.size(), milliseconds) <= 0) {
    return;
  }
  if (polls[0].revents != 0) {
    waker_->Clear();
  }
  for (std::size_t index = 0; index < links.size(); ++index) {
    const short events = polls[index + 1].revents;
    const Link& link = links[index];
    if ((events & (POLLIN | POLLERR | POLLHUP | POLLNVAL)) != 0) {
      Read(link);
    }
    // Also sends frames queued since poll() returned, without polling again.
    std::uint64_t sent = 0;
    if (link->HasOutput()) {
      const bool isOpen = link->Flush(sent);
      sentBytes_ += sent;
      if (sent != 0) {
        link->lastSentAt = hooks_.clock();
      }
      if (!isOpen) {
        RemoveLink(link);
      }
    }
  }
}

void PeerNetwork::Tick()
{
  const TimePoint now = hooks_.clock();
  bool hasCalls = false;
  const std::vector<Link> links = links_;
  for (const Link& link : links) {
    FailCalls(link->TakeExpiredCalls(now));
    hasCalls = hasCalls || link->HasCalls();
    const Duration keepAliveInterval =
      link->peer ? KeepAliveInterval(link->peer->self.node)
                 : PeerAddress{}.keepAliveInterval;
    if (now - link->lastReceivedAt > keepAliveInterval * kMaxSilentIntervals) {
      counters_.Count(Event::ConnectionReplaced);
      RemoveLink(link);
    } else if (link->peer && now - link->lastSentAt >= keepAliveInterval) {
      (void)Send(link->peer->self.node, KeepAlive{});
    }
  }
  StartDials(now);
  nextTick_ = now + (hasCalls ? kCallTickInterval : kIdleTickInterval);
}

void PeerNetwork::StartDials(TimePoint aNow)
{
  std::vector<DialRequest> due;
  std::vector<std::string> linked;
  {
    const std::lock_guard lock(establishedMutex_);
    for (const auto& [node, link] : established_) {
      linked.push_back(node);
    }
  }
  {
    const std::lock_guard lock(targetsMutex_);
    for (auto& [node, target] : targets_) {
      if (target.isDialing || aNow < target.nextDial ||
          std::binary_search(linked.begin(), linked.end(), node)) {
        continue;
      }
      target.isDialing = true;
      due.push_back({ node, target.address.address, target.address.port });
    }
  }
  for (DialRequest& dial : due) {
    if (IsPartitioned(dial.node)) {
      ScheduleRedial(dial.node);
      continue;
    }
    const std::lock_guard lock(dialsMutex_);
    dials_.push_back(std::move(dial));
    dialsChanged_.notify_one();
  }
}

void PeerNetwork::Read(const Link& aLink)
{
  std::uint64_t received = 0;
  const bool isOpen = aLink->Receive(received);
  receivedBytes_ += received;
  while (true) {
    const auto frame = aLink->NextFrame();
    if (!frame) {
      counters_.Count(Event::FrameRejected);
      RemoveLink(aLink);
      return;
    }
    if (!frame.value()) {
      break;
    }
    if (!HandleFrame(aLink, *frame.value())) {
      RemoveLink(aLink);
      return;
    }
  }
  if (!isOpen) {
    RemoveLink(aLink);
  }
}

bool PeerNetwork::HandleFrame(const Link& aLink, std::string_view aBytes)
{
  const TimePoint now = hooks_.clock();
  auto decoded = Wire::Decode(aBytes, now);
  if (!decoded) {
    counters_.Count(Event::FrameRejected);
    return false;
  }
  Wire::Frame frame = std::move(decoded).value();
  if (!aLink->peer) {
    const Hello* hello = std::get_if<Hello>(&frame.message);
    if (hello == nullptr) {
      counters_.Count(Event::FrameRejected);
      return false;
    }
    return IsPartitioned(hello->self.node) || HandleHello(aLink, *hello);
  }
  const Incarnation& from = aLink->peer->self;
  if (IsPartitioned(from.node)) {
    return true;
  }
  aLink->lastReceivedAt = now;
  switch (RoleOf(frame.message)) {
    case MessageRole::Notice:
      if (const auto* digest = std::get_if<PeerDigest>(&frame.message);
          digest != nullptr && hooks_.digest) {
        hooks_.digest(from, *digest);
      }
      break;
    case MessageRole::Reply:
      if (const Callback callback = aLink->TakeCall(frame.correlation)) {
        callback(std::move(frame.message));
      } else {
        counters_.Count(Event::PeerReplyLate);
      }
      break;
    case MessageRole::Request: {
      Request request{
        from, std::move(frame.message), aLink, frame.correlation
      };
      {
        const std::lock_guard lock(requestsMutex_);
        if (requests_.size() < limits_.maxQueuedRequests) {
          requests_.push_back(std::move(request));
          requestsChanged_.notify_one();
          break;
        }
      }
      counters_.Refused(Reason::QueueFull);
      const auto refusal = MakeErrorReply(
        request.message.index(),
        Error::NotRun(
          "peer", Reason::QueueFull, "too many queued requests from peers"));
      const auto bytes =
        refusal ? Wire::Encode({ request.correlation, *refusal }, now)
                : Result<std::string>(Error{});
      if (bytes) {
        (void)aLink->Enqueue(
          std::make_shared<const std::string>(bytes.value()));
      }
      break;
    }
  }
  return true;
}

bool PeerNetwork::HandleHello(const Link& aLink, const Hello& aHello)
{
  const std::string& node = aHello.self.node;
  const bool isExpected =
    aLink->dialedNode.empty() || aLink->dialedNode == node;
  if (!isExpected || node == self_.self.node) {
    return false;
  }
  const auto isDialedByLowerNode = [&](const Link& aOther) {
    return aOther->IsDialed() == (self_.self.node < node);
  };
  // Of two links between a pair, both sides keep the one dialed by the node
  // with the lesser name. Of two links dialed by the same side, the newer one
  // is kept, since a node dials again only after it gave up its first link.
  const Link old = FindLink(node);
  if (old && old->peer->self == aHello.self && isDialedByLowerNode(old) &&
      !isDialedByLowerNode(aLink)) {
    return false;
  }
  if (hooks_.linked && !hooks_.linked(aHello)) {
    return false;
  }
  aLink->peer = aHello;
  aLink->lastReceivedAt = hooks_.clock();
  {
    const std::lock_guard lock(establishedMutex_);
    established_[node] = aLink;
  }
  counters_.Count(Event::PeerConnected);
  if (old) {
    RemoveLink(old);
  }
  const std::lock_guard lock(targetsMutex_);
  const auto target = targets_.find(node);
  if (target != targets_.end()) {
    target->second.isDialing = false;
    target->second.retryDelay = Duration{ 0 };
  }
  return true;
}

void PeerNetwork::RemoveLink(const Link& aLink)
{
  const auto position = std::find(links_.begin(), links_.end(), aLink);
  if (position == links_.end()) {
    return;
  }
  // The argument may refer to the element that is erased.
  const Link link = std::move(*position);
  links_.erase(position);
  bool isLost = false;
  if (link->peer) {
    const std::lock_guard lock(establishedMutex_);
    const auto entry = established_.find(link->peer->self.node);
    if (entry != established_.end() && entry->second == link) {
      established_.erase(entry);
      isLost = true;
    }
  }
  FailCalls(link->Close());
  if (isLost) {
    counters_.Count(Event::PeerLost);
    if (hooks_.lost) {
      hooks_.lost(link->peer->self.node);
    }
    ScheduleRedial(link->peer->self.node);
  } else if (link->IsDialed() && !link->peer) {
    ScheduleRedial(link->dialedNode);
  }
}

void PeerNetwork::FailCalls(std::vector<PeerLink::FailedCall>&& aCalls)
{
  for (PeerLink::FailedCall& call : aCalls) {
    call.callback(std::move(call.error));
  }
}

void PeerNetwork::ServeRequests()
{
  while (true) {
    Request request;
    {
      std::unique_lock lock(requestsMutex_);
      requestsChanged_.wait(
        lock, [this] { return isStopping_ || !requests_.empty(); });
      if (isStopping_) {
        return;
      }
      request = std::move(requests_.front());
      requests_.pop_front();
    }
    if (!hooks_.request) {
      continue;
    }
    // The reply function may outlive this network, so it captures no pointer
    // to it, only a weak link and shared or copied state.
    PeerNetworkHooks::Reply reply = [link = request.link,
                                     waker = waker_,
                                     clock = hooks_.clock,
                                     isPartitioned = hooks_.isPartitioned,
                                     node = request.from.node,
                                     type = request.message.index(),
                                     correlation =
                                       request.correlation](Message&& aReply) {
      const Link open = link.lock();
      if (!open || (isPartitioned && isPartitioned(node))) {
        return;
      }
      auto bytes = Wire::Encode({ correlation, aReply }, clock());
      if (!bytes) {
        // The reply exceeds the frame limit. The request may have run.
        Error error = bytes.error();
        error.ran = Ran::Unknown;
        const auto errorReply = MakeErrorReply(type, error);
        if (!errorReply) {
          return;
        }
        bytes = Wire::Encode({ correlation, *errorReply }, clock());
      }
      if (bytes && open->Enqueue(std::make_shared<const std::string>(
                     std::move(bytes).value()))) {
        waker->Wake();
      }
    };
    hooks_.request(request.from, std::move(request.message), std::move(reply));
  }
}

}
