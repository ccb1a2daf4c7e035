#include "link/LinkMessage.h"
#include "link/LinkNetwork.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <chrono>
#include <functional>
#include <random>
#include <string>
#include <variant>
#include <vector>

// Included last because its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace hemlockhaven;

namespace {

namespace net = boost::asio;

Heartbeat MakeHeartbeat(const std::string& aName)
{
  Heartbeat heartbeat;
  heartbeat.from = { aName, "127.0.0.1:1", "z", 0.25, 7 };
  heartbeat.sequence = 5;
  heartbeat.echo = 4;
  heartbeat.leaderToken = 9;
  heartbeat.interval = Duration(70000);
  heartbeat.leaving = true;
  heartbeat.part = "z";
  heartbeat.wantsReply = false;
  heartbeat.endpointsInUse = { 11, 7 };
  heartbeat.knownMembers.push_back({ "other", "127.0.0.1:2", "y", 2, 8 });
  return heartbeat;
}

Work MakeWork()
{
  Work work;
  work.id = "w";
  work.service = "s";
  work.payload = std::string("bytes") + '\0' + "and more";
  WorkStep step;
  step.count = 3;
  step.taskResources = { 1, 2, 3 };
  step.after = { 0 };
  step.requiredLabel = "a";
  step.preferredRack = "r";
  step.sameRack = true;
  work.steps.push_back(step);
  work.stretch = 1.6;
  work.callerTimeout = Duration(5);
  work.submissions = 2;
  work.priorEndpoints = { 12, 6, "z" };
  return work;
}

JobQuery MakeJobQuery()
{
  return { 3, JobQueryKind::Cancel, "w", 8 };
}

//! Runs the context until the condition holds; false after 5 seconds.
bool RunUntil(net::io_context& aContext, const std::function<bool()>& aIsDone)
{
  for (int step = 0; step < 500 && !aIsDone(); ++step) {
    aContext.run_for(std::chrono::milliseconds(10));
  }
  return aIsDone();
}

net::ip::tcp::endpoint AnyPort()
{
  return { net::ip::make_address("127.0.0.1"), 0 };
}

}

TEST_GROUP(LinkMessage){};

TEST(LinkMessage, RoundTripsEachMessage)
{
  const std::string heartbeatBytes = EncodeLinkMessage(MakeHeartbeat("n"));
  const auto decoded = DecodeLinkMessage(heartbeatBytes);
  CHECK(decoded.has_value());
  const Heartbeat& heartbeat = std::get<Heartbeat>(*decoded);
  LONGS_EQUAL(5, heartbeat.sequence);
  LONGS_EQUAL(70000, heartbeat.interval.count());
  LONGS_EQUAL(11, heartbeat.endpointsInUse.listedBy);
  LONGS_EQUAL(7, heartbeat.endpointsInUse.leftFrom);
  CHECK(heartbeat.leaving);
  STRCMP_EQUAL("z", heartbeat.part.c_str());
  CHECK_FALSE(heartbeat.wantsReply);
  STRCMP_EQUAL("other", heartbeat.knownMembers.at(0).name.c_str());

  const std::string workBytes = EncodeLinkMessage(MakeWork());
  const Work work = std::get<Work>(*DecodeLinkMessage(workBytes));
  LONGS_EQUAL(14, work.payload.size());
  LONGS_EQUAL(3, work.steps.at(0).taskResources.accelerators);
  STRCMP_EQUAL("r", work.steps.at(0).preferredRack.c_str());
  CHECK(work.steps.at(0).sameRack);
  LONGS_EQUAL(2, work.submissions);
  LONGS_EQUAL(12, work.priorEndpoints.listedBy);
  LONGS_EQUAL(6, work.priorEndpoints.leftFrom);
  STRCMP_EQUAL("z", work.priorEndpoints.part.c_str());

  WorkAnswer answer;
  answer.workId = "w";
  answer.outcome = WorkOutcome::Refused;
  answer.retryAfter = Duration(9);
  const std::string answerBytes = EncodeLinkMessage(answer);
  const auto answered = std::get<WorkAnswer>(*DecodeLinkMessage(answerBytes));
  CHECK(answered.outcome == WorkOutcome::Refused);
  LONGS_EQUAL(9, answered.retryAfter.count());

  const auto query =
    std::get<JobQuery>(*DecodeLinkMessage(EncodeLinkMessage(MakeJobQuery())));
  LONGS_EQUAL(3, query.id);
  CHECK(query.kind == JobQueryKind::Cancel);
  STRCMP_EQUAL("w", query.workId.c_str());
  LONGS_EQUAL(8, query.term);

  const JobQueryReply sent{ 3, JobState::Running, 9 };
  const auto reply =
    std::get<JobQueryReply>(*DecodeLinkMessage(EncodeLinkMessage(sent)));
  LONGS_EQUAL(3, reply.queryId);
  CHECK(reply.state == JobState::Running);
  LONGS_EQUAL(9, reply.term);
}

