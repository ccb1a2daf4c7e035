#ifndef HEMLOCKHAVEN_SRC_HTTP_CALLERAPI_H
#define HEMLOCKHAVEN_SRC_HTTP_CALLERAPI_H

#include "hemlockhaven/metrics/Summaries.h"
#include "hemlockhaven/node/Node.h"
#include "http/HttpReply.h"
#include "http/JsonCodec.h"
#include "net/HttpRequestView.h"

#include <atomic>
#include <cstddef>
#include <string_view>

namespace hemlockhaven {

//! The callers' routes, apart from the HTTP server that carries them.
class CallerApi
{
public:
  struct Limits
  {
    std::size_t waitingCallers = 2000;
    Duration longestWait = std::chrono::seconds(60);
  };

  //! Answer times, added times and queue waits go into the summaries.
  CallerApi(Node& aNode, Summaries& aSummaries, Limits aLimits);

  //! Answers a request; blocks while a caller waits for an answer.
  HttpReply Handle(const HttpRequestView& aRequest);

  //! Callers that wait for an answer now.
  std::size_t WaitingCount() const { return waiting_; }

private:
  HttpReply ReserveIds(const HttpRequestView& aRequest);
  HttpReply TellEpoch();
  HttpReply SubmitByKey(const HttpRequestView& aRequest, SubmissionKind aKind);
  HttpReply SubmitUnidentified(const HttpRequestView& aRequest);
  HttpReply HandleSubmission(const HttpRequestView& aRequest,
                             std::string_view aId,
                             SubmissionKind aKind);
  HttpReply Submit(const SubmissionId& aId,
                   JobSpec&& aSpec,
                   SubmissionKind aKind,
                   Duration aWait);
  HttpReply RefuseWaiting(const SubmissionId& aId,
                          SubmissionKind aKind,
                          std::string_view aDetail);
  HttpReply RefuseWaitingKey(std::string_view aDetail);
  HttpReply WaitFor(const SubmissionId& aId,
                    SubmissionKind aKind,
                    Duration aWait);
  HttpReply ReplyTo(const Result<JobAnswer>& aAnswer, SubmissionKind aKind);
  HttpReply Refuse(const Error& aError);
  void Summarise(const JobAnswer& aAnswer, Duration aTotal);
  Duration WaitOf(const HttpRequestView& aRequest, Duration aDefault) const;

  Node& node_;
  Summaries& summaries_;
  Limits limits_;
  std::atomic<std::size_t> waiting_{ 0 };
};

}

#endif
