#include "net/HttpListener.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

// Last, because its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace hemlockhaven;

namespace {

namespace net = boost::asio;

constexpr std::size_t kBodyBytes = 262144;
constexpr std::size_t kHeaderBytes = 16384;
constexpr std::size_t kBudget = 700000;
constexpr std::size_t kReplyBytes = 250000;
constexpr std::size_t kConnections = 4;

HttpListener::Limits TestLimits()
{
  HttpListener::Limits limits;
  limits.headerBytes = kHeaderBytes;
  limits.bodyBytes = kBodyBytes;
  limits.connections = kConnections;
  limits.sendBufferBytes = 8192;
  return limits;
}

//! A client that sends bytes and reads what comes back.
class Client
{
public:
  Client(net::io_context& aContext, std::uint16_t aPort, bool aReads)
    : socket_(aContext, net::ip::tcp::v4())
  {
    if (!aReads) {
      // A reply must not fit into the socket's buffer.
      socket_.set_option(net::socket_base::receive_buffer_size(4096));
    }
    socket_.connect({ net::ip::make_address("127.0.0.1"), aPort });
    if (aReads) {
      Read();
    }
  }

  void Send(std::string aBytes)
  {
    bytes_ = std::move(aBytes);
    net::async_write(socket_, net::buffer(bytes_), [](auto, auto) {});
  }

  void Close()
  {
    boost::system::error_code ignored;
    socket_.close(ignored);
  }

  bool HasStatus(std::string_view aStatus) const
  {
    return reply.substr(0, 12) == "HTTP/1.1 " + std::string(aStatus);
  }

  std::string reply;
  bool ended = false;

private:
  void Read()
  {
    socket_.async_read_some(net::buffer(buffer_),
                            [this](const auto& aError, std::size_t aCount) {
                              reply.append(buffer_.data(), aCount);
                              if (aError) {
                                ended = true;
                              } else {
                                Read();
                              }
                            });
  }

  net::ip::tcp::socket socket_;
  std::string bytes_;
  std::array<char, 4096> buffer_{};
};

//! A listener that answers with the size of the body; on "/large" with a large
//! reply, and on "/wait" only when the test does.
class Fixture
{
public:
  explicit Fixture(const HttpListener::Limits& aLimits = TestLimits())
    : listener(
        context,
        { net::ip::make_address("127.0.0.1"), 0 },
        aLimits,
        [this](const IncomingRequest& aRequest, ReplyHook aReply) {
          ++handled;
          constexpr std::string_view kReserve = "/reserve/";
          if (aRequest.target.substr(0, kReserve.size()) == kReserve) {
            static_cast<void>(aRequest.reserve(std::stoul(
              std::string(aRequest.target.substr(kReserve.size())))));
          }
          if (aRequest.target == "/wait") {
            waiting.push_back(std::move(aReply));
            return DisconnectHook([] {});
          }
          OutgoingReply reply;
          reply.body = aRequest.target == "/large"
                         ? std::string(kReplyBytes, 'x')
                         : std::to_string(aRequest.body.size());
          aReply(std::move(reply));
          return DisconnectHook();
        },
        EmptyReply,
        { memory, [this](RequestError aError) { counts.Count(aError); } })
  {
  }
  ~Fixture()
  {
    for (const auto& client : clients) {
      client->Close();
    }
    waiting.clear();
    RunUntil([this] { return listener.Connections() == 0; });
    context.run_for(std::chrono::milliseconds(20));
  }
  Fixture(const Fixture&) = delete;
  Fixture& operator=(const Fixture&) = delete;

  Client& Open(std::string aBytes, bool aReads = true)
  {
    clients.push_back(
      std::make_unique<Client>(context, listener.Port(), aReads));
    clients.back()->Send(std::move(aBytes));
    return *clients.back();
  }

  bool RunUntil(const std::function<bool()>& aIsDone)
  {
    for (int step = 0; step < 1000 && !aIsDone(); ++step) {
      context.run_for(std::chrono::milliseconds(10));
      context.restart();
    }
    return aIsDone();
  }