// An answer that does not name its submission ends a later one.
TEST(LinkMessage, KeepsTheKeyOfASubmission)
{
  Work work = MakeWork();
  work.key = { std::uint64_t{ 1 } << 60U, 4 };
  const std::string workBytes = EncodeLinkMessage(work);
  CHECK(std::get<Work>(*DecodeLinkMessage(workBytes)).key.Matches(work.key));
  WorkAnswer answer;
  answer.outcome = WorkOutcome::CancelledByCaller;
  answer.key = work.key;
  const std::string answerBytes = EncodeLinkMessage(answer);
  const auto decoded = std::get<WorkAnswer>(*DecodeLinkMessage(answerBytes));
  CHECK(decoded.outcome == WorkOutcome::CancelledByCaller);
  LONGS_EQUAL(4, *decoded.key.number);
  CHECK(decoded.key.Matches(work.key));
  CHECK_FALSE(decoded.key.Matches({ work.key.acceptance, 3 }));
  CHECK_FALSE(decoded.key.Matches({ 1, 4 }));
}

namespace {

//! A frame of the current version with these encoded fields.
std::string PackMessage(std::uint8_t aType, const std::string& aFields)
{
  return std::string{ char(0x93), 5, char(aType) } + aFields;
}

struct BadQueryRow
{
  const char* guardsAgainst;
  std::string bytes;
};

const BadQueryRow kBadQueryRows[] = {
  { "a loss of the sender for a query of an unknown kind",
    PackMessage(4, { char(0x94), 3, 2, char(0xa1), 'w', 0 }) },
  { "the same for a negative id",
    PackMessage(4, { char(0x94), char(0xff), 1, char(0xa1), 'w', 0 }) },
  { "the same for a job id that is a number",
    PackMessage(4, { char(0x94), 3, 1, 7, 0 }) },
  { "the same for missing fields", PackMessage(4, { char(0x91), 3 }) },
  { "the same for fields that are no array", PackMessage(4, { 3 }) },
  { "the same for an empty job id",
    PackMessage(4, { char(0x94), 3, 1, char(0xa0), 0 }) },
  { "the same for a job id that is too long",
    EncodeLinkMessage(
      JobQuery{ 3, JobQueryKind::Cancel, std::string(65, 'a'), 0 }) },
  { "a query over its bound in bytes",
    EncodeLinkMessage(
      JobQuery{ 3, JobQueryKind::Cancel, std::string(300, 'a'), 0 }) },
  { "a reply with an unknown state", PackMessage(5, { char(0x93), 3, 8, 9 }) },
  { "a reply to no query", PackMessage(5, { char(0x93), 0, 2, 9 }) },
  { "a state that was told by no leader",
    PackMessage(5, { char(0x93), 3, 2, 0 }) },
};

bool IsWellFormedQuery(const LinkMessage& aMessage)
{
  if (const auto* query = std::get_if<JobQuery>(&aMessage)) {
    return IsWellFormed(*query);
  }
  const auto* reply = std::get_if<JobQueryReply>(&aMessage);
  return reply != nullptr && IsWellFormed(*reply);
}

}

// A frame that cannot be decoded ends its connection, and with it the work of
// the sender.
TEST(LinkMessage, DecodesBadQueriesAsNotWellFormed)
{
  for (const BadQueryRow& row : kBadQueryRows) {
    const auto decoded = DecodeLinkMessage(row.bytes);
    CHECK_TEXT(decoded.has_value(), row.guardsAgainst);
    CHECK_TEXT(decoded->index() >= 4, row.guardsAgainst);
    CHECK_FALSE_TEXT(IsWellFormedQuery(*decoded), row.guardsAgainst);
  }
}

