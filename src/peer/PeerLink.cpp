#include "peer/PeerLink.h"

#include "wire/Frame.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <exception>
#include <utility>

#include <cxxtools/net/tcpsocket.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace hemlockhaven {

namespace {

//! Limit of bytes read per poll, so that one busy link does not starve the
//! others.
constexpr std::size_t kMaxReadBytes = 1U << 20U;

Error NotSent(Reason aReason, std::string_view aDetail)
{
  return Error::NotRun("peer", aReason, aDetail);
}

bool IsTemporary(int aError)
{
  return aError == EAGAIN || aError == EWOULDBLOCK || aError == EINTR;
}

}

PeerLink::PeerLink(std::unique_ptr<cxxtools::net::TcpSocket> aSocket,
                   bool aIsDialed,
                   std::size_t aMaxQueuedBytes,
                   TimePoint aNow)
  : lastReceivedAt(aNow)
  , lastSentAt(aNow)
  , socket_(std::move(aSocket))
  , isDialed_(aIsDialed)
  , maxQueuedBytes_(aMaxQueuedBytes)
{
  const int on = 1;
  ::setsockopt(Descriptor(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

PeerLink::~PeerLink() = default;

int PeerLink::Descriptor() const
{
  return socket_->getFd();
}

Result<void> PeerLink::Enqueue(Bytes aBytes,
                               std::uint64_t aCorrelation,
                               Callback aCallback,
                               TimePoint aDeadline)
{
  const std::lock_guard lock(mutex_);
  if (closed_) {
    return NotSent(Reason::ConnectRefused, "the link is closed");
  }
  if (queuedBytes_ + aBytes->size() > maxQueuedBytes_) {
    return NotSent(Reason::QueueFull, "the peer's write queue is full");
  }
  queuedBytes_ += aBytes->size();
  output_.push_back({ std::move(aBytes), aCallback ? aCorrelation : 0 });
  if (aCallback) {
    calls_[aCorrelation] = Call{ std::move(aCallback), aDeadline, false };
  }
  return outcome::success();
}

Result<void> PeerLink::RegisterCall(std::uint64_t aCorrelation,
                                    Callback aCallback,
                                    TimePoint aDeadline)
{
  const std::lock_guard lock(mutex_);
  if (closed_) {
    return NotSent(Reason::ConnectRefused, "the link is closed");
  }
  calls_[aCorrelation] = Call{ std::move(aCallback), aDeadline, true };
  return outcome::success();
}

PeerLink::Callback PeerLink::TakeCall(std::uint64_t aCorrelation)
{
  const std::lock_guard lock(mutex_);
  const auto call = calls_.find(aCorrelation);
  if (call == calls_.end()) {
    return {};
  }
  Callback callback = std::move(call->second.callback);
  calls_.erase(call);
  return callback;
}

bool PeerLink::HasCalls() const
{
  const std::lock_guard lock(mutex_);
  return !calls_.empty();
}

bool PeerLink::HasOutput() const
{
  const std::lock_guard lock(mutex_);
  return !output_.empty();
}

bool PeerLink::Flush(std::uint64_t& aSentBytes)
{
  const std::lock_guard lock(mutex_);
  while (!output_.empty()) {
    const QueuedFrame& front = output_.front();
    const ssize_t sent = ::send(Descriptor(),
                                front.bytes->data() + outputOffset_,
                                front.bytes->size() - outputOffset_,
                                MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent < 0) {
      return IsTemporary(errno);
    }
    const auto count = static_cast<std::size_t>(sent);
    aSentBytes += count;
    outputOffset_ += count;
    queuedBytes_ -= count;
    const auto call = calls_.find(front.correlation);
    if (call != calls_.end()) {
      call->second.sent = true;
    }
    if (outputOffset_ == front.bytes->size()) {
      output_.pop_front();
      outputOffset_ = 0;
    }
  }
  return true;
}

bool PeerLink::Receive(std::uint64_t& aReceivedBytes)
{
  input_.erase(0, inputStart_);
  inputStart_ = 0;
  std::array<char, 16384> chunk;
  for (std::size_t totalRead = 0; totalRead < kMaxReadBytes;) {
    const ssize_t readBytes =
      ::recv(Descriptor(), chunk.data(), chunk.size(), MSG_DONTWAIT);
    if (readBytes < 0) {
      return IsTemporary(errno);
    }
    if (readBytes == 0) {
      return false;
    }
    const auto count = static_cast<std::size_t>(readBytes);
    input_.append(chunk.data(), count);
    aReceivedBytes += count;
    totalRead += count;
    if (count < chunk.size()) {
      break;
    }
  }
  return true;
}

Result<std::optional<std::string_view>> PeerLink::NextFrame()
{
  const std::string_view remaining =
    std::string_view(input_).substr(inputStart_);
  if (remaining.size() < Wire::kLengthBytes) {
    return std::optional<std::string_view>();
  }
  BOOST_OUTCOME_TRY(length, Wire::DecodeLength(remaining));
  if (remaining.size() - Wire::kLengthBytes < length) {
    return std::optional<std::string_view>();
  }
  inputStart_ += Wire::kLengthBytes + length;
  return std::optional(remaining.substr(Wire::kLengthBytes, length));
}

std::vector<PeerLink::FailedCall> PeerLink::TakeExpiredCalls(TimePoint aNow)
{
  std::vector<FailedCall> failed;
  const std::lock_guard lock(mutex_);
  for (auto call = calls_.begin(); call != calls_.end();) {
    if (aNow < call->second.deadline) {
      ++call;
      continue;
    }
    Error error =
      NotSent(Reason::PeerLost, "the request was not written in time");
    if (call->second.sent) {
      error = Error::Unknown(
        "peer", "", Reason::AttemptTimeout, "no reply arrived in time");
    } else {
      // The call is reported as not run, so its frame must not be sent any
      // more.
      const auto output = std::find_if(
        output_.begin(), output_.end(), [&](const QueuedFrame& aOutput) {
          return aOutput.correlation == call->first;
        });
      if (output != output_.end()) {
        queuedBytes_ -= output->bytes->size();
        output_.erase(output);
      }
    }
    failed.push_back({ std::move(call->second.callback), std::move(error) });
    call = calls_.erase(call);
  }
  return failed;
}

std::vector<PeerLink::FailedCall> PeerLink::Close()
{
  std::vector<FailedCall> failed;
  const std::lock_guard lock(mutex_);
  closed_ = true;
  output_.clear();
  queuedBytes_ = 0;
  for (auto& [correlation, call] : calls_) {
    failed.push_back(
      { std::move(call.callback),
        call.sent
          ? Error::Unknown("peer", "", Reason::PeerLost, "the link broke")
          : NotSent(Reason::ConnectRefused,
                    "the link broke before the request was sent") });
  }
  calls_.clear();
  ::shutdown(Descriptor(), SHUT_RDWR);
  return failed;
}

}
