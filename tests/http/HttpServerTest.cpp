#include "http/HttpServer.h"

#include "http/RawSocket.h"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

// Last, because its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace hemlockhaven;

namespace {

constexpr std::size_t kBodyBytes = 1000;

HttpServer::Options MakeOptions(std::uint16_t aPort)
{
  HttpServer::Options options;
  options.port = aPort;
  options.maxThreads = 4;
  options.bodyBytes = kBodyBytes;
  options.connections = 16;
  options.readTimeout = std::chrono::milliseconds(300);
  return options;
}

//! Answers with the size of the body.
HttpReply Echo(const HttpRequestView& aRequest)
{
  HttpReply reply;
  reply.body = { { "path", aRequest.path }, { "size", aRequest.body.size() } };
  return reply;
}

//! Bytes on a raw connection and the status of the reply.
struct BytesRow
{
  const char* guardsAgainst;
  std::string bytes;
  bool endsSending; //!< The client closes its side after the bytes.
  int status;       //!< 0: the connection closes without a reply.
};

const BytesRow kBytesRows[] = {
  { "refusing a whole request", RequestText("PUT", "/a", "body"), false, 200 },
  { "a body at the bound that is refused",
    RequestText("PUT", "/a", std::string(kBodyBytes, 'x')),
    false,
    200 },
  { "a body over the bound that reaches the parser",
    RequestText("PUT", "/a", std::string(kBodyBytes + 1, 'x')),
    false,
    413 },
  { "a huge declared size that is waited for or reserved",
    "PUT /a HTTP/1.1\r\nContent-Length: 999999999999\r\n\r\n",
    false,
    413 },
  { "a size that wraps around",
    "PUT /a HTTP/1.1\r\nContent-Length: 18446744073709551617\r\n\r\n",
    false,
    400 },
  { "a negative size",
    "PUT /a HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
    false,
    400 },
  { "two sizes of which peers choose different ones",
    "PUT /a HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx",
    false,
    400 },
  { "a chunked body that passes the bound",
    "PUT /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    false,
    400 },
  { "a body that was cut off and is taken as whole",
    "PUT /a HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc",
    true,
    0 },
  { "a header that was cut off", "PUT /a HT", true, 0 },
};

}

TEST_BASE(ServerFixture)
{
  std::uint16_t port = 0;
  std::unique_ptr<HttpServer> server;

  void Start(HttpServer::Handler aHandler)
  {
    port = FreePort();
    server =
      std::make_unique<HttpServer>(MakeOptions(port), std::move(aHandler));
  }

  std::string Ask(const std::string& aBytes, bool aEnds = false) const
  {
    const RawSocket socket(port);
    socket.Send(aBytes);
    if (aEnds) {
      socket.EndSending();
    }
    return socket.ReadReply();
  }
};

TEST_GROUP_BASE(HttpServer, ServerFixture){};

TEST(HttpServer, AnswersBytesAsTheTableSays)
{
  Start(Echo);
  for (const BytesRow& row : kBytesRows) {
    const std::string reply = Ask(row.bytes, row.endsSending);
    LONGS_EQUAL_TEXT(row.status, StatusIn(reply), row.guardsAgainst);
    // The others are served all the same.
    LONGS_EQUAL_TEXT(
      200, StatusIn(Ask(RequestText("GET", "/other"))), row.guardsAgainst);
  }
}

// Guards against a header that is too long and breaks the server.
TEST(HttpServer, RefusesLongHeaders)
{
  Start(Echo);
  const std::string rows[] = {
    "GET /a HTTP/1.1\r\nX: " + std::string(20'000, 'x') + "\r\n\r\n",
    "GET /" + std::string(200'000, 'x') + " HTTP/1.1\r\n\r\n",
  };
  for (const std::string& bytes : rows) {
    const int status = StatusIn(Ask(bytes));
    CHECK_TEXT(status == 0 || (status >= 400 && status < 500),
               bytes.substr(0, 20).c_str());
    LONGS_EQUAL(200, StatusIn(Ask(RequestText("GET", "/other"))));
  }
}

// Guards against a next request on the connection that is read as a body.
TEST(HttpServer, KeepsPipelinedRequestsApart)
{
  Start(Echo);
  const RawSocket socket(port);
  socket.Send(RequestText("PUT", "/a", "12") + RequestText("PUT", "/b", "345"));
  STRCMP_EQUAL(R"({"path":"/a","size":2})",
               BodyIn(socket.ReadReply()).substr(0, 22).c_str());
}

// Guards against connections that send nothing and hold all threads.
TEST(HttpServer, SlowConnectionsHoldNoThread)
{
  Start(Echo);
  std::vector<std::unique_ptr<RawSocket>> slow;
  for (int i = 0; i < 12; ++i) {
    slow.push_back(std::make_unique<RawSocket>(port));
    slow.back()->Send("PUT /slow HTTP/1.1\r\nContent-Length: 5\r\n\r\nx");
  }
  LONGS_EQUAL(200, StatusIn(Ask(RequestText("GET", "/other"))));
  // Each is closed by the read timeout.
  for (const auto& socket : slow) {
    CHECK(StatusIn(socket->ReadReply()) != 200);
  }
}

// Guards against an unbounded number of connections, and against a count that
// does not fall when they close.
TEST(HttpServer, BoundsConnections)
{
  Start(Echo);
  for (int round = 0; round < 2; ++round) {
    std::vector<std::unique_ptr<RawSocket>> kept;
    for (int i = 0; i < 16; ++i) {
      kept.push_back(std::make_unique<RawSocket>(port));
      kept.back()->Send(RequestText("GET", "/a"));
      LONGS_EQUAL(200, StatusIn(kept.back()->ReadReply()));
    }
    const std::string refused = Ask(RequestText("GET", "/a"));
    LONGS_EQUAL(429, StatusIn(refused));
    CHECK(refused.find("Retry-After: 1\r\n") != std::string::npos);
    kept.clear();
    // The ends of the connections are seen a little later.
    while (StatusIn(Ask(RequestText("GET", "/a"))) != 200) {
      ::usleep(10'000);
    }
  }
}

// Guards against an exception in a handler that ends the process.
TEST(HttpServer, AnswersExceptionsWithInternal)
{
  Start([](const HttpRequestView&) -> HttpReply {
    throw std::runtime_error("fault");
  });
  LONGS_EQUAL(500, StatusIn(Ask(RequestText("GET", "/a"))));
}

TEST_GROUP_BASE(HttpServerNoHttp, ServerFixture){};

// Guards against text that is not HTTP which breaks the server or is called a
// fault of the server.
TEST(HttpServerNoHttp, RefusesWhatIsNoRequest)
{
  Start(Echo);
  const std::string rows[] = {
    std::string("\x16\x03\x01\x02\x00\x01", 6) + "\r\n\r\n",
    "NONSENSE\r\n\r\n",
  };
  for (const std::string& bytes : rows) {
    const int status = StatusIn(Ask(bytes));
    LONGS_EQUAL(200, StatusIn(Ask(RequestText("GET", "/other"))));
    CHECK_TEXT(status == 0 || (status >= 400 && status < 500), bytes.c_str());
  }
}
