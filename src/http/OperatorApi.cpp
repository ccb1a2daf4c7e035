#include "http/OperatorApi.h"

#include "http/StatusJson.h"
#include "net/JsonDocument.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <string>
#include <utility>

namespace hemlockhaven {

namespace {

using nlohmann::json;

constexpr std::size_t kMostRecords = 1000;

HttpReply Ok(json aBody)
{
  HttpReply reply;
  reply.body = std::move(aBody);
  return reply;
}

HttpReply Malformed(std::string_view aStep, std::string_view aDetail)
{
  return ReplyOf(Error::NotRun(aStep, Reason::MalformedRequest, aDetail));
}

HttpReply NotWired(std::string_view aStep)
{
  return ReplyOf(Error::NotRun(
    aStep, Reason::NotReady, "this daemon does not offer this operation"));
}

}

OperatorApi::OperatorApi(OperatorHooks aHooks)
  : hooks_(std::move(aHooks))
{
}

HttpReply OperatorApi::Handle(const HttpRequestView& aRequest) const
{
  struct Route
  {
    std::string_view method;
    std::string_view path;
    HttpReply (OperatorApi::*answer)(const HttpRequestView&) const;
  };
  static constexpr std::array<Route, 9> kRoutes{ {
    { "GET", "/healthz", &OperatorApi::Health },
    { "GET", "/readyz", &OperatorApi::Ready },
    { "GET", "/metrics", &OperatorApi::Metrics },
    { "GET", "/v1/status", &OperatorApi::Status },
    { "GET", "/v1/where", &OperatorApi::Where },
    { "GET", "/v1/configuration", &OperatorApi::GetConfiguration },
    { "POST", "/v1/configuration/check", &OperatorApi::CheckConfiguration },
    { "PUT", "/v1/configuration", &OperatorApi::PublishConfiguration },
    { "POST", "/v1/endpoints/drain", &OperatorApi::Drain },
  } };
  const auto* route = std::find_if(
    kRoutes.begin(), kRoutes.end(), [&aRequest](const Route& aRoute) {
      return aRoute.method == aRequest.method && aRoute.path == aRequest.path;
    });
  if (route == kRoutes.end()) {
    return ReplyOf(Error::NotRun("route",
                                 Reason::NotFound,
                                 "no route " + std::string(aRequest.method) +
                                   " " + std::string(aRequest.path)));
  }
  return (this->*route->answer)(aRequest);
}

HttpReply OperatorApi::Health(const HttpRequestView& /*aRequest*/) const
{
  return Ok({ { "status", "running" } });
}

HttpReply OperatorApi::Ready(const HttpRequestView& /*aRequest*/) const
{
  if (!hooks_.readiness) {
    return NotWired("readiness");
  }
  const Result<void> ready = hooks_.readiness();
  if (ready.has_error()) {
    HttpReply reply = ReplyOf(ready.error());
    reply.status = 503;
    return reply;
  }
  return Ok({ { "status", "ready" } });
}

HttpReply OperatorApi::Metrics(const HttpRequestView& /*aRequest*/) const
{
  if (!hooks_.metrics) {
    return NotWired("metrics");
  }
  HttpReply reply;
  reply.text = hooks_.metrics();
  return reply;
}

HttpReply OperatorApi::Status(const HttpRequestView& /*aRequest*/) const
{
  return hooks_.status ? Ok(ToJson(hooks_.status())) : NotWired("status");
}

Result<std::int64_t> OperatorApi::SinceOf(const HttpRequestView& aRequest) const
{
  const auto text = QueryText(aRequest.query, "since");
  if (!text) {
    return std::int64_t{ 0 };
  }
  std::int64_t milliseconds = 0;
  const char* last = text->data() + text->size();
  const auto parsed = std::from_chars(text->data(), last, milliseconds);
  if (parsed.ec == std::errc() && parsed.ptr == last) {
    return milliseconds;
  }
  if (hooks_.parseSince) {
    return hooks_.parseSince(*text);
  }
  return Error::NotRun("where",
                       Reason::MalformedRequest,
                       "since: expected milliseconds since the Unix epoch");
}

HttpReply OperatorApi::Where(const HttpRequestView& aRequest) const
{
  if (!hooks_.where) {
    return NotWired("where");
  }
  WhereQuery query;
  auto selector = Selector::Parse(
    QueryText(aRequest.query, "selector").value_or(std::string()));
  if (selector.has_error()) {
    return ReplyOf(selector.error());
  }
  query.selector = std::move(selector.value());
  const auto since = SinceOf(aRequest);
  if (since.has_error()) {
    return ReplyOf(since.error());
  }
  query.sinceMs = since.value();
  query.most = std::min<std::size_t>(
    QueryNumber(aRequest.query, "most").value_or(query.most), kMostRecords);
  const auto answer = hooks_.where(query);
  return answer.has_error() ? ReplyOf(answer.error())
                            : Ok(ToJson(answer.value()));
}

HttpReply OperatorApi::GetConfiguration(
  const HttpRequestView& /*aRequest*/) const
{
  if (!hooks_.configuration) {
    return NotWired("read configuration");
  }
  const auto view = hooks_.configuration();
  if (view.has_error()) {
    return ReplyOf(view.error());
  }
  return Ok(
    { { "version", view.value().version },
      { "document", json::parse(view.value().document, nullptr, false) } });
}

HttpReply OperatorApi::CheckConfiguration(const HttpRequestView& aRequest) const
{
  if (!hooks_.checkConfiguration) {
    return NotWired("check configuration");
  }
  const Result<void> checked =
    hooks_.checkConfiguration(aRequest.body, aRequest.reserve);
  return checked.has_error() ? ReplyOf(checked.error())
                             : Ok({ { "status", "valid" } });
}

HttpReply OperatorApi::PublishConfiguration(
  const HttpRequestView& aRequest) const
{
  if (!hooks_.publishConfiguration) {
    return NotWired("publish configuration");
  }
  const auto base = QueryNumber(aRequest.query, "base");
  if (!base) {
    return Malformed("publish configuration",
                     "base: expected the version that the document was made "
                     "from");
  }
  const auto version =
    hooks_.publishConfiguration(*base, aRequest.body, aRequest.reserve);
  return version.has_error() ? ReplyOf(version.error())
                             : Ok({ { "version", version.value() } });
}

HttpReply OperatorApi::Drain(const HttpRequestView& aRequest) const
{
  if (!hooks_.drain) {
    return NotWired("drain");
  }
  const Result<json> parsed = ParseJson(aRequest.body, aRequest.reserve);
  if (parsed.has_error()) {
    return ReplyOf(parsed.error());
  }
  const json& body = parsed.value();
  if (!body.is_object() || !body.contains("selector") ||
      !body["selector"].is_string()) {
    return Malformed("drain", "selector: expected a text");
  }
  DrainOrder order;
  if (body.contains("drain")) {
    if (!body["drain"].is_boolean()) {
      return Malformed("drain", "drain: expected true or false");
    }
    order.drain = body["drain"].get<bool>();
  }
  auto selector =
    Selector::Parse(body["selector"].get_ref<const std::string&>());
  if (selector.has_error()) {
    return ReplyOf(selector.error());
  }
  // The empty selector would stop the whole fleet by a slip of the hand.
  if (selector.value().Text().empty()) {
    return Malformed("drain", "selector: expected a condition");
  }
  order.selector = std::move(selector.value());
  const auto matched = hooks_.drain(order);
  return matched.has_error() ? ReplyOf(matched.error())
                             : Ok({ { "endpoints", matched.value() } });
}

}
