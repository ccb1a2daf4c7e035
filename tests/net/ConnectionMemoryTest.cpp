#include "net/ConnectionMemory.h"
#include "net/ConnectionPlan.h"
#include "net/MemoryReservation.h"

#include <memory>
#include <string>
#include <vector>

// Last, because its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace hemlockhaven;

namespace {

using Phase = ConnectionPhase;

constexpr std::size_t kBudget = 1000000;

//! A connection of the table: its listener, phase, bytes and start.
struct Held
{
  char name;
  char listener;
  Phase phase;
  std::size_t bytes;
  int startMs;
};

//! The connections, one that then holds the bytes, and those that give way.
struct BudgetRow
{
  const char* guardsAgainst;
  std::vector<Held> held;
  Held next;
  const char* giveWay; //!< In this order.
  bool mayGoOn;        //!< The one that grows.
};

const BudgetRow kBudgetRows[] = {
  { "a connection dropped although the budget suffices",
    { { 'a', 'l', Phase::Receiving, 600000, 0 } },
    { 'z', 'l', Phase::Receiving, 400000, 1 },
    "",
    true },
  { "an ordinary request dropped for a large unfinished body",
    { { 'a', 'l', Phase::Receiving, 990000, 0 },
      { 'b', 'l', Phase::Receiving, 9000, 0 } },
    { 'z', 'l', Phase::Receiving, 4000, 1 },
    "a",
    true },
  { "the smaller of two bodies dropped first",
    { { 'a', 'l', Phase::Receiving, 300000, 0 },
      { 'b', 'l', Phase::Receiving, 680000, 5 } },
    { 'z', 'l', Phase::Receiving, 30000, 9 },
    "b",
    true },
  { "the faster of two equally large bodies dropped first",
    { { 'a', 'l', Phase::Receiving, 490000, 5 },
      { 'b', 'l', Phase::Receiving, 490000, 3 } },
    { 'z', 'l', Phase::Receiving, 30000, 9 },
    "b",
    true },
  { "other connections dropped for the largest one that grows",
    { { 'a', 'l', Phase::Receiving, 250000, 0 },
      { 'b', 'l', Phase::Waiting, 250000, 0 } },
    { 'z', 'l', Phase::Receiving, 510000, 1 },
    "",
    false },
  { "accepted work dropped for later work",
    { { 'a', 'l', Phase::Waiting, 990000, 0 },
      { 'b', 'l', Phase::Answering, 9000, 0 } },
    { 'z', 'l', Phase::Receiving, 4000, 1 },
    "",
    false },
  { "a reply that is never read keeps others from theirs",
    { { 'a', 'l', Phase::Answering, 600000, 0 },
      { 'b', 'l', Phase::Answering, 300000, 0 } },
    { 'z', 'l', Phase::Answering, 200000, 1 },
    "a",
    true },
  { "a reply dropped before an unfinished request",
    { { 'a', 'l', Phase::Answering, 600000, 0 },
      { 'b', 'l', Phase::Receiving, 390000, 0 } },
    { 'z', 'l', Phase::Answering, 20000, 1 },
    "b",
    true },
  { "too few connections dropped for a large one",
    { { 'a', 'l', Phase::Receiving, 450000, 0 },
      { 'b', 'l', Phase::Receiving, 450000, 1 },
      { 'c', 'l', Phase::Receiving, 90000, 2 } },
    { 'z', 'l', Phase::Answering, 500000, 3 },
    "ab",
    true },
  { "a budget for each listener instead of one for the process",
    { { 'a', 'm', Phase::Receiving, 990000, 0 } },
    { 'z', 'l', Phase::Receiving, 20000, 1 },
    "a",
    true },
};

//! A listener whose connections are all taken.
struct FullRow
{
  const char* guardsAgainst;
  std::vector<Held> held;
  const char* givesWay; //!< Empty: none does.
};

const FullRow kFullRows[] = {
  { "callers that wait, or keep a connection, closed for new ones",
    { { 'a', 'l', Phase::Waiting, 5000, 0 },
      { 'b', 'l', Phase::Idle, 5000, 0 },
      { 'c', 'l', Phase::Answering, 5000, 0 } },
    "" },
  { "a connection of another listener closed, which makes no room",
    { { 'a', 'm', Phase::Receiving, 5000, 0 } },
    "" },
  { "the request that arrived last closed, instead of the slowest",
    { { 'a', 'l', Phase::Receiving, 3000, 9000 },
      { 'b', 'l', Phase::Receiving, 2500, 100 },
      { 'c', 'l', Phase::Receiving, 4000, 9900 } },
    "b" },
  { "a refused client that goes on sending kept before a request",
    { { 'a', 'l', Phase::Receiving, 3000, 0 },
      { 'b', 'l', Phase::Discarding, 2500, 9000 } },
    "b" },
  { "slots held by connections that send nothing",
    { { 'a', 'l', Phase::Silent, 2500, 0 },
      { 'b', 'l', Phase::Waiting, 2500, 0 } },
    "a" },
  { "a connection closed that has only just been opened",
    { { 'a', 'l', Phase::Silent, 2500, 9000 } },
    "" },
};

constexpr int kNowMs = 10000;

TimePoint At(int aMilliseconds)
{
  return TimePoint(std::chrono::milliseconds(aMilliseconds));
}

//! Connections by name, and the names of those that were asked to give way.
class Connections
{
public:
  explicit Connections(const std::vector<Held>& aHeld)
  {
    for (const Held& held : aHeld) {
      CHECK(Add(held));
    }
  }