  net::io_context context;
  int handled = 0;
  RequestErrorCounts counts;
  std::vector<ReplyHook> waiting;
  std::vector<std::unique_ptr<Client>> clients;
  std::shared_ptr<ConnectionMemory> memory =
    std::make_shared<ConnectionMemory>(kBudget);
  HttpListener listener;
};

std::string Times(std::size_t aCount, std::string_view aText)
{
  std::string text;
  for (std::size_t i = 0; i < aCount; ++i) {
    text += aText;
  }
  return text;
}

const std::string kPost = "POST /a HTTP/1.1\r\nHost: h\r\n";
const std::string kChunked = kPost + "Transfer-Encoding: chunked\r\n\r\n";

std::string WithLength(std::string_view aBody)
{
  return kPost + "Content-Length: " + std::to_string(aBody.size()) +
         "\r\n\r\n" + std::string(aBody);
}

struct InputRow
{
  const char* guardsAgainst;
  std::string bytes;
  const char* status;
  const char* body; //!< Of the reply.
  RequestError error;
};

const InputRow kInputRows[] = {
  { "a body at the limit refused",
    WithLength(std::string(kBodyBytes, 'x')),
    "200",
    "262144",
    RequestError::Count },
  { "a header near the limit refused",
    "GET /a HTTP/1.1\r\nX: " + std::string(kHeaderBytes - 100, 'x') +
      "\r\n\r\n",
    "200",
    "0",
    RequestError::Count },
  { "a header near the limit of many small fields refused",
    "GET /a HTTP/1.1\r\n" + Times(kHeaderBytes / 8, "a:bc\r\n") + "\r\n",
    "200",
    "0",
    RequestError::Count },
  { "a body at the limit refused for its chunks of one byte",
    kChunked + Times(kBodyBytes, "1\r\nx\r\n") + "0\r\n\r\n",
    "200",
    "262144",
    RequestError::Count },
  { "trailers within the limit refused",
    kChunked + "1\r\nx\r\n0\r\nX: y\r\n\r\n",
    "200",
    "1",
    RequestError::Count },
  { "trailers without a bound",
    kChunked + "0\r\n" + Times(5000, "X: y\r\n"),
    "431",
    "",
    RequestError::TrailerTooLarge },
  { "a chunk header without a bound",
    kChunked + "1;x=" + std::string(20000, 'x'),
    "431",
    "",
    RequestError::TrailerTooLarge },
  { "small chunks whose headers are many times the body",
    kChunked + Times(100000, "1;x=0123456789012345678901\r\nx\r\n"),
    "413",
    "",
    RequestError::BodyTooLarge },
  { "a chunked body without a bound",
    kChunked + Times(80, "1000\r\n" + std::string(4096, 'x') + "\r\n"),
    "413",
    "",
    RequestError::BodyTooLarge },
  { "a chunk whose announced size is over the limit",
    kChunked + "40001\r\nx",
    "413",
    "",
    RequestError::BodyTooLarge },
};

//! A request whose bytes stop arriving.
struct StallRow
{
  const char* guardsAgainst;
  std::string bytes;
};

const StallRow kStallRows[] = {
  { "a header that stops arriving and holds its connection", "GET /a HT" },
  { "a body that stops arriving and holds its memory",
    kPost + "Content-Length: 100\r\n\r\nxx" },
  { "a chunk that stops short of its end", kChunked + "64\r\nxx" },
};

}

TEST_GROUP(HttpLimits){};

TEST(HttpLimits, BoundsEachPartOfARequest)
{
  for (const InputRow& row : kInputRows) {
    Fixture fixture;
    const Client& client = fixture.Open(row.bytes);
    CHECK_TEXT(fixture.RunUntil([&] { return !client.reply.empty(); }),
               row.guardsAgainst);
    CHECK_TEXT(client.HasStatus(row.status), row.guardsAgainst);
    const std::size_t end = client.reply.find("\r\n\r\n");
    STRCMP_EQUAL_TEXT(
      row.body, client.reply.substr(end + 4).c_str(), row.guardsAgainst);
    const bool isServed = row.error == RequestError::Count;
    LONGS_EQUAL_TEXT(isServed ? 1 : 0, fixture.handled, row.guardsAgainst);
    if (!isServed) {
      LONGS_EQUAL_TEXT(1, fixture.counts.Value(row.error), row.guardsAgainst);
    }
  }
}

