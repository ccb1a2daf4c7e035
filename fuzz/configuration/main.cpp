// Fuzzes the configuration: operators race on several daemons that share one
// log with outages, lost answers and retention, and stale peers offer old
// states. The oracle reads the whole log.

#include "hemlockhaven/configuration/ConfigurationStore.h"
#include "hemlockhaven/platform/LogReader.h"

#include <rapidcheck.h>

#include <CLI/CLI.hpp>

#include <algorithm>
#include <cstdint>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace hemlockhaven {

namespace {

constexpr std::size_t kDaemons = 4;
constexpr std::size_t kOperationsPerRun = 500;

using Entry = std::variant<ConfigurationChange, ConfigurationState>;
using Document = std::shared_ptr<const Configuration>;

struct FakeDaemon
{
  std::unique_ptr<ConfigurationStore> store;
  std::unique_ptr<LogReader> reader;
  ConfigurationVersion highest = 0; //!< Seen in its life.
  bool cutOff = false;              //!< From the log.
};

//! One run: daemons, log, operators, and the oracle.
class World
{
public:
  explicit World(GuardHook aGuard)
    : guard_(std::move(aGuard))
    , documents_{ std::make_shared<const Configuration>() }
    , daemons_(kDaemons)
  {
    for (FakeDaemon& daemon : daemons_) {
      Restart(daemon);
    }
  }

  std::uint64_t Violations() const { return violations_; }

  //! Interprets one random number as an operation.
  void Step(std::uint64_t aChoice)
  {
    FakeDaemon& daemon = daemons_[(aChoice >> 8U) % kDaemons];
    const std::uint64_t argument = aChoice >> 16U;
    const std::uint64_t kind = aChoice % 100;
    if (kind < 20) {
      Publish(daemon, argument);
    } else if (kind < 60) {
      Read(daemon, 1 + argument % 5);
    } else if (kind < 70) {
      Offer(daemon, daemons_[argument % kDaemons]);
    } else if (kind < 76) {
      OfferOld(daemon, argument);
    } else if (kind < 86) {
      AppendSnapshot(daemon);
    } else if (kind < 88) {
      outage_ = argument % 3 == 0;
    } else if (kind < 91) {
      daemon.cutOff = argument % 3 == 0;
    } else if (kind < 93) {
      Restart(daemon);
    } else {
      // Retention drops records, but the platform keeps a snapshot's worth.
      start_ = std::min<LogOffset>(start_ + argument % 6, log_.size());
    }
    Check(daemon);
  }

  //! Without faults all readers of the log and their peers converge.
  void CheckConvergence()
  {
    outage_ = false;
    for (FakeDaemon& daemon : daemons_) {
      daemon.cutOff = false;
      while (!daemon.reader->Position().IsAtEnd() ||
             daemon.reader->Position().next < log_.size()) {
        Read(daemon, 50);
        Check(daemon);
      }
    }
    // Peers exchange versions again and again. One round is not enough: a
    // state that closes a peer's gap lets that peer judge further changes.
    for (std::size_t round = 0; round < kDaemons; ++round) {
      for (FakeDaemon& receiver : daemons_) {
        for (const FakeDaemon& peer : daemons_) {
          Offer(receiver, peer);
        }
        Check(receiver);
      }
    }
    const auto first = daemons_.front().store->Current();
    for (const FakeDaemon& daemon : daemons_) {
      const auto state = daemon.store->Current();
      violations_ += (state == nullptr) != (first == nullptr) ||
                         (state && state->version != first->version)
                       ? 1
                       : 0;
    }
  }

private:
  void Restart(FakeDaemon& aDaemon)
  {
    aDaemon = {};
    aDaemon.store = std::make_unique<ConfigurationStore>(
      ConfigurationStore::Options{ {}, 0, guard_ });
    aDaemon.reader = std::make_unique<LogReader>();
    ConfigurationStore* store = aDaemon.store.get();
    aDaemon.reader->Subscribe(
      { [store](LogOffset aFrom, LogOffset aTo) { store->OnGap(aFrom, aTo); },
        [this, store](const LogRecord& aRecord) {
          const Entry& entry = log_[aRecord.offset];
          if (const auto* change = std::get_if<ConfigurationChange>(&entry)) {
            store->OnChange(aRecord.offset, *change);
          } else {
            store->OnSnapshot(aRecord.offset,
                              std::get<ConfigurationState>(entry));
          }
        },
        [store](const LogPosition& aPosition) {
          store->OnPosition(aPosition);
        } });
  }