  bool Add(const Held& aHeld)
  {
    const auto id =
      memory.Open(ListenerOf(aHeld.listener),
                  At(aHeld.startMs),
                  [this, name = aHeld.name](GiveWayCause) { giveWay += name; });
    return memory.Update(id, aHeld.phase, aHeld.bytes, At(aHeld.startMs));
  }

  static ConnectionMemory::ListenerId ListenerOf(char aName)
  {
    static const char kListeners[] = { 'l', 'm' };
    return &kListeners[aName == 'l' ? 0 : 1];
  }

  std::string giveWay;
  ConnectionMemory memory{ kBudget };
};

struct PlanRow
{
  const char* guardsAgainst;
  std::size_t memoryMb;
  std::size_t descriptors;
};

const PlanRow kPlanRows[] = {
  { "the smallest machines run out of memory", 120, 3075 },
  { "many descriptors on a machine with little memory", 120, 1048576 },
  { "the largest daemons run out of memory", 512, 10250 },
};

}

TEST_GROUP(ConnectionMemory){};

TEST(ConnectionMemory, ChoosesWhatGivesWayToTheBudget)
{
  for (const BudgetRow& row : kBudgetRows) {
    Connections connections(row.held);
    CHECK_EQUAL_TEXT(row.mayGoOn, connections.Add(row.next), row.guardsAgainst);
    STRCMP_EQUAL_TEXT(
      row.giveWay, connections.giveWay.c_str(), row.guardsAgainst);
  }
}

TEST(ConnectionMemory, ChoosesWhatGivesWayToANewConnection)
{
  for (const FullRow& row : kFullRows) {
    Connections connections(row.held);
    CHECK_EQUAL_TEXT(
      !std::string(row.givesWay).empty(),
      connections.memory.MakeRoom(Connections::ListenerOf('l'), At(kNowMs)),
      row.guardsAgainst);
    STRCMP_EQUAL_TEXT(
      row.givesWay, connections.giveWay.c_str(), row.guardsAgainst);
  }
}

