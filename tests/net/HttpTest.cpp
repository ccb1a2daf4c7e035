#include "net/Address.h"
#include "net/HttpClient.h"
#include "net/HttpListener.h"

#include <CppUTest/TestHarness.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

using namespace hemlockhaven;

namespace {

namespace net = boost::asio;

bool RunUntil(net::io_context& aContext, const std::function<bool()>& aIsDone)
{
  for (int step = 0; step < 500 && !aIsDone(); ++step) {
    aContext.run_for(std::chrono::milliseconds(10));
    aContext.restart();
  }
  return aIsDone();
}

//! A listener with the handler of the test, and a client.
class HttpFixture
{
public:
  explicit HttpFixture(RequestHandler aHandler)
    : listener(context,
               { net::ip::make_address("127.0.0.1"), 0 },
               HttpListener::Limits(),
               std::move(aHandler))
    , client(context, HttpClient::Limits())
  {
  }

  HttpRequest MakeRequest(const std::string& aTarget)
  {
    HttpRequest request;
    request.address = "127.0.0.1:" + std::to_string(listener.Port());
    request.method = "POST";
    request.target = aTarget;
    request.body = "{}";
    return request;
  }

  HttpResult SendAndWait(HttpRequest aRequest)
  {
    HttpResult result;
    bool done = false;
    client.Send(std::move(aRequest), [&](HttpResult aResult) {
      result = std::move(aResult);
      done = true;
    });
    CHECK(RunUntil(context, [&] { return done; }));
    return result;
  }

  //! Sends raw bytes on a new connection and returns the response.
  std::string SendRaw(std::string_view aBytes)
  {
    auto socket = std::make_shared<net::ip::tcp::socket>(context);
    socket->connect({ net::ip::make_address("127.0.0.1"), listener.Port() });
    net::write(*socket, net::buffer(aBytes.data(), aBytes.size()));
    std::string response;
    bool ended = false;
    std::array<char, 4096> buffer{};
    std::function<void()> read = [&] {
      socket->async_read_some(net::buffer(buffer),
                              [&](const auto& aError, std::size_t aCount) {
                                response.append(buffer.data(), aCount);
                                if (aError) {
                                  ended = true;
                                } else {
                                  read();
                                }
                              });
    };
    read();
    RunUntil(context, [&] {
      return ended || response.find("\r\n\r\n") != response.npos;
    });
    boost::system::error_code ignored;
    socket->close(ignored);
    RunUntil(context, [&] { return ended; });
    return response;
  }

  net::io_context context;
  HttpListener listener;
  HttpClient client;
};

DisconnectHook Echo(const IncomingRequest& aRequest, const ReplyHook& aReply)
{
  OutgoingReply reply;
  reply.body = std::string(aRequest.method) + std::string(aRequest.target) +
               std::string(aRequest.header("Host").substr(0, 9));
  reply.retryAfterSeconds = 3;
  aReply(std::move(reply));
  return nullptr;
}

struct MalformedRow
{
  const char* guardsAgainst;
  std::string bytes;
  const char* status;
};

const MalformedRow kMalformedRows[] = {
  { "input that is not HTTP reported as a server error",
    "hello there\r\n\r\n",
    "HTTP/1.1 400" },
  { "a body of unlimited size",
    "POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n",
    "HTTP/1.1 413" },
  { "headers of unlimited size",
    "GET / HTTP/1.1\r\nX: " + std::string(20000, 'x') + "\r\n\r\n",
    "HTTP/1.1 431" },
  { "refusing a valid request",
    "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
    "HTTP/1.1 200" },
};

struct AddressRow
{
  const char* text;
  bool isValid;
};

constexpr AddressRow kAddressRows[] = {
  { "10.0.0.1:80", true },   { "10.0.0.1", false },       { "host:80", false },
  { "10.0.0.1:0", false },   { "10.0.0.1:70000", false }, { "", false },
  { "10.0.0.1:80x", false },
};

}

TEST_GROUP(HttpListener){};

TEST(HttpListener, ReusesPersistentConnections)
{
  HttpFixture fixture(Echo);
  for (int i = 0; i < 3; ++i) {
    const HttpResult result = fixture.SendAndWait(fixture.MakeRequest("/x"));
    CHECK(result.end == HttpOutcome::Answered);
    LONGS_EQUAL(200, result.status);
    STRCMP_EQUAL("POST/x127.0.0.1", result.body.c_str());
  }
  LONGS_EQUAL(1, fixture.client.OpenedConnections());
}

