#include "net/HttpClient.h"

#include "net/HttpClientConnection.h"

#include <utility>

namespace hemlockhaven {

HttpClient::HttpClient(boost::asio::io_context& aContext, const Limits& aLimits)
  : context_(aContext)
  , limits_(aLimits)
{
}

HttpClient::~HttpClient() = default;

void HttpClient::Send(HttpRequest aRequest, HttpCallback aCallback)
{
  ConnectionPtr connection;
  std::vector<ConnectionPtr> stale;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    Pool& pool = pools_[aRequest.address];
    const TimePoint now = SteadyNow();
    while (!pool.idle.empty() && !connection) {
      auto candidate = std::move(pool.idle.back());
      pool.idle.pop_back();
      if (now - candidate->IdleSince() > limits_.idleTimeout ||
          candidate->IsStale()) {
        --pool.open;
        stale.push_back(std::move(candidate));
      } else {
        connection = std::move(candidate);
      }
    }
    if (!connection) {
      if (pool.open >= limits_.maxConnectionsPerServer) {
        const TimePoint expiresAt = now + aRequest.timeout;
        pool.queued.push_back(
          { std::move(aRequest), std::move(aCallback), expiresAt });
        return;
      }
      ++pool.open;
      ++openedConnections_;
      connection = std::make_shared<Detail::HttpClientConnection>(
        *this, context_, aRequest.address, limits_.maxResponseBytes);
    }
  }
  for (const auto& staleConnection : stale) {
    staleConnection->Close();
  }
  connection->Start(std::move(aRequest), std::move(aCallback));
}

void HttpClient::OnIdle(const ConnectionPtr& aConnection)
{
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    pools_[aConnection->Address()].idle.push_back(aConnection);
  }
  StartNextQueued(aConnection->Address());
}

void HttpClient::OnClosed(const std::string& aAddress,
                          const ConnectionPtr& aConnection)
{
  std::vector<ConnectionPtr> idleConnections;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    Pool& pool = pools_[aAddress];
    --pool.open;
    // The cause that closed this connection has likely broken the idle ones
    // too.
    idleConnections.swap(pool.idle);
    pool.open -= idleConnections.size();
  }
  for (const auto& idleConnection : idleConnections) {
    if (idleConnection != aConnection) {
      idleConnection->Close();
    }
  }
  StartNextQueued(aAddress);
}

void HttpClient::StartNextQueued(const std::string& aAddress)
{
  QueuedRequest next;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    Pool& pool = pools_[aAddress];
    if (pool.queued.empty()) {
      return;
    }
    next = std::move(pool.queued.front());
    pool.queued.pop_front();
  }
  const TimePoint now = SteadyNow();
  if (now >= next.expiresAt) {
    HttpResult result;
    result.end = HttpOutcome::NotSent;
    result.detail = "no connection became free in time";
    next.callback(std::move(result));
    StartNextQueued(aAddress);
    return;
  }
  next.request.timeout = next.expiresAt - now;
  Send(std::move(next.request), std::move(next.callback));
}

void HttpClient::CloseIdle()
{
  std::vector<ConnectionPtr> idle;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (auto& [address, pool] : pools_) {
      pool.open -= pool.idle.size();
      idle.insert(idle.end(), pool.idle.begin(), pool.idle.end());
      pool.idle.clear();
    }
  }
  for (const auto& connection : idle) {
    connection->Close();
  }
}

std::size_t HttpClient::OpenedConnections() const
{
  const std::lock_guard<std::mutex> lock(mutex_);
  return openedConnections_;
}

}