// Guards against charges that stay after the end of their connection, which
// would make the budget shrink.
TEST(ConnectionMemory, ClosedConnectionsHoldNothing)
{
  ConnectionMemory memory(kBudget);
  for (int i = 0; i < 20; ++i) {
    const auto id = memory.Open(nullptr, At(i), [](GiveWayCause) {});
    CHECK(memory.Update(id, Phase::Receiving, kBudget, At(i)));
    CHECK(memory.Update(id, Phase::Waiting, kBudget / 2, At(i)));
    LONGS_EQUAL(kBudget / 2, memory.ChargedBytes());
    memory.Close(id);
    LONGS_EQUAL(0, memory.ChargedBytes());
  }
}

// Guards against one connection chosen twice, and against more of them dropped
// than needed, while the first one has not released its memory yet.
TEST(ConnectionMemory, CountsOnConnectionsThatGiveWay)
{
  Connections connections({ { 'a', 'l', Phase::Receiving, 900000, 0 },
                            { 'b', 'l', Phase::Receiving, 90000, 0 } });
  CHECK(connections.Add({ 'c', 'l', Phase::Receiving, 50000, 1 }));
  CHECK(connections.Add({ 'd', 'l', Phase::Receiving, 50000, 2 }));
  STRCMP_EQUAL("a", connections.giveWay.c_str());
  CHECK_FALSE(connections.memory.Update(1, Phase::Receiving, 950000, At(3)));
  connections.memory.Close(1);
  LONGS_EQUAL(190000, connections.memory.ChargedBytes());
}

// Guards against memory without a bound while connections that give way have
// not released theirs.
TEST(ConnectionMemory, BoundsWhatGivesWay)
{
  constexpr std::size_t kBytes = 100000;
  Connections connections({});
  for (int i = 0; i < 100; ++i) {
    static_cast<void>(
      connections.Add({ 'a', 'l', Phase::Receiving, kBytes, i }));
  }
  // A refused connection holds its bytes until it is closed.
  CHECK(connections.memory.ChargedBytes() > kBudget);
  std::size_t allowed = 0;
  for (int i = 100; i < 110; ++i) {
    allowed +=
      connections.Add({ 'b', 'l', Phase::Receiving, kBytes, i }) ? 1 : 0;
  }
  LONGS_EQUAL(0, allowed);
}

// Guards against memory that counts as held although its connection has
// released it to give way.
TEST(ConnectionMemory, ReleasesWhatGivesWay)
{
  Connections connections({ { 'a', 'l', Phase::Receiving, 900000, 0 },
                            { 'b', 'l', Phase::Receiving, 90000, 0 } });
  CHECK(connections.Add({ 'c', 'l', Phase::Receiving, 50000, 1 }));
  STRCMP_EQUAL("a", connections.giveWay.c_str());
  CHECK_FALSE(connections.memory.Update(1, Phase::Receiving, 3000, At(2)));
  LONGS_EQUAL(143000, connections.memory.ChargedBytes());
  CHECK(connections.Add({ 'd', 'l', Phase::Receiving, 850000, 3 }));
  STRCMP_EQUAL("a", connections.giveWay.c_str());
  connections.memory.Close(1);
  LONGS_EQUAL(990000, connections.memory.ChargedBytes());
}

//! A request that reserves memory beside the connections.
struct ReserveRow
{
  const char* guardsAgainst;
  std::vector<Held> held;
  std::size_t bytes;
  const char* giveWay; //!< In this order.
  ReserveOutcome outcome;
};

const ReserveRow kReserveRows[] = {
  { "memory refused although the budget suffices",
    { { 'a', 'l', Phase::Receiving, 500000, 0 } },
    500000,
    "",
    ReserveOutcome::Reserved },
  { "a request refused for bodies that may never be complete",
    { { 'a', 'l', Phase::Receiving, 500000, 0 },
      { 'b', 'l', Phase::Receiving, 480000, 1 } },
    30000,
    "a",
    ReserveOutcome::Reserved },
  { "a request refused for a reply that is never read",
    { { 'a', 'l', Phase::Answering, 990000, 0 } },
    30000,
    "a",
    ReserveOutcome::Reserved },
  { "requests dropped for one that needs more than they hold",
    { { 'a', 'l', Phase::Receiving, 300000, 0 },
      { 'b', 'l', Phase::Receiving, 300000, 1 } },
    500000,
    "",
    ReserveOutcome::Exhausted },
  { "accepted work dropped for later work",
    { { 'a', 'l', Phase::Waiting, 990000, 0 } },
    20000,
    "",
    ReserveOutcome::Exhausted },
  { "a wait for memory that no request gets",
    {},
    700000,
    "",
    ReserveOutcome::TooLarge },
};

