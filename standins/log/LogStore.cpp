#include "standins/log/LogStore.h"

#include <algorithm>
#include <charconv>
#include <thread>

namespace hemlockhaven {

namespace {

using nlohmann::json;

constexpr unsigned kNotFound = 404;
constexpr unsigned kMalformed = 400;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kLost = 504;

//! Most bytes in a page, so that a reply stays small.
constexpr std::size_t kPageBytes = 4U << 20U;

std::uint64_t NumberOf(std::string_view aQuery,
                       std::string_view aName,
                       std::uint64_t aDefault)
{
  std::uint64_t number = aDefault;
  const std::size_t at = aQuery.find(std::string(aName) + "=");
  if (at != std::string_view::npos) {
    const char* begin = aQuery.data() + at + aName.size() + 1;
    std::from_chars(begin, aQuery.data() + aQuery.size(), number);
  }
  return number;
}

}

LogStore::LogStore(std::chrono::milliseconds aAppendTime,
                   std::size_t aMostRecords)
  : appendTime_(aAppendTime)
  , mostRecords_(aMostRecords)
{
}

HttpReply LogStore::Handle(const HttpRequestView& aRequest)
{
  if (aRequest.path == "/control") {
    return Control(aRequest.body);
  }
  std::chrono::milliseconds slowness{ 0 };
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (outage_) {
      return { kUnavailable, { { "error", "outage" } } };
    }
    slowness = slowness_;
  }
  std::this_thread::sleep_for(slowness);
  if (aRequest.path == "/append") {
    return Append(aRequest.body);
  }
  if (aRequest.path == "/read") {
    return Read(aRequest.query);
  }
  return { kNotFound, { { "error", "no such path" } } };
}

HttpReply LogStore::Append(std::string_view aData)
{
  std::this_thread::sleep_for(appendTime_);
  const std::lock_guard<std::mutex> lock(mutex_);
  records_.push_back({ next_, std::string(aData) });
  if (records_.size() > mostRecords_) {
    records_.pop_front();
  }
  const LogOffset offset = next_++;
  if (loseAnswers_ > 0) {
    --loseAnswers_;
    return { kLost, { { "error", "the answer is lost" } } };
  }
  return { 200, { { "offset", offset } } };
}

HttpReply LogStore::Read(std::string_view aQuery) const
{
  const LogOffset from = NumberOf(aQuery, "from", 0);
  const std::uint64_t most = NumberOf(aQuery, "max", 1000);
  const std::lock_guard<std::mutex> lock(mutex_);
  const LogOffset start = records_.empty() ? next_ : records_.front().offset;
  json records = json::array();
  std::size_t bytes = 0;
  for (LogOffset offset = std::max(from, start);
       offset < next_ && records.size() < most && bytes < kPageBytes;
       ++offset) {
    const LogRecord& record = records_[offset - start];
    bytes += record.data.size();
    records.push_back({ { "offset", offset }, { "data", record.data } });
  }
  return { 200,
           { { "start", start }, { "next", next_ }, { "records", records } } };
}

HttpReply LogStore::Control(std::string_view aBody)
{
  try {
    const json body = json::parse(aBody);
    const std::lock_guard<std::mutex> lock(mutex_);
    outage_ = body.value("outage", outage_);
    slowness_ = std::chrono::milliseconds(
      body.value("slownessMs", static_cast<int>(slowness_.count())));
    loseAnswers_ = body.value("loseAnswers", loseAnswers_);
    return { 200,
             { { "outage", outage_ },
               { "slownessMs", slowness_.count() },
               { "loseAnswers", loseAnswers_ } } };
  } catch (const json::exception& error) {
    return { kMalformed, { { "error", error.what() } } };
  }
}

}
