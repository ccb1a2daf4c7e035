#include "system/HeavyClients.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <thread>

namespace hemlockhaven::Testing {

namespace {

//! Ends a crowd whose input the server neither reads nor refuses.
constexpr auto kMaxSendTime = std::chrono::seconds(20);
constexpr auto kMaxIdleTime = std::chrono::seconds(2);
constexpr auto kRetryInterval = std::chrono::milliseconds(2);
//! Large enough to keep the number of system calls small.
constexpr std::size_t kBlockBytes = 65536;

int Connect(std::uint16_t aPort)
{
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(aPort);
  static_cast<void>(::connect(
    socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)));
  ::fcntl(socket, F_SETFL, O_NONBLOCK);
  return socket;
}

}

HeavyClients::HeavyClients(std::uint16_t aPort, Span<const ClientGroup> aGroups)
  : groups_(aGroups.begin(), aGroups.end())
{
  for (ClientGroup& group : groups_) {
    const std::string unit = group.repeated;
    while (group.repeated.size() < kBlockBytes) {
      group.repeated += unit;
    }
    for (std::size_t i = 0; i < group.connections; ++i) {
      clients_.push_back(
        { &group, Connect(group.port != 0 ? group.port : aPort), 0 });
    }
  }
}

HeavyClients::~HeavyClients()
{
  for (const Client& client : clients_) {
    ::close(client.socket);
  }
}

void HeavyClients::Send()
{
  const auto begin = std::chrono::steady_clock::now();
  auto lastProgress = begin;
  for (;;) {
    bool progress = false;
    bool unfinished = false;
    for (Client& client : clients_) {
      if (client.sent < client.group->bytes) {
        progress = SendSome(client) || progress;
        unfinished = unfinished || client.sent < client.group->bytes;
      }
    }
    const auto now = std::chrono::steady_clock::now();
    lastProgress = progress ? now : lastProgress;
    if (!unfinished || now - lastProgress > kMaxIdleTime ||
        now - begin > kMaxSendTime) {
      return;
    }
    if (!progress) {
      std::this_thread::sleep_for(kRetryInterval);
    }
  }
}

bool HeavyClients::SendSome(Client& aClient)
{
  const ClientGroup& group = *aClient.group;
  const bool inHead = aClient.sent < group.head.size();
  const std::string& source = inHead ? group.head : group.repeated;
  const std::size_t offset =
    inHead ? aClient.sent
           : (aClient.sent - group.head.size()) % group.repeated.size();
  const std::size_t count =
    std::min(source.size() - offset, group.bytes - aClient.sent);
  const auto sent =
    ::send(aClient.socket, source.data() + offset, count, MSG_NOSIGNAL);
  if (sent > 0) {
    aClient.sent += static_cast<std::size_t>(sent);
    return true;
  }
  if (errno != EAGAIN && errno != EWOULDBLOCK) {
    aClient.sent = group.bytes; // Closed by the server.
  }
  return false;
}

}
