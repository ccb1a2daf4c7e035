// Fuzzes callers' own keys and reserved ids: several daemons share one log
// with outages, lost answers and retention. The oracle counts starts.

#include "hemlockhaven/identity/ClaimLedger.h"
#include "hemlockhaven/identity/IdIssuer.h"
#include "hemlockhaven/platform/LogReader.h"

#include <rapidcheck.h>

#include <CLI/CLI.hpp>

#include <algorithm>
#include <cstdint>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hemlockhaven {

namespace {

constexpr std::size_t kDaemons = 4;
constexpr std::size_t kOperationsPerRun = 500;
//! Small, so that retention and eviction happen in every run.
constexpr std::size_t kIndexEntries = 12;
constexpr std::size_t kRetained = 10;

//! The log; its payloads need no encoding here.
struct FakeLog
{
  LogOffset start = 0;
  std::vector<ClaimBatch> batches; //!< At each offset since 0.
  bool outage = false;
};

//! What the oracle knows.
struct Oracle
{
  std::map<std::uint64_t, int> keyStarts;
  std::map<std::string, int> idStarts;
  //! Keys that each incarnation started.
  std::set<std::pair<std::uint64_t, std::uint64_t>> startedBy;
  std::uint64_t violations = 0;
};

struct FakeDaemon
{
  Incarnation self;
  std::unique_ptr<ClaimLedger> ledger;
  std::unique_ptr<IdIssuer> ids;
  std::unique_ptr<LogReader> reader;
  std::optional<ClaimBatch> inFlight;
  bool cutOff = false; //!< From the log.
};

//! One run: daemons, log and callers that resubmit.
class World
{
public:
  World(GuardHook aGuard, Oracle& aOracle)
    : guard_(std::move(aGuard))
    , oracle_(aOracle)
    , daemons_(kDaemons)
  {
    for (std::size_t index = 0; index < kDaemons; ++index) {
      Restart(index);
    }
  }

  //! Interprets one random number as an operation.
  void Step(std::uint64_t aChoice)
  {
    const std::size_t index = (aChoice >> 8U) % kDaemons;
    const std::uint64_t argument = aChoice >> 16U;
    FakeDaemon& daemon = daemons_[index];
    const std::uint64_t kind = aChoice % 100;
    if (kind < 30) {
      Submit(daemon, argument);
    } else if (kind < 45) {
      BeginAppend(daemon);
    } else if (kind < 60) {
      EndAppend(daemon, argument);
    } else if (kind < 78) {
      Read(daemon, 1 + argument % 4);
    } else if (kind < 88) {
      UseId(daemon, argument);
    } else if (kind < 92) {
      now_ += std::chrono::milliseconds(300);
    } else if (kind < 94) {
      log_.outage = argument % 3 == 0;
    } else if (kind < 96) {
      daemon.cutOff = argument % 3 == 0;
    } else if (kind < 97) {
      Restart(index);
    } else {
      DropOldRecords();
      LandLateAppends(argument);
    }
  }

private:
  void Restart(std::size_t aIndex)
  {
    FakeDaemon& daemon = daemons_[aIndex];
    daemon.self = { "vm-" + std::to_string(aIndex), ++incarnations_ };
    ClaimLedger::Options options;
    options.self = daemon.self;
    options.entries = kIndexEntries;
    options.batchKeys = 3;
    options.guard = guard_;
    options.clock = [this] { return now_; };
    daemon.reader = std::make_unique<LogReader>();
    daemon.ledger = std::make_unique<ClaimLedger>(options);
    daemon.ids = std::make_unique<IdIssuer>(daemon.self, guard_);
    if (daemon.inFlight) {
      late_.push_back(*daemon.inFlight);
      daemon.inFlight.reset();
    }
    ClaimLedger* ledger = daemon.ledger.get();
    daemon.reader->Subscribe(
      { [ledger](LogOffset aFrom, LogOffset aTo) { ledger->OnGap(aFrom, aTo); },
        [this, ledger](const LogRecord& aRecord) {
          ledger->OnRecord(aRecord.offset, log_.batches[aRecord.offset]);
        },
        [ledger](const LogPosition& aPosition) {
          ledger->OnPosition(aPosition);
        } });
  }

  //! A caller submits or resubmits one of the last keys. Its epoch is read
  //! once, before the first try, at any daemon.
  void Submit(FakeDaemon& aDaemon, std::uint64_t aArgument)
  {
    if (aArgument % 4 == 0 || epochs_.empty()) {
      const auto epoch = aDaemon.ledger->CurrentEpoch();
      if (epoch.has_error()) {
        return;
      }
      epochs_.emplace_back(++keys_, epoch.value());
    }
    const std::size_t back =
      (aArgument >> 4U) % std::min<std::size_t>(epochs_.size(), 30);
    const auto [key, epoch] = epochs_[epochs_.size() - 1 - back];
    const KeyHash hash = KeyHash::Of("fuzz", std::to_string(key));
    const std::uint64_t sequence = aDaemon.ids->Reserve(1);
    const ClaimDecision decision = aDaemon.ledger->Ask(hash, epoch, sequence);
    const std::pair<std::uint64_t, std::uint64_t> mine{ aDaemon.self.number,
                                                        key };
    if (decision.kind == ClaimDecision::Kind::Won) {
      oracle_.violations += ++oracle_.keyStarts[key] > 1 ? 1 : 0;
      oracle_.startedBy.insert(mine);
      Start(aDaemon, { aDaemon.self, sequence });
    } else if (decision.kind == ClaimDecision::Kind::Undecided ||
               decision.kind == ClaimDecision::Kind::LogUnavailable) {
      // Claim would answer "not run" when its time limit passes now.
      oracle_.violations += oracle_.startedBy.count(mine);
    }
  }