TEST(HttpLimits, ClosesRequestsThatStopArriving)
{
  for (const StallRow& row : kStallRows) {
    HttpListener::Limits limits = TestLimits();
    limits.headerTimeout = std::chrono::milliseconds(50);
    limits.stallTimeout = std::chrono::milliseconds(50);
    Fixture fixture(limits);
    const Client& client = fixture.Open(row.bytes);
    CHECK_TEXT(fixture.RunUntil([&] { return client.ended; }),
               row.guardsAgainst);
    LONGS_EQUAL_TEXT(
      1, fixture.counts.Value(RequestError::TooSlow), row.guardsAgainst);
    CHECK_TEXT(
      fixture.RunUntil([&] { return fixture.memory->ChargedBytes() == 0; }),
      row.guardsAgainst);
  }
}

// Guards against memory that is charged by what a client announces: many
// ordinary clients would then exhaust the budget.
TEST(HttpLimits, ChargesWhatHasArrived)
{
  Fixture fixture;
  fixture.Open(kPost + "Content-Length: 262144\r\n\r\nx");
  fixture.Open(kChunked + "40000\r\nx");
  CHECK(
    fixture.RunUntil([&] { return fixture.memory->ChargedBytes() > 6000; }));
  CHECK(fixture.memory->ChargedBytes() < 40000);
}

// Guards against unfinished bodies that keep an ordinary caller from its reply,
// and against a refusal that is not true.
TEST(HttpLimits, DropsTheLargestUnfinishedBodyBeforeOrdinaryCallers)
{
  Fixture fixture;
  const std::string unfinished =
    kPost + "Content-Length: 262144\r\n\r\n" + std::string(kBodyBytes - 1, 'x');
  for (int i = 0; i < 3; ++i) {
    fixture.Open(unfinished);
  }
  CHECK(fixture.RunUntil(
    [&] { return fixture.counts.Value(RequestError::MemoryExhausted) == 1; }));
  CHECK(fixture.memory->ChargedBytes() <= kBudget);
  const Client& ordinary = fixture.Open(WithLength("{}"));
  CHECK(fixture.RunUntil([&] { return !ordinary.reply.empty(); }));
  CHECK(ordinary.HasStatus("200"));
  LONGS_EQUAL(1, fixture.handled);
  CHECK(fixture.RunUntil([&] {
    for (const auto& client : fixture.clients) {
      if (client->HasStatus("503")) {
        return client->reply.find("Retry-After: 1\r\n") != std::string::npos;
      }
    }
    return false;
  }));
}

// Guards against connection slots that unfinished requests take from ordinary
// callers, and against callers that wait and lose their slot.
TEST(HttpLimits, UnfinishedRequestsGiveTheirSlotsToOrdinaryCallers)
{
  Fixture fixture;
  const Client& waits = fixture.Open("GET /wait HTTP/1.1\r\n\r\n");
  CHECK(fixture.RunUntil([&] { return fixture.waiting.size() == 1; }));
  for (std::size_t i = 1; i < kConnections; ++i) {
    fixture.Open("POST /a HTTP/1.1\r\n");
  }
  CHECK(fixture.RunUntil(
    [&] { return fixture.listener.Connections() == kConnections; }));
  for (int i = 0; i < 6; ++i) {
    Client& ordinary = fixture.Open(WithLength("{}"));
    CHECK(fixture.RunUntil([&] { return !ordinary.reply.empty(); }));
    CHECK(ordinary.HasStatus("200"));
    ordinary.Close();
  }
  fixture.waiting.front()(OutgoingReply());
  CHECK(fixture.RunUntil([&] { return !waits.reply.empty(); }));
  CHECK(waits.HasStatus("200"));
}

