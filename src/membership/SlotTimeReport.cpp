#include "hemlockhaven/membership/SlotTimeReport.h"

#include <algorithm>

namespace hemlockhaven {

std::uint32_t CallerNumbers::NumberOf(const std::string& aCaller)
{
  return numbers_
    .try_emplace(aCaller, static_cast<std::uint32_t>(numbers_.size()))
    .first->second;
}

void SlotTimeReport::Add(Span<const SlotTimeUse> aUses)
{
  for (const SlotTimeUse& use : aUses) {
    Entry& entry = entries_[use.caller];
    waitingCount_ += entry.slotTime.count() == 0 ? 1 : 0;
    entry.slotTime += use.slotTime;
    waitingCount_ -= entry.slotTime.count() == 0 ? 1 : 0;
  }
}

std::vector<NumberedUse> SlotTimeReport::Take(CallerNumbers& aNumbers)
{
  using Candidate = std::pair<const std::string, Entry>;
  std::vector<Candidate*> candidates;
  for (Candidate& candidate : entries_) {
    Entry& entry = candidate.second;
    // Corrections of estimates make slot time negative at times. Less than a
    // millisecond waits for more.
    const Duration size = std::chrono::abs(entry.slotTime);
    if (size < std::chrono::milliseconds(1)) {
      continue;
    }
    ++entry.skipped;
    if (size >= limits_.threshold || entry.skipped >= limits_.patience) {
      candidates.push_back(&candidate);
    }
  }
  const std::size_t count = std::min(candidates.size(), limits_.callersADigest);
  // The time that a caller waited multiplies what it used, so that a small
  // one is not passed over for ever.
  const auto weight = [](const Candidate* aCandidate) {
    const Entry& entry = aCandidate->second;
    return std::chrono::abs(entry.slotTime) * entry.skipped;
  };
  std::partial_sort(candidates.begin(),
                    candidates.begin() + static_cast<std::ptrdiff_t>(count),
                    candidates.end(),
                    [&](const Candidate* aLeft, const Candidate* aRight) {
                      return weight(aLeft) != weight(aRight)
                               ? weight(aLeft) > weight(aRight)
                               : aLeft->first < aRight->first;
                    });
  std::vector<NumberedUse> uses;
  uses.reserve(count);
  for (std::size_t index = 0; index < count; ++index) {
    Entry& entry = candidates[index]->second;
    NumberedUse use;
    use.number = aNumbers.NumberOf(candidates[index]->first);
    if (entry.mentions == 0) {
      use.name = candidates[index]->first;
    }
    entry.mentions = (entry.mentions + 1) % limits_.announceEvery;
    use.slotTime =
      std::chrono::duration_cast<std::chrono::milliseconds>(entry.slotTime);
    entry.slotTime -= use.slotTime;
    entry.skipped = 0;
    waitingCount_ -= entry.slotTime.count() == 0 ? 1 : 0;
    uses.push_back(std::move(use));
  }
  return uses;
}

void SlotTimeReport::AnnounceAll()
{
  for (auto& [caller, entry] : entries_) {
    entry.mentions = 0;
  }
}

std::vector<SlotTimeUse> SlotTimeReader::Read(const Incarnation& aFrom,
                                              Span<const NumberedUse> aUses)
{
  if (incarnation_ != aFrom.number) {
    names_.clear();
    incarnation_ = aFrom.number;
  }
  std::vector<SlotTimeUse> uses;
  uses.reserve(aUses.size());
  for (const NumberedUse& use : aUses) {
    if (!use.name.empty() && names_.size() < kMostNames) {
      names_[use.number] = use.name;
    }
    const auto name = names_.find(use.number);
    if (name == names_.end()) {
      ++skipped_;
      continue;
    }
    uses.push_back({ name->second, use.slotTime });
  }
  return uses;
}

}
