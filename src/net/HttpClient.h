#ifndef HEMLOCKHAVEN_SRC_NET_HTTPCLIENT_H
#define HEMLOCKHAVEN_SRC_NET_HTTPCLIENT_H

#include "hemlockhaven/core/Time.h"
#include "net/HttpRequest.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace hemlockhaven {

namespace Detail {
class HttpClientConnection;
}

//! Asynchronous HTTP client with a connection pool per server. Runs on the
//! threads of the I/O context; thread-safe. Never resends a request. Closes the
//! connection of a request that timed out, since such connections tend to be
//! dead.
class HttpClient
{
public:
  struct Limits
  {
    //! Further requests are queued. Half of what a server accepts, so that two
    //! daemons fit.
    std::size_t maxConnectionsPerServer = 24;
    //! A connection that was idle for longer is closed instead of reused.
    Duration idleTimeout{ 20000000 };
    std::size_t maxResponseBytes = std::size_t{ 8 } << 20U;
  };

  HttpClient(boost::asio::io_context& aContext, const Limits& aLimits);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  //! Sends a request. aCallback is called once, on a thread of the I/O context.
  void Send(HttpRequest aRequest, HttpCallback aCallback);

  //! Closes all idle connections, so that other clients can connect to servers
  //! that limit their connections.
  void CloseIdle();

  //! Number of connections opened since construction.
  std::size_t OpenedConnections() const;

private:
  friend class Detail::HttpClientConnection;
  using ConnectionPtr = std::shared_ptr<Detail::HttpClientConnection>;

  struct QueuedRequest
  {
    HttpRequest request;
    HttpCallback callback;
    TimePoint expiresAt{};
  };

  struct Pool
  {
    std::vector<ConnectionPtr> idle; //!< Most recently used at the back.
    std::deque<QueuedRequest> queued;
    std::size_t open = 0;
  };

  void OnIdle(const ConnectionPtr& aConnection);
  void OnClosed(const std::string& aAddress, const ConnectionPtr& aConnection);
  void StartNextQueued(const std::string& aAddress);

  boost::asio::io_context& context_;
  const Limits limits_;
  mutable std::mutex mutex_;
  std::unordered_map<std::string, Pool> pools_;
  std::size_t openedConnections_ = 0;
};

}

#endif