  void UseId(FakeDaemon& aDaemon, std::uint64_t aArgument)
  {
    if (aArgument % 2 == 0 || reserved_.empty()) {
      reserved_.push_back({ aDaemon.self, aDaemon.ids->Reserve(1) });
    }
    const std::size_t back =
      (aArgument >> 4U) % std::min<std::size_t>(reserved_.size(), 20);
    Start(aDaemon, reserved_[reserved_.size() - 1 - back]);
  }

  void Start(FakeDaemon& aDaemon, const SubmissionId& aId)
  {
    if (aDaemon.ids->MarkUsed(aId) == IdIssuer::Use::First) {
      oracle_.violations += ++oracle_.idStarts[aId.Text()] > 1 ? 1 : 0;
    }
  }

  void BeginAppend(FakeDaemon& aDaemon)
  {
    if (!aDaemon.inFlight) {
      aDaemon.inFlight = aDaemon.ledger->TakeBatch();
    }
  }

  //! Ends an append in one of the ways in which it can end.
  void EndAppend(FakeDaemon& aDaemon, std::uint64_t aArgument)
  {
    if (!aDaemon.inFlight) {
      return;
    }
    const ClaimBatch batch = std::move(*aDaemon.inFlight);
    aDaemon.inFlight.reset();
    Error error;
    if (log_.outage || aDaemon.cutOff) {
      error.ran = aArgument % 2 == 0 ? Ran::NotRun : Ran::Unknown;
      aDaemon.ledger->BatchEnded(batch, error);
      return;
    }
    if (aArgument % 8 == 0) {
      error.ran = Ran::Unknown; // Lost, or takes effect later.
      late_.push_back(batch);
      aDaemon.ledger->BatchEnded(batch, error);
      return;
    }
    log_.batches.push_back(batch);
    if (aArgument % 8 < 3) {
      error.ran = Ran::Unknown; // Lost after its effect.
      aDaemon.ledger->BatchEnded(batch, error);
    } else {
      aDaemon.ledger->BatchEnded(batch, log_.batches.size() - 1);
    }
  }

  void Read(FakeDaemon& aDaemon, std::uint64_t aMost)
  {
    if (log_.outage || aDaemon.cutOff) {
      return;
    }
    LogPage page;
    page.start = log_.start;
    page.next = log_.batches.size();
    const LogOffset from =
      std::max(aDaemon.reader->Position().position, page.start);
    for (LogOffset offset = from; offset < page.next && offset - from < aMost;
         ++offset) {
      page.records.push_back({ offset, {} });
    }
    aDaemon.reader->Feed(page);
  }

  void LandLateAppends(std::uint64_t aArgument)
  {
    if (!log_.outage && aArgument % 2 == 0) {
      log_.batches.insert(log_.batches.end(), late_.begin(), late_.end());
    }
    late_.clear();
  }

  void DropOldRecords()
  {
    if (log_.batches.size() > log_.start + kRetained) {
      log_.start = log_.batches.size() - kRetained;
    }
  }

  GuardHook guard_;
  Oracle& oracle_;
  FakeLog log_;
  TimePoint now_;
  std::uint64_t incarnations_ = 0;
  std::uint64_t keys_ = 0;
  std::vector<std::pair<std::uint64_t, LogOffset>> epochs_; //!< By key.
  std::vector<SubmissionId> reserved_;
  std::vector<ClaimBatch> late_; //!< Appends on their way.
  std::vector<FakeDaemon> daemons_;
};

}

}

int main(int aCount, char** aArguments)
{
  using namespace hemlockhaven;
  std::uint64_t seed = 1;
  std::uint64_t operations = 20000;
  std::string broken;
  bool expectViolation = false;
  const std::map<std::string, Guard> guards{
    { "IdIsUsedOnce", Guard::IdIsUsedOnce },
    { "FirstClaimWins", Guard::FirstClaimWins },
    { "OldEpochIsUnknown", Guard::OldEpochIsUnknown },
  };
  CLI::App app("Fuzzes claims of keys and reserved ids");
  app.add_option("--seed", seed, "Seed of all random choices");
  app.add_option("--operations", operations, "Number of operations");
  app.add_option("--break", broken, "Guard to turn off")
    ->check(CLI::IsMember(guards));
  app.add_flag("--expect-violation", expectViolation, "Fail without one");
  CLI11_PARSE(app, aCount, aArguments);

  GuardHook guard;
  if (!broken.empty()) {
    guard = [off = guards.at(broken)](Guard aGuard) { return aGuard != off; };
  }
  Oracle total;
  std::uint64_t done = 0;
  const auto choices = rc::gen::container<std::vector<std::uint64_t>>(
    kOperationsPerRun, rc::gen::arbitrary<std::uint64_t>());
  for (rc::Random random(seed); done < operations;) {
    const auto run = choices(random.split(), rc::kNominalSize).value();
    Oracle oracle;
    World world(guard, oracle);
    for (const std::uint64_t choice : run) {
      world.Step(choice);
    }
    done += run.size();
    total.violations += oracle.violations;
  }
  std::cout << "operations " << done << " violations " << total.violations
            << "\n";
  return (total.violations != 0) == expectViolation ? 0 : 1;
}