TEST(HttpListener, MapsRequestErrorsToStatusCodes)
{
  for (const MalformedRow& row : kMalformedRows) {
    HttpFixture fixture(Echo);
    const std::string response = fixture.SendRaw(row.bytes);
    STRNCMP_EQUAL_TEXT(row.status, response.c_str(), 12, row.guardsAgainst);
  }
}

TEST(HttpListener, DetectsCallerDisconnect)
{
  bool left = false;
  ReplyHook heldReply;
  HttpFixture fixture(
    [&](const IncomingRequest&, ReplyHook aReply) -> DisconnectHook {
      heldReply = std::move(aReply);
      return [&left] { left = true; };
    });
  HttpRequest request = fixture.MakeRequest("/");
  request.timeout = std::chrono::milliseconds(100);
  CHECK(fixture.SendAndWait(request).end == HttpOutcome::Unknown);
  CHECK(RunUntil(fixture.context, [&] { return left; }));
  heldReply(OutgoingReply()); // Must be ignored.
  heldReply = nullptr;        // Must not outlive the I/O context.
}

// A request may wait in the socket while the process is paused; nobody waits
// for its answer then, and the caller may have sent it again elsewhere.
TEST(HttpListener, TellsRequestsOfCallersThatHaveLeft)
{
  int handled = 0;
  HttpFixture fixture(
    [&handled](const IncomingRequest& aRequest, const ReplyHook& aReply) {
      handled += aRequest.hasCallerLeft() ? 0 : 1;
      return Echo(aRequest, aReply);
    });
  const std::string_view request =
    "POST /left HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 2\r\n\r\n{}";
  {
    net::ip::tcp::socket caller(fixture.context);
    caller.connect(
      { net::ip::make_address("127.0.0.1"), fixture.listener.Port() });
    net::write(caller, net::buffer(request.data(), request.size()));
  }
  const HttpResult other = fixture.SendAndWait(fixture.MakeRequest("/stays"));
  LONGS_EQUAL(200, other.status);
  LONGS_EQUAL(1, handled);
}

TEST(HttpListener, DrainClosesIdleConnectionsAndAnswersPendingRequests)
{
  ReplyHook heldReply;
  HttpFixture fixture(
    [&](const IncomingRequest& aRequest, ReplyHook aReply) -> DisconnectHook {
      if (aRequest.target == "/wait") {
        heldReply = std::move(aReply);
      } else {
        aReply(OutgoingReply());
      }
      return nullptr;
    });
  HttpResult waited;
  bool done = false;
  fixture.client.Send(fixture.MakeRequest("/wait"), [&](HttpResult aResult) {
    waited = std::move(aResult);
    done = true;
  });
  CHECK(RunUntil(fixture.context, [&] { return heldReply != nullptr; }));
  fixture.SendAndWait(fixture.MakeRequest("/idle"));
  LONGS_EQUAL(2, fixture.listener.Connections());
  fixture.listener.Drain();
  CHECK(RunUntil(fixture.context,
                 [&] { return fixture.listener.Connections() == 1; }));
  CHECK_FALSE(done);
  heldReply(OutgoingReply());
  heldReply = nullptr;
  CHECK(RunUntil(fixture.context, [&] { return done; }));
  CHECK(waited.end == HttpOutcome::Answered);
  CHECK(RunUntil(fixture.context,
                 [&] { return fixture.listener.Connections() == 0; }));
}

TEST_GROUP(HttpClient){};

TEST(HttpClient, ReportsUnsentRequests)
{
  HttpFixture fixture(Echo);
  HttpRequest request = fixture.MakeRequest("/");
  request.address = "127.0.0.1:1"; // Nothing listens on port 1.
  CHECK(fixture.SendAndWait(request).end == HttpOutcome::NotSent);
}

TEST(HttpClient, NeverResendsARequest)
{
  int requests = 0;
  HttpFixture fixture(
    [&](const IncomingRequest&, const ReplyHook&) -> DisconnectHook {
      ++requests;
      return [] {};
    });
  HttpRequest request = fixture.MakeRequest("/");
  request.timeout = std::chrono::milliseconds(50);
  CHECK(fixture.SendAndWait(request).end == HttpOutcome::Unknown);
  LONGS_EQUAL(1, requests);
}

TEST_GROUP(Address){};

TEST(Address, ParsesIpAndPort)
{
  for (const AddressRow& row : kAddressRows) {
    CHECK_EQUAL_TEXT(row.isValid, ParseAddress(row.text).has_value(), row.text);
  }
}