// Guards against replies that nobody reads and that are not charged, or keep
// others from their replies.
TEST(HttpLimits, UnreadRepliesGiveWay)
{
  Fixture fixture;
  for (int i = 0; i < 3; ++i) {
    fixture.Open("GET /large HTTP/1.1\r\n\r\n", false);
  }
  CHECK(fixture.RunUntil(
    [&] { return fixture.counts.Value(RequestError::ReplyNotRead) == 1; }));
  CHECK(fixture.RunUntil(
    [&] { return fixture.memory->ChargedBytes() <= kBudget; }));
  CHECK(fixture.memory->ChargedBytes() > kReplyBytes);
  const Client& ordinary = fixture.Open(WithLength("{}"));
  CHECK(fixture.RunUntil([&] { return !ordinary.reply.empty(); }));
  CHECK(ordinary.HasStatus("200"));
}

// Guards against a lack of memory that nobody counts, and against memory that
// stays reserved after the reply.
TEST(HttpLimits, CountsWhatIsNotReserved)
{
  const struct
  {
    const char* target;
    RequestError error; //!< Count: it is reserved.
  } kRows[] = { { "/reserve/500000", RequestError::DocumentTooLarge },
                { "/reserve/400000", RequestError::Count },
                { "/reserve/430000", RequestError::MemoryExhausted } };
  Fixture fixture;
  fixture.Open("GET /wait HTTP/1.1\r\n\r\n");
  fixture.Open(kPost + "Content-Length: 262144\r\n\r\n");
  CHECK(fixture.RunUntil([&] { return fixture.waiting.size() == 1; }));
  const auto held = std::make_unique<MemoryReservation>(fixture.memory);
  CHECK(held->Add(kBudget - 430000) == ReserveOutcome::Reserved);
  for (const auto& row : kRows) {
    const std::size_t charged = fixture.memory->ChargedBytes();
    Client& client =
      fixture.Open(std::string("GET ") + row.target + " HTTP/1.1\r\n\r\n");
    CHECK_TEXT(fixture.RunUntil([&] { return !client.reply.empty(); }),
               row.target);
    if (row.error != RequestError::Count) {
      LONGS_EQUAL_TEXT(1, fixture.counts.Value(row.error), row.target);
    }
    client.Close();
    CHECK_TEXT(fixture.RunUntil(
                 [&] { return fixture.memory->ChargedBytes() <= charged; }),
               row.target);
  }
}

// Guards against limits of the operator that apply only after a restart.
TEST(HttpLimits, LimitsChangeForTheNextRequest)
{
  Fixture fixture;
  fixture.listener.SetMessageLimits(1024, 100);
  const Client& body = fixture.Open(WithLength(std::string(101, 'x')));
  const Client& header = fixture.Open(
    "GET /a HTTP/1.1\r\nX: " + std::string(2000, 'x') + "\r\n\r\n");
  CHECK(fixture.RunUntil(
    [&] { return !body.reply.empty() && !header.reply.empty(); }));
  CHECK(body.HasStatus("413"));
  CHECK(header.HasStatus("431"));
}

// Guards against requests read in the wrong order or cut where one read ends.
TEST(HttpLimits, KeepsPipelinedRequestsApart)
{
  Fixture fixture;
  const std::string bodies[] = { "", std::string(7000, 'x'), "abc" };
  std::string bytes;
  for (const std::string& body : bodies) {
    bytes += WithLength(body);
  }
  const Client& client = fixture.Open(bytes);
  CHECK(fixture.RunUntil([&] { return fixture.handled == 3; }));
  CHECK(fixture.RunUntil(
    [&] { return client.reply.size() > 4 && client.reply.back() == '3'; }));
  std::size_t at = 0;
  for (const char* size : { "\r\n\r\n0", "\r\n\r\n7000", "\r\n\r\n3" }) {
    at = client.reply.find(size, at);
    CHECK_TEXT(at != std::string::npos, size);
  }
}