// Guards against a crash and against bounds that some mutated frame passes.
TEST(LinkMessage, BoundsMutatedQueries)
{
  std::mt19937 random(1); // Fixed seed.
  const LinkMessage samples[] = { MakeJobQuery(),
                                  JobQueryReply{ 3, JobState::Running, 9 } };
  int wellFormed = 0;
  for (int i = 0; i < 20000; ++i) {
    std::string bytes = EncodeLinkMessage(samples[i % 2]);
    for (std::uint32_t change = 0; change <= random() % 3; ++change) {
      const std::size_t at = random() % bytes.size();
      switch (random() % 3) {
        case 0:
          bytes[at] = static_cast<char>(random());
          break;
        case 1:
          bytes.insert(at, random() % 300, static_cast<char>(random()));
          break;
        default:
          bytes.resize(at + 1);
          break;
      }
    }
    const auto decoded = DecodeLinkMessage(bytes);
    if (!decoded || !IsWellFormedQuery(*decoded)) {
      continue;
    }
    ++wellFormed;
    CHECK(bytes.size() <= kMaxJobQueryBytes);
    CHECK(DecodeLinkMessage(EncodeLinkMessage(*decoded)).has_value());
  }
  CHECK(wellFormed > 100);
}

TEST(LinkMessage, RejectsValuesOutOfRange)
{
  Heartbeat heartbeat = MakeHeartbeat("n");
  heartbeat.interval = Duration::max();
  CHECK_FALSE(DecodeLinkMessage(EncodeLinkMessage(heartbeat)).has_value());
  heartbeat.interval = Duration(-1);
  CHECK_FALSE(DecodeLinkMessage(EncodeLinkMessage(heartbeat)).has_value());
  heartbeat = MakeHeartbeat("n");
  heartbeat.electionBackoff = Duration::max();
  CHECK_FALSE(DecodeLinkMessage(EncodeLinkMessage(heartbeat)).has_value());
  // Nested arrays, and an array that claims 2^32 - 1 elements.
  CHECK_FALSE(DecodeLinkMessage(std::string(100000, '\x91')).has_value());
  const std::string huge{ '\xdd', '\xff', '\xff', '\xff', '\xff', '\x01' };
  CHECK_FALSE(DecodeLinkMessage(huge).has_value());
}

TEST(LinkMessage, RejectsTruncatedFramesAndOtherVersions)
{
  const std::string bytes = EncodeLinkMessage(MakeWork());
  for (std::size_t length = 0; length < bytes.size(); ++length) {
    CHECK_FALSE(DecodeLinkMessage({ bytes.data(), length }).has_value());
  }
  // Version 7.
  const std::string otherVersion{ char(0x93), 7, 0, char(0x90) };
  CHECK_FALSE(DecodeLinkMessage(otherVersion).has_value());
}

TEST_GROUP(LinkNetwork){};

TEST(LinkNetwork, DeliversMessagesAndReportsDisconnects)
{
  net::io_context context;
  std::vector<std::string> received;
  std::string disconnected;
  LinkNetwork::Hooks hooks;
  hooks.received = [&received](std::string_view aMember,
                               const LinkMessage& aMessage) {
    received.push_back(std::string(aMember) + std::to_string(aMessage.index()));
  };
  hooks.disconnected = [&disconnected](std::string_view aMember) {
    disconnected = aMember;
  };
  hooks.malformed = [](std::string_view) {};
  LinkNetwork receiver(context, AnyPort(), LinkNetwork::Limits(), hooks);
  const std::string address = "127.0.0.1:" + std::to_string(receiver.Port());
  {
    LinkNetwork sender(context, AnyPort(), LinkNetwork::Limits(), hooks);
    CHECK(sender.Send(address, MakeHeartbeat("a")));
    CHECK(sender.Send(address, MakeWork()));
    CHECK(RunUntil(context, [&] { return received.size() == 2; }));
    sender.Reset(address);
  }
  CHECK(RunUntil(context, [&] { return !disconnected.empty(); }));
  STRCMP_EQUAL("a0", received[0].c_str());
  STRCMP_EQUAL("a1", received[1].c_str());
  STRCMP_EQUAL("a", disconnected.c_str());
}

// A connection may be reset at any time, including between the sender's connect
// and its first write. The sender must reconnect in each case.
TEST(LinkNetwork, ReconnectsAfterResets)
{
  net::io_context context;
  LinkNetwork::Hooks hooks;
  LinkNetwork sender(context, AnyPort(), LinkNetwork::Limits(), hooks);
  net::ip::tcp::acceptor acceptor(context, AnyPort());
  const std::string address =
    "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  constexpr int kResets = 40;
  for (int i = 0; i < kResets; ++i) {
    bool reset = false;
    net::ip::tcp::socket peer(context);
    std::array<char, 4096> bytes{};
    const auto end = [&] {
      boost::system::error_code ignored;
      peer.set_option(net::socket_base::linger(true, 0), ignored);
      peer.close(ignored);
      reset = true;
    };
    acceptor.async_accept(peer, [&](const auto& aError) {
      if (aError || i % 2 == 0) {
        end();
        return;
      }
      peer.async_read_some(net::buffer(bytes),
                           [&](const auto&, std::size_t) { end(); });
    });
    CHECK_TEXT(RunUntil(context,
                        [&] {
                          sender.Send(address, MakeHeartbeat("a"));
                          return reset;
                        }),
               std::to_string(i).c_str());
  }
}

