#ifndef HEMLOCKHAVEN_SOAK_CALLERS_H
#define HEMLOCKHAVEN_SOAK_CALLERS_H

#include "hemlockhaven/fleet/Dice.h"
#include "net/HttpClient.h"
#include "soak/Fleet.h"
#include "soak/Ledger.h"
#include "soak/Shape.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace hemlockhaven::Soak {

//! Callers that send one job after the other over kept connections, also to
//! daemons that are stopping, until these are gone. If the shape says so, a job
//! without a final answer in time is sent again under its id to any daemon.
class Callers
{
public:
  using AnsweredHook = std::function<void(std::size_t aDaemon)>;

  Callers(boost::asio::io_context& aContext,
          Fleet& aFleet,
          Ledger& aLedger,
          std::uint64_t aSeed,
          AnsweredHook aAnswered);

  void Start(std::size_t aCount);
  //! Sends no more; running requests go on.
  void Stop() { stopped_ = true; }
  std::size_t Waiting() const { return waiting_; }

  //! Daemons that completed a job since the call.
  void BeginRound() { served_.clear(); }
  std::size_t Served() const { return served_.size(); }

private:
  //! A job and what follows once it needs no more attempts.
  struct Submission
  {
    Job job;
    std::string id;
    unsigned attempts = 0;
    std::function<void()> whenOver;
  };
  using SubmissionPtr = std::shared_ptr<Submission>;

  void After(Duration aDelay, std::function<void()> aEvent);
  void Send(std::function<void()> aWhenOver);
  void Attempt(const SubmissionPtr& aSubmission, std::size_t aDaemon);
  //! Sends the job again or ends the submission.
  void FollowUp(const SubmissionPtr& aSubmission, const CallerRecord& aRecord);
  void Pause(std::size_t aCaller);
  void Burst();

  boost::asio::io_context& context_;
  Fleet& fleet_;
  Ledger& ledger_;
  Dice dice_;
  AnsweredHook answered_;
  HttpClient http_;
  bool stopped_ = false;
  std::size_t waiting_ = 0;
  std::set<std::size_t> served_;
};

}

#endif
