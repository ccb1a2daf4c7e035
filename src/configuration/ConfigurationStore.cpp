#include "hemlockhaven/configuration/ConfigurationStore.h"

#include <algorithm>
#include <utility>

namespace hemlockhaven {

namespace {

//! Verdicts kept for publishers that wait for them.
constexpr std::size_t kMostVerdicts = 1024;

//! A nearly empty log gets no snapshots for every few records.
constexpr LogOffset kFewestBetweenSnapshots = 16;

}

ConfigurationStore::ConfigurationStore(Options aOptions)
  : options_(std::move(aOptions))
  , reducer_(options_.guard)
{
}

ConfigurationStore::State ConfigurationStore::Current() const
{
  const std::lock_guard<std::mutex> lock(mutex_);
  return current_;
}

void ConfigurationStore::Update(const std::function<void()>& aStep)
{
  State changed;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    aStep();
    const auto& state = reducer_.State();
    if (state) {
      const bool isNew = !current_ || current_->version != state->version;
      if (isNew || current_->asOf != state->asOf) {
        current_ = std::make_shared<const ConfigurationState>(*state);
      }
      changed = isNew ? current_ : nullptr;
    }
    for (const ConfigurationVerdict& verdict : reducer_.TakeVerdicts()) {
      verdicts_.push_back(verdict);
      if (verdicts_.size() > kMostVerdicts) {
        verdicts_.pop_front();
      }
    }
  }
  judged_.notify_all();
  if (changed && options_.changed) {
    options_.changed(changed);
  }
}

void ConfigurationStore::Adopt(const ConfigurationState& aState)
{
  Update([&] { reducer_.Adopt(aState); });
}

void ConfigurationStore::OnChange(LogOffset aOffset,
                                  const ConfigurationChange& aChange)
{
  Update([&] { reducer_.OnChange(aOffset, aChange); });
}

void ConfigurationStore::OnSnapshot(LogOffset aOffset,
                                    const ConfigurationState& aSnapshot)
{
  Update([&] {
    reducer_.OnSnapshot(aOffset, aSnapshot);
    snapshotAt_ = std::max(snapshotAt_, aOffset);
  });
}

void ConfigurationStore::OnGap(LogOffset aFrom, LogOffset aTo)
{
  Update([&] { reducer_.OnGap(aFrom, aTo); });
}

void ConfigurationStore::OnPosition(const LogPosition& aPosition)
{
  Update([&] {
    reducer_.OnPosition(aPosition.position);
    position_ = aPosition;
  });
}

std::optional<ConfigurationState> ConfigurationStore::TakeDueSnapshot()
{
  const std::lock_guard<std::mutex> lock(mutex_);
  if (!reducer_.IsCurrent() || reducer_.State()->version == 0 ||
      !position_.IsAtEnd()) {
    return std::nullopt;
  }
  const LogOffset quarter = (position_.next - position_.start) / 4;
  const auto due = static_cast<LogOffset>(static_cast<double>(quarter) *
                                          (1 + options_.snapshotShare));
  if (position_.next - std::min(snapshotAt_, position_.next) <
      std::max(due, kFewestBetweenSnapshots)) {
    return std::nullopt;
  }
  snapshotAt_ = position_.next;
  return reducer_.State();
}

std::optional<ConfigurationVerdict> ConfigurationStore::AwaitVerdict(
  std::uint64_t aNonce,
  Duration aLimit)
{
  std::optional<ConfigurationVerdict> verdict;
  std::unique_lock<std::mutex> lock(mutex_);
  judged_.wait_for(lock, aLimit, [&] {
    // A lost answer may have led to two records; the first one counts.
    const auto found = std::find_if(
      verdicts_.begin(), verdicts_.end(), [aNonce](const auto& aVerdict) {
        return aVerdict.nonce == aNonce;
      });
    if (found != verdicts_.end()) {
      verdict = *found;
    }
    return verdict.has_value();
  });
  return verdict;
}

}
