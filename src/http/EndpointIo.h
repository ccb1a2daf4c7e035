#ifndef HEMLOCKHAVEN_SRC_HTTP_ENDPOINTIO_H
#define HEMLOCKHAVEN_SRC_HTTP_ENDPOINTIO_H

#include "http/EndpointClient.h"
#include "http/EndpointPool.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

namespace hemlockhaven::Detail {

//! One I/O thread with the connections of the endpoints that map to it.
//! Everything but Post and Stop runs on that thread; only the inbox is shared
//! and has a lock.
class EndpointIo
{
public:
  EndpointIo(const EndpointClientLimits& aLimits,
             std::string aAttemptPrefix,
             Counters& aCounters,
             EndpointClient::Finished aFinished);
  ~EndpointIo();

  //! Hands an attempt to the thread. After Stop it ends at once as unknown.
  void Post(const Attempt& aAttempt);

  //! Ends all attempts as unknown and joins the thread.
  void Stop();

  //! Finds a connection for the attempt, or lets it wait for one. With aFresh
  //! it gets a new connection if the bound allows one.
  void Start(PendingAttempt&& aPending, bool aFresh);

  //! The connection is idle and may take another attempt.
  void OnIdle(const std::shared_ptr<EndpointConnection>& aConnection);

  //! The connection is closed.
  void OnClosed(const std::shared_ptr<EndpointConnection>& aConnection);

  //! Runs the attempt on a new connection in place of the closed one.
  void Replace(const std::shared_ptr<EndpointConnection>& aClosed,
               PendingAttempt&& aPending);

  //! The endpoint did not answer a probe: closes the other connections of the
  //! pool that were idle for as long.
  void DropUnprobed(EndpointPool& aPool);

  void Finish(AttemptId aId, AttemptResult&& aResult);

  boost::asio::io_context& Context() { return context_; }
  const EndpointClientLimits& Limits() const { return limits_; }
  const std::string& AttemptPrefix() const { return attemptPrefix_; }
  Counters& Counts() { return counters_; }

private:
  using ConnectionPtr = EndpointPool::ConnectionPtr;

  void Drain();
  void EndAll();
  void UseAddress(EndpointPool& aPool, const Attempt& aAttempt);
  ConnectionPtr TakeIdle(EndpointPool& aPool);
  void ServeWaiting(EndpointPool& aPool);
  void ScheduleSweep(Duration aIn);
  void Sweep();
  void SweepWaiting(EndpointPool& aPool, TimePoint aNow);
  void SweepIdle(EndpointPool& aPool, TimePoint aNow);
  void FinishStopped(AttemptId aId);

  const EndpointClientLimits limits_;
  const std::string attemptPrefix_;
  Counters& counters_;
  EndpointClient::Finished finished_;
  boost::asio::io_context context_{ 1 };
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    work_{ context_.get_executor() };
  boost::asio::steady_timer sweepTimer_{ context_ };
  TimePoint sweepAt_ = TimePoint::max();                //!< max: not scheduled.
  std::unordered_map<std::string, EndpointPool> pools_; //!< By endpoint id.
  bool stopping_ = false;

  std::mutex mutex_; //!< Guards what follows.
  std::vector<PendingAttempt> inbox_;
  bool isDrainPosted_ = false;
  bool isStopped_ = false;

  std::thread thread_; //!< Last, so that it starts with all members.
};

}

#endif
