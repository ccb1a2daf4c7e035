#ifndef HEMLOCKHAVEN_SRC_HTTP_OPERATORAPI_H
#define HEMLOCKHAVEN_SRC_HTTP_OPERATORAPI_H

#include "http/HttpReply.h"
#include "http/OperatorHooks.h"
#include "net/HttpRequestView.h"

namespace hemlockhaven {

//! The operators' routes, apart from the HTTP server that carries them.
class OperatorApi
{
public:
  explicit OperatorApi(OperatorHooks aHooks);

  HttpReply Handle(const HttpRequestView& aRequest) const;

private:
  HttpReply Health(const HttpRequestView& aRequest) const;
  HttpReply Ready(const HttpRequestView& aRequest) const;
  HttpReply Metrics(const HttpRequestView& aRequest) const;
  HttpReply Status(const HttpRequestView& aRequest) const;
  HttpReply Where(const HttpRequestView& aRequest) const;
  HttpReply GetConfiguration(const HttpRequestView& aRequest) const;
  HttpReply CheckConfiguration(const HttpRequestView& aRequest) const;
  HttpReply PublishConfiguration(const HttpRequestView& aRequest) const;
  HttpReply Drain(const HttpRequestView& aRequest) const;
  Result<std::int64_t> SinceOf(const HttpRequestView& aRequest) const;

  OperatorHooks hooks_;
};

}

#endif
