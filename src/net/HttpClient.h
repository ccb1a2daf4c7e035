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

//! Sends requests over kept connections, any number at a time, without a thread
//! of its own. Never sends a request twice. A request that gets no answer in
//! time costs its connection, since such connections tend to be dead.
class HttpClient
{
public:
  struct Limits
  {
    //! To one server; further calls wait. Half of what a server takes, so that
    //! two daemons fit.
    std::size_t maxConnectionsPerServer = 24;
    //! Idle connections are closed after this.
    Duration idleTimeout{ 20000000 };
    std::size_t maxResponseBytes = std::size_t{ 8 } << 20U;
  };

  HttpClient(boost::asio::io_context& aContext, const Limits& aLimits);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  //! aCallback is called once, on a thread of the context.
  void Send(HttpRequest aRequest, HttpCallback aCallback);

  //! Closes the connections that carry no request, so that other clients find
  //! room at the servers.
  void CloseIdle();

  //! Connections opened since the start.
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
    std::vector<ConnectionPtr> idle; //!< The one used last at the back.
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