TEST(ConnectionMemory, ReservesForRequests)
{
  for (const ReserveRow& row : kReserveRows) {
    // The connections release their memory later, as on another thread.
    const auto memory = std::make_shared<ConnectionMemory>(kBudget);
    std::string giveWay;
    std::size_t held = 0;
    for (const Held& connection : row.held) {
      const auto id = memory->Open(
        nullptr,
        At(connection.startMs),
        [&giveWay, name = connection.name](GiveWayCause) { giveWay += name; });
      CHECK(memory->Update(
        id, connection.phase, connection.bytes, At(connection.startMs)));
      held += connection.bytes;
    }
    {
      MemoryReservation reservation(memory);
      CHECK_TEXT(reservation.Add(row.bytes) == row.outcome, row.guardsAgainst);
      const bool isReserved = row.outcome == ReserveOutcome::Reserved;
      LONGS_EQUAL_TEXT(
        isReserved ? row.bytes : 0, reservation.Bytes(), row.guardsAgainst);
      LONGS_EQUAL_TEXT(
        held + reservation.Bytes(), memory->ChargedBytes(), row.guardsAgainst);
    }
    STRCMP_EQUAL_TEXT(row.giveWay, giveWay.c_str(), row.guardsAgainst);
    LONGS_EQUAL_TEXT(held, memory->ChargedBytes(), row.guardsAgainst);
  }
}

//! Connections that hold and then release bytes.
struct ReturnRow
{
  const char* guardsAgainst;
  std::size_t connections;
  std::size_t bytes;
  int returns; //!< Calls of the hook.
};

const ReturnRow kReturnRows[] = {
  { "freed bodies that stay in the heap beside new ones", 4, 125000, 4 },
  { "a call for each body", 4, 62500, 2 },
  { "calls for ordinary requests", 100, 20000, 0 },
};

TEST(ConnectionMemory, ReturnsWhatLargeRequestsHaveFreed)
{
  for (const ReturnRow& row : kReturnRows) {
    int returns = 0;
    ConnectionMemory memory(kBudget, [&returns] { ++returns; });
    for (std::size_t i = 0; i < row.connections; ++i) {
      const auto id = memory.Open(nullptr, At(0), [](GiveWayCause) {});
      CHECK(memory.Update(id, Phase::Receiving, row.bytes, At(0)));
      CHECK(memory.Update(id, Phase::Answering, 0, At(1)));
      memory.Close(id);
    }
    LONGS_EQUAL_TEXT(row.returns, returns, row.guardsAgainst);
  }
}

TEST_GROUP(ConnectionPlan){};

TEST(ConnectionPlan, LeavesMemoryAndDescriptorsToTheProcess)
{
  constexpr std::size_t kWanted = 3000;
  constexpr std::size_t kProcessMb = 20;
  for (const PlanRow& row : kPlanRows) {
    const ConnectionPlan plan =
      PlanConnections(row.memoryMb, row.descriptors, kWanted);
    const std::size_t connections = plan.connections + 2 * kCheckConnections;
    const std::size_t bytes =
      plan.budgetBytes +
      connections * (plan.receiveBufferBytes + plan.sendBufferBytes);
    CHECK_TEXT(bytes / 1000000 + kProcessMb <= row.memoryMb, row.guardsAgainst);
    CHECK_TEXT(connections < row.descriptors * 2 / 3, row.guardsAgainst);
  }
}