  //! An operator changes what this daemon shows, or something older.
  void Publish(FakeDaemon& aDaemon, std::uint64_t aArgument)
  {
    const auto current = aDaemon.store->Current();
    if (!current || outage_ || aDaemon.cutOff) {
      return;
    }
    const ConfigurationVersion base =
      current->version - std::min<ConfigurationVersion>(
                           current->version, aArgument % 4 == 0 ? 1 : 0);
    // Each document is another object, so its address tells it apart.
    const auto document = std::make_shared<const Configuration>();
    Append(ConfigurationChange{ base, ++nonces_, document });
    if (aArgument % 16 == 1) {
      // The answer was lost and the operator's tool appended again.
      Append(ConfigurationChange{ base, nonces_, document });
    }
  }

  //! Appends and lets the oracle judge the whole log, which it has read.
  void Append(Entry aEntry)
  {
    log_.push_back(std::move(aEntry));
    const auto* change = std::get_if<ConfigurationChange>(&log_.back());
    if (change != nullptr && change->base + 1 == documents_.size()) {
      documents_.push_back(change->document);
    }
  }

  void AppendSnapshot(FakeDaemon& aDaemon)
  {
    // Also snapshots that are not due, and of states that a gap has cut off:
    // readers must not use what does not cover the log after it.
    const auto current = aDaemon.store->Current();
    if (current && !outage_ && !aDaemon.cutOff) {
      Append(*current);
    }
  }

  void Read(FakeDaemon& aDaemon, std::uint64_t aMost)
  {
    if (outage_ || aDaemon.cutOff) {
      return;
    }
    LogPage page;
    page.start = start_;
    page.next = log_.size();
    const LogOffset from =
      std::max(aDaemon.reader->Position().position, page.start);
    for (LogOffset offset = from; offset < page.next && offset - from < aMost;
         ++offset) {
      page.records.push_back({ offset, {} });
    }
    aDaemon.reader->Feed(page);
  }

  void Offer(FakeDaemon& aReceiver, const FakeDaemon& aPeer)
  {
    const auto state = aPeer.store->Current();
    if (state) {
      offered_.push_back(*state);
      aReceiver.store->Adopt(*state);
    }
  }

  void OfferOld(FakeDaemon& aReceiver, std::uint64_t aArgument)
  {
    if (!offered_.empty()) {
      aReceiver.store->Adopt(offered_[aArgument % offered_.size()]);
    }
  }

  void Check(FakeDaemon& aDaemon)
  {
    const auto state = aDaemon.store->Current();
    if (!state) {
      return;
    }
    const bool known =
      state->version < documents_.size() &&
      (state->version == 0 || documents_[state->version] == state->document);
    violations_ += known ? 0 : 1;
    violations_ += state->version < aDaemon.highest ? 1 : 0;
    aDaemon.highest = std::max(aDaemon.highest, state->version);
  }

  GuardHook guard_;
  std::vector<Entry> log_; //!< At each offset since 0.
  LogOffset start_ = 0;    //!< First retained offset.
  bool outage_ = false;
  std::uint64_t nonces_ = 0;
  std::uint64_t violations_ = 0;
  std::vector<Document> documents_; //!< The oracle's, by version.
  std::vector<ConfigurationState> offered_;
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
    { "ConfigurationBaseMatches", Guard::ConfigurationBaseMatches },
    { "ConfigurationNeverReverts", Guard::ConfigurationNeverReverts },
  };
  CLI::App app("Fuzzes the configuration");
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
  std::uint64_t violations = 0;
  std::uint64_t done = 0;
  const auto choices = rc::gen::container<std::vector<std::uint64_t>>(
    kOperationsPerRun, rc::gen::arbitrary<std::uint64_t>());
  for (rc::Random random(seed); done < operations;) {
    const auto run = choices(random.split(), rc::kNominalSize).value();
    World world(guard);
    for (const std::uint64_t choice : run) {
      world.Step(choice);
    }
    world.CheckConvergence();
    done += run.size();
    violations += world.Violations();
  }
  std::cout << "operations " << done << " violations " << violations << "\n";
  return (violations != 0) == expectViolation ? 0 : 1;
}
