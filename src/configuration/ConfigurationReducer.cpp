#include "hemlockhaven/configuration/ConfigurationReducer.h"

#include <algorithm>
#include <utility>

namespace hemlockhaven {

namespace {

//! Bound of changes that wait for a state; the oldest are given up, as if
//! they had not been read.
constexpr std::size_t kMostPending = 256;

}

ConfigurationReducer::ConfigurationReducer(GuardHook aGuard)
  : guard_(std::move(aGuard))
{
}

bool ConfigurationReducer::IsCurrent() const
{
  return state_ && state_->asOf >= contiguousFrom_;
}

void ConfigurationReducer::StartFromZero()
{
  // A reader of the whole log knows that it begins with the empty document.
  if (!state_ && contiguousFrom_ == 0) {
    state_ =
      ConfigurationState{ 0, 0, std::make_shared<const Configuration>() };
  }
}

void ConfigurationReducer::OnChange(LogOffset aOffset,
                                    const ConfigurationChange& aChange)
{
  StartFromZero();
  position_ = std::max(position_, aOffset + 1);
  if (IsCurrent()) {
    Judge({ aOffset, aChange });
    return;
  }
  pending_.push_back({ aOffset, aChange });
  if (pending_.size() > kMostPending) {
    contiguousFrom_ = pending_.front().offset + 1;
    pending_.pop_front();
  }
}

void ConfigurationReducer::Judge(const Pending& aPending)
{
  if (aPending.offset < state_->asOf) {
    return;
  }
  state_->asOf = aPending.offset + 1;
  const bool accepted = aPending.change.base == state_->version ||
                        !IsGuardOn(guard_, Guard::ConfigurationBaseMatches);
  if (accepted) {
    ++state_->version;
    state_->document = aPending.change.document;
  }
  verdicts_.push_back({ aPending.change.nonce, accepted, state_->version });
}

void ConfigurationReducer::OnSnapshot(LogOffset aOffset,
                                      const ConfigurationState& aSnapshot)
{
  StartFromZero();
  position_ = std::max(position_, aOffset + 1);
  if (aSnapshot.asOf >= contiguousFrom_ && aSnapshot.asOf <= aOffset) {
    Take(aSnapshot);
  }
}

void ConfigurationReducer::Adopt(const ConfigurationState& aState)
{
  if (aState.document) {
    Take(aState);
  }
}

void ConfigurationReducer::Take(const ConfigurationState& aState)
{
  if (state_ && IsGuardOn(guard_, Guard::ConfigurationNeverReverts) &&
      (aState.version < state_->version ||
       (aState.asOf <= state_->asOf &&
        (IsCurrent() || aState.version == state_->version)))) {
    return;
  }
  state_ = aState;
  if (!IsCurrent()) {
    return;
  }
  for (const Pending& pending : std::exchange(pending_, {})) {
    Judge(pending);
  }
  state_->asOf = std::max(state_->asOf, position_);
}

void ConfigurationReducer::OnGap(LogOffset /*aFrom*/, LogOffset aTo)
{
  position_ = std::max(position_, aTo);
  contiguousFrom_ = aTo;
  pending_.clear();
}

void ConfigurationReducer::OnPosition(LogOffset aPosition)
{
  StartFromZero();
  position_ = std::max(position_, aPosition);
  if (IsCurrent()) {
    state_->asOf = std::max(state_->asOf, position_);
  }
}

std::vector<ConfigurationVerdict> ConfigurationReducer::TakeVerdicts()
{
  return std::exchange(verdicts_, {});
}

}
