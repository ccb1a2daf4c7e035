#include "soak/Callers.h"

#include "platform/Protocol.h"

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iomanip>
#include <sstream>
#include <utility>

namespace hemlockhaven::Soak {

namespace {

//! A caller's connection stays open for so long after the stated deadline, to
//! see answers that come late.
constexpr Duration kGivesUpAfterDeadline{ 1000000 };
//! A job without a final answer is sent again after the platform's time.
constexpr Duration kResendAfter{ 1300000 };

//! Whether the job ended with this status, and nobody sends it again.
bool IsFinal(unsigned aStatus)
{
  return aStatus != 0 && aStatus != 502 && aStatus != 504;
}

HttpClient::Limits ClientLimits()
{
  HttpClient::Limits limits;
  limits.maxConnectionsPerServer = 200;
  return limits;
}

}

Callers::Callers(boost::asio::io_context& aContext,
                 Fleet& aFleet,
                 Ledger& aLedger,
                 std::uint64_t aSeed,
                 AnsweredHook aAnswered)
  : context_(aContext)
  , fleet_(aFleet)
  , ledger_(aLedger)
  , dice_(aSeed)
  , answered_(std::move(aAnswered))
  , http_(aContext, ClientLimits())
{
}

void Callers::Start(std::size_t aCount)
{
  for (std::size_t caller = 0; caller < aCount; ++caller) {
    Pause(caller);
  }
  if (fleet_.Kind().isZoned) {
    Burst();
  }
}

void Callers::After(Duration aDelay, std::function<void()> aEvent)
{
  auto timer = std::make_shared<boost::asio::steady_timer>(context_, aDelay);
  timer->async_wait(
    [this, timer, event = std::move(aEvent)](const auto& aError) {
      if (!aError && !stopped_) {
        event();
      }
    });
}

void Callers::Pause(std::size_t aCaller)
{
  After(std::chrono::milliseconds(50 + dice_.Next() % 400),
        [this, aCaller] { Send([this, aCaller] { Pause(aCaller); }); });
}

void Callers::Burst()
{
  After(std::chrono::milliseconds(800 + dice_.Next() % 3000), [this] {
    const std::uint64_t jobs = 5 + dice_.Next() % 25;
    for (std::uint64_t i = 0; i < jobs; ++i) {
      Send([] {});
    }
    Burst();
  });
}

void Callers::Send(std::function<void()> aWhenOver)
{
  auto submission = std::make_shared<Submission>();
  const std::size_t daemon = dice_.Next() % fleet_.Daemons();
  std::ostringstream id;
  id << std::hex << std::setw(16) << std::setfill('0') << dice_.Next();
  submission->id = id.str();
  submission->job = fleet_.Kind().drawJob(dice_);
  submission->whenOver = std::move(aWhenOver);
  Attempt(submission, daemon);
}

void Callers::Attempt(const SubmissionPtr& aSubmission, std::size_t aDaemon)
{
  const Job& job = aSubmission->job;
  CallerRecord record;
  record.daemon = aDaemon;
  record.id = aSubmission->id;
  record.tasks = job.tasks;
  record.attempt = ++aSubmission->attempts;

  HttpRequest call;
  call.address = fleet_.CallerAddress(record.daemon);
  call.method = "POST";
  call.target.append("/").append(job.route).append("/").append(record.id);
  call.headers.emplace_back(Platform::Protocol::kDeadlineHeader,
                            std::to_string(job.deadline.count() / 1000));
  call.timeout = job.deadline + kGivesUpAfterDeadline;
  call.body = nlohmann::json{
    { "spec",
      std::to_string(job.workMs) + " " + std::to_string(job.cpuMillis) },
    { "best_effort", true },
    { "steps",
      { { { "count", record.tasks },
          { "cpu", job.cpuMillis },
          { "mem_mb", 64 },
          { "estimate_ms", job.workMs } } } }
  }.dump();
  record.sent = SteadyNow();
  ++waiting_;
  http_.Send(std::move(call),
             [this, aSubmission, record](const HttpResult& aResult) mutable {
               --waiting_;
               record.ended = SteadyNow();
               if (aResult.end == HttpOutcome::Answered) {
                 record.status = aResult.status;
                 record.body = aResult.body;
               }
               if (record.status == 200) {
                 served_.insert(record.daemon);
                 answered_(record.daemon);
               }
               if (aResult.end != HttpOutcome::NotSent) {
                 ledger_.Add(record);
               }
               FollowUp(aSubmission, record);
             });
}

void Callers::FollowUp(const SubmissionPtr& aSubmission,
                       const CallerRecord& aRecord)
{
  // An answer after the deadline has nobody to read it any more.
  const TimePoint deadline = aRecord.sent + aSubmission->job.deadline;
  const TimePoint ended = std::min(*aRecord.ended, deadline);
  const bool isOver = IsFinal(aRecord.status) && *aRecord.ended <= deadline;
  if (isOver || aSubmission->attempts > fleet_.Kind().resends) {
    aSubmission->whenOver();
    return;
  }
  After(std::max(Duration(0), ended + kResendAfter - *aRecord.ended),
        [this, aSubmission] {
          Attempt(aSubmission, dice_.Next() % fleet_.Daemons());
        });
}

}
