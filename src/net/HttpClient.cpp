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

void HttpClient::Send(HttpRequest aCall, HttpCallback aDone)
{
  ConnectionPtr connection;
  std::vector<ConnectionPtr> stale;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    Pool& pool = pools_[aCall.address];
    const TimePoint now = SteadyNow();
    while (!pool.idle.empty() && !connection) {
      auto candidate = std::move(pool.idle.back());
      pool.idle.pop_back();
      if (now - candidate->IdleSince() > limits_.idle || candidate->IsStale()) {
        --pool.open;
        stale.push_back(std::move(candidate));
      } else {
        connection = std::move(candidate);
      }
    }
    if (!connection) {
      if (pool.open >= limits_.maxConnectionsPerServer) {
        const TimePoint expiresAt = now + aCall.timeout;
        pool.waiting.push_back(
          { std::move(aCall), std::move(aDone), expiresAt });
        return;
      }
      ++pool.open;
      ++opened_;
      connection = std::make_shared<Detail::HttpClientConnection>(
        *this, context_, aCall.address, limits_.answerBytes);
    }
  }
  for (const auto& old : stale) {
    old->Close();
  }
  connection->Start(std::move(aCall), std::move(aDone));
}

void HttpClient::OnIdle(const ConnectionPtr& aConnection)
{
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    pools_[aConnection->Address()].idle.push_back(aConnection);
  }
  ServeWaiting(aConnection->Address());
}

void HttpClient::OnClosed(const std::string& aAddress,
                          const ConnectionPtr& aConnection)
{
  std::vector<ConnectionPtr> suspects;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    Pool& pool = pools_[aAddress];
    --pool.open;
    // What ended this connection has likely ended the idle ones too.
    suspects.swap(pool.idle);
    pool.open -= suspects.size();
  }
  for (const auto& suspect : suspects) {
    if (suspect != aConnection) {
      suspect->Close();
    }
  }
  ServeWaiting(aAddress);
}

void HttpClient::ServeWaiting(const std::string& aAddress)
{
  Waiting next;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    Pool& pool = pools_[aAddress];
    if (pool.waiting.empty()) {
      return;
    }
    next = std::move(pool.waiting.front());
    pool.waiting.pop_front();
  }
  const TimePoint now = SteadyNow();
  if (now >= next.expiresAt) {
    HttpResult result;
    result.end = HttpOutcome::NotSent;
    result.detail = "no connection became free in time";
    next.done(std::move(result));
    ServeWaiting(aAddress);
    return;
  }
  next.call.timeout = next.expiresAt - now;
  Send(std::move(next.call), std::move(next.done));
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

std::size_t HttpClient::Opened() const
{
  const std::lock_guard<std::mutex> lock(mutex_);
  return opened_;
}

}