// The end of a silent connection never arrives. Without a close of the older
// one each reopening would hold a descriptor for good.
TEST(LinkNetwork, ClosesTheConnectionThatANewerOneReplaces)
{
  net::io_context context;
  int receivedCount = 0;
  int disconnectCount = 0;
  LinkNetwork::Hooks hooks;
  hooks.received = [&](std::string_view, const LinkMessage&) {
    ++receivedCount;
  };
  hooks.disconnected = [&](std::string_view) { ++disconnectCount; };
  LinkNetwork receiver(context, AnyPort(), LinkNetwork::Limits(), hooks);
  const net::ip::tcp::endpoint address{ net::ip::make_address("127.0.0.1"),
                                        receiver.Port() };
  const std::string body = EncodeLinkMessage(MakeHeartbeat("a"));
  std::string frame(2, '\0');
  frame += static_cast<char>(body.size() >> 8U);
  frame += static_cast<char>(body.size() & 0xffU);
  frame += body;
  net::ip::tcp::socket older(context);
  older.connect(address);
  net::write(older, net::buffer(frame));
  CHECK(RunUntil(context, [&] { return receivedCount == 1; }));
  net::ip::tcp::socket newer(context);
  newer.connect(address);
  net::write(newer, net::buffer(frame));
  bool isClosed = false;
  char byte = 0;
  older.async_read_some(
    net::buffer(&byte, 1),
    [&](const auto& aError, std::size_t) { isClosed = bool(aError); });
  CHECK(RunUntil(context, [&] { return isClosed; }));
  LONGS_EQUAL(2, receivedCount);
  LONGS_EQUAL(0, disconnectCount);
}

namespace {

struct SilentResetRow
{
  const char* guardsAgainst;
  Duration minAge;
  bool isClosed;
};

constexpr SilentResetRow kSilentResetRows[] = {
  { "giving up a link before the other end has had time to answer",
    std::chrono::hours(1),
    false },
  { "keeping a link that has been silent for long", Duration(0), true },
};

}

TEST(LinkNetwork, ResetsALinkThatHasBeenOpenForLong)
{
  for (const SilentResetRow& row : kSilentResetRows) {
    net::io_context context;
    int receivedCount = 0;
    int disconnectCount = 0;
    LinkNetwork::Hooks hooks;
    hooks.received = [&](std::string_view, const LinkMessage&) {
      ++receivedCount;
    };
    hooks.disconnected = [&](std::string_view) { ++disconnectCount; };
    LinkNetwork receiver(context, AnyPort(), LinkNetwork::Limits(), hooks);
    LinkNetwork sender(context, AnyPort(), LinkNetwork::Limits(), hooks);
    const std::string address = "127.0.0.1:" + std::to_string(receiver.Port());
    CHECK_TEXT(sender.Send(address, MakeHeartbeat("a")), row.guardsAgainst);
    CHECK_TEXT(RunUntil(context, [&] { return receivedCount == 1; }),
               row.guardsAgainst);
    sender.ResetIfOpenFor(address, row.minAge);
    if (row.isClosed) {
      CHECK_TEXT(RunUntil(context, [&] { return disconnectCount == 1; }),
                 row.guardsAgainst);
    }
    CHECK_TEXT(sender.Send(address, MakeHeartbeat("a")), row.guardsAgainst);
    if (!row.isClosed) {
      CHECK_TEXT(RunUntil(context, [&] { return receivedCount == 2; }),
                 row.guardsAgainst);
      LONGS_EQUAL_TEXT(0, disconnectCount, row.guardsAgainst);
    }
  }
}

TEST(LinkNetwork, DropsQueuedFramesForAnUnreachableDaemon)
{
  net::io_context context;
  LinkNetwork::Hooks hooks;
  LinkNetwork sender(context, AnyPort(), LinkNetwork::Limits(), hooks);
  // Nothing listens on port 1.
  CHECK(sender.Send("127.0.0.1:1", MakeHeartbeat("a")));
  context.run_for(std::chrono::milliseconds(50));
  CHECK(sender.Send("127.0.0.1:1", MakeHeartbeat("a")));
}
