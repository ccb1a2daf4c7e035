#include "soak/StoreStandIn.h"

#include "net/HttpRequestView.h"
#include "platform/Protocol.h"
#include "platform/StoreClient.h"

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <memory>

namespace hemlockhaven::Soak {

namespace {

using nlohmann::json;

//! Far over the usual answer time, under the daemons' own limit.
constexpr Duration kSlowness{ 400000 };

std::string EncodeBase64(const std::string& aBytes)
{
  namespace iterators = boost::archive::iterators;
  using Encoder = iterators::base64_from_binary<
    iterators::transform_width<std::string::const_iterator, 6, 8>>;
  std::string text(Encoder(aBytes.begin()), Encoder(aBytes.end()));
  text.append((4 - text.size() % 4) % 4, '=');
  return text;
}

std::string BigEndian(std::uint64_t aValue, std::size_t aBytes)
{
  std::string bytes;
  for (std::size_t i = aBytes; i > 0; --i) {
    bytes += static_cast<char>((aValue >> (8 * (i - 1))) & 0xFFU);
  }
  return bytes;
}

}

StoreStandIn::StoreStandIn(boost::asio::io_context& aContext,
                           const boost::asio::ip::tcp::endpoint& aListen)
  : context_(aContext)
  , listener_(aContext,
              aListen,
              HttpListener::Limits(),
              [this](const IncomingRequest& aRequest, ReplyHook aReply) {
                return Handle(aRequest, std::move(aReply));
              })
{
}

void StoreStandIn::Put(const std::string& aTopic,
                       const std::string& aKey,
                       const std::string& aValue)
{
  Topic& topic = topics_[aTopic];
  topic.records.emplace_back(aKey, aValue);
  if (aValue.empty()) {
    topic.newest.erase(aKey);
  } else {
    topic.newest[aKey] = aValue;
  }
  std::vector<std::pair<std::uint64_t, ReplyHook>> readers;
  readers.swap(topic.readers);
  for (const auto& [from, reply] : readers) {
    ReadFrom(topic, from, reply);
  }
}

DisconnectHook StoreStandIn::Handle(const IncomingRequest& aRequest,
                                    ReplyHook aReply)
{
  switch (mode_) {
    case Mode::Up:
      Serve(aRequest.target, aRequest.body, aReply);
      break;
    case Mode::Down: {
      OutgoingReply reply;
      reply.status = 503;
      aReply(std::move(reply));
      break;
    }
    case Mode::LosesAnswers:
      break; // The connection stays open without an answer.
    case Mode::Slow: {
      auto timer =
        std::make_shared<boost::asio::steady_timer>(context_, kSlowness);
      timer->async_wait([this,
                         timer,
                         target = std::string(aRequest.target),
                         body = std::string(aRequest.body),
                         reply = std::move(aReply)](const auto& aError) {
        if (!aError) {
          Serve(target, body, reply);
        }
      });
      break;
    }
  }
  return nullptr;
}

void StoreStandIn::Append(const std::string& aTopic,
                          std::string_view aBody,
                          const ReplyHook& aReply)
{
  // The body of an append is that of a read without the two offsets.
  const auto read =
    Platform::Detail::DecodeRecords(std::string(16, '\0').append(aBody), 0);
  OutgoingReply reply;
  if (read) {
    for (const Platform::KeyedRecord& record : read->records) {
      Put(aTopic, record.key, record.value.value_or(""));
    }
    const std::size_t end = topics_[aTopic].records.size();
    reply.body =
      json{ { "offset", end - read->records.size() }, { "end", end } }.dump();
  } else {
    reply.status = 400;
  }
  aReply(std::move(reply));
}

void StoreStandIn::Serve(std::string_view aTarget,
                         std::string_view aBody,
                         const ReplyHook& aReply)
{
  const std::size_t mark = std::min(aTarget.find('?'), aTarget.size());
  const std::string_view path = aTarget.substr(0, mark);
  const std::string query(aTarget.substr(std::min(mark + 1, aTarget.size())));
  const std::string name = QueryText(query, "topic").value_or("");
  if (path == Platform::Protocol::kLogAppendPath) {
    Append(name, aBody, aReply);
    return;
  }
  Topic& topic = topics_[name];
  if (path == Platform::Protocol::kLogNewestPath) {
    json items = json::array();
    for (const auto& [key, value] : topic.newest) {
      items.push_back({ { "key", key }, { "value", EncodeBase64(value) } });
    }
    OutgoingReply reply;
    reply.body = json{
      { "items", items }, { "has_more", false }, { "end", topic.records.size() }
    }.dump();
    aReply(std::move(reply));
    return;
  }
  const std::uint64_t from = QueryNumber(query, "from").value_or(0);
  const std::uint64_t waitMs = QueryNumber(query, "wait_ms").value_or(0);
  if (from < topic.records.size() || waitMs == 0) {
    ReadFrom(topic, from, aReply);
    return;
  }
  topic.readers.emplace_back(from, aReply);
  auto timer = std::make_shared<boost::asio::steady_timer>(
    context_, std::chrono::milliseconds(waitMs));
  timer->async_wait([timer, &topic](const auto& aError) {
    if (!aError && !topic.readers.empty()) {
      // Waits are equally long, so that the first one is the oldest.
      const auto [first, reply] = topic.readers.front();
      topic.readers.erase(topic.readers.begin());
      ReadFrom(topic, first, reply);
    }
  });
}

void StoreStandIn::ReadFrom(const Topic& aTopic,
                            std::uint64_t aFrom,
                            const ReplyHook& aReply)
{
  OutgoingReply reply;
  reply.body = BigEndian(aTopic.records.size(), 8) + BigEndian(0, 8);
  for (std::uint64_t i = aFrom; i < aTopic.records.size(); ++i) {
    const auto& [key, value] = aTopic.records[i];
    std::string record = BigEndian(key.size(), 1);
    record.append(key).append(value);
    reply.body.append(BigEndian(record.size(), 4)).append(record);
  }
  aReply(std::move(reply));
}

}
