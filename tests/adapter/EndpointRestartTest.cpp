// An endpoint may restart as another kind between its last reply and a start. A
// start that was meant for the earlier incarnation must not run there, whether
// or not the connection's end was noticed.
#include "net/HttpListener.h"
#include "platform/EndpointCommandClient.h"
#include "platform/Protocol.h"

#include <CppUTest/TestHarness.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

using namespace hemlockhaven;
using namespace hemlockhaven::Platform;

namespace {

namespace net = boost::asio;

constexpr std::int64_t kFirstStartMs = 1000;
constexpr std::int64_t kSecondStartMs = 2000;

//! An endpoint that can restart at its address, and a client.
class Fixture
{
public:
  Fixture() { StartEndpoint(kFirstStartMs); }

  void StartEndpoint(std::int64_t aStartMs)
  {
    if (listener_) {
      listener_->Drain(); // Closes its connections, as the end of a process.
      context_.poll();
      context_.restart();
      listener_.reset();
    }
    startMs_ = aStartMs;
    listener_ = std::make_unique<HttpListener>(
      context_,
      net::ip::tcp::endpoint{ net::ip::make_address("127.0.0.1"), port_ },
      HttpListener::Limits(),
      [this](const IncomingRequest& aRequest, const ReplyHook& aReply) {
        OutgoingReply reply;
        if (aRequest.target == Protocol::kRunStartPath) {
          ++runs;
          reply.body = R"({"clock_ms":5})";
        } else {
          ++polls;
          reply.body = R"({"clock_ms":5,"born":)" + std::to_string(startMs_) +
                       R"(,"running":[],"finished":[]})";
        }
        aReply(std::move(reply));
        return DisconnectHook();
      });
    port_ = listener_->Port();
  }

  void Poll()
  {
    PollCommand command;
    command.target = Target();
    WaitFor<PollResult>([this, &command](auto aDone) {
      client_.Poll(command, std::move(aDone));
    });
  }

  CommandOutcome Start(std::int64_t aIncarnationStartMs)
  {
    StartCommand command;
    command.target = Target();
    command.run = { { "w", 0, 0 }, 1 };
    command.deadlineClockMs = 100;
    command.incarnationStartMs = aIncarnationStartMs;
    return WaitFor<CommandReply>([this, &command](auto aDone) {
             client_.Start(command, std::move(aDone));
           })
      .outcome;
  }

  int runs = 0;
  int polls = 0;

private:
  CommandTarget Target() const
  {
    return { "e", "127.0.0.1:" + std::to_string(port_), 7 };
  }

  template<typename Reply>
  Reply WaitFor(const std::function<void(std::function<void(Reply)>)>& aSend)
  {
    std::optional<Reply> reply;
    aSend([&reply](Reply aReply) { reply = std::move(aReply); });
    for (int step = 0; step < 500 && !reply; ++step) {
      context_.run_for(std::chrono::milliseconds(10));
      context_.restart();
    }
    CHECK(reply.has_value());
    return *reply;
  }

  net::io_context context_;
  HttpClient http_{ context_, HttpClient::Limits() };
  EndpointCommandClient client_{ http_ };
  std::int64_t startMs_ = 0;
  std::uint16_t port_ = 0;
  std::unique_ptr<HttpListener> listener_;
};

struct RestartRow
{
  const char* guardsAgainst;
  std::function<void(Fixture&)> arrange;
  std::int64_t incarnationStartMs; //!< That the start is meant for.
  CommandOutcome outcome;
  int runs;
};

const RestartRow kRestartRows[] = {
  { "a start in another incarnation, on a connection opened since",
    [](Fixture& aFixture) {
      aFixture.Poll();
      aFixture.StartEndpoint(kSecondStartMs);
    },
    kFirstStartMs,
    CommandOutcome::WrongIncarnation,
    0 },
  { "a start in another incarnation, on the connection of a poll",
    [](Fixture& aFixture) {
      aFixture.StartEndpoint(kSecondStartMs);
      aFixture.Poll();
    },
    kFirstStartMs,
    CommandOutcome::WrongIncarnation,
    0 },
  { "no start after the restart became known",
    [](Fixture& aFixture) {
      aFixture.Poll();
      aFixture.StartEndpoint(kSecondStartMs);
      aFixture.Poll();
    },
    kSecondStartMs,
    CommandOutcome::Accepted,
    1 },
  { "no start at an endpoint whose replies name no incarnation",
    [](Fixture& aFixture) { aFixture.StartEndpoint(0); },
    0,
    CommandOutcome::Accepted,
    1 },
};

}

TEST_GROUP(EndpointRestart){};

TEST(EndpointRestart, StartsRunInTheIncarnationThatTheyWereMeantFor)
{
  for (const RestartRow& row : kRestartRows) {
    Fixture fixture;
    row.arrange(fixture);
    const CommandOutcome outcome = fixture.Start(row.incarnationStartMs);
    LONGS_EQUAL_TEXT(row.runs, fixture.runs, row.guardsAgainst);
    LONGS_EQUAL_TEXT(static_cast<int>(row.outcome),
                     static_cast<int>(outcome),
                     row.guardsAgainst);
  }
}
