#include "hemlockhaven/fleet/EndpointSet.h"

#include <algorithm>

namespace hemlockhaven {

namespace {

constexpr std::size_t kBits = 64;

std::uint64_t Bit(std::size_t aNumber)
{
  return std::uint64_t{ 1 } << (aNumber % kBits);
}

std::size_t LowestBit(std::uint64_t aWord)
{
  return static_cast<std::size_t>(__builtin_ctzll(aWord));
}

}

void EndpointSet::Insert(EndpointIndex aIndex)
{
  const std::size_t word = aIndex / kBits;
  if (word >= words_.size()) {
    words_.resize(word + 1);
    summary_.resize(word / kBits + 1);
  }
  count_ += (words_[word] & Bit(aIndex)) == 0 ? 1 : 0;
  words_[word] |= Bit(aIndex);
  summary_[word / kBits] |= Bit(word);
}

void EndpointSet::Erase(EndpointIndex aIndex)
{
  if (!Contains(aIndex)) {
    return;
  }
  const std::size_t word = aIndex / kBits;
  --count_;
  words_[word] &= ~Bit(aIndex);
  if (words_[word] == 0) {
    summary_[word / kBits] &= ~Bit(word);
  }
}

void EndpointSet::Clear()
{
  words_.clear();
  summary_.clear();
  count_ = 0;
}

bool EndpointSet::Contains(EndpointIndex aIndex) const
{
  const std::size_t word = aIndex / kBits;
  return word < words_.size() && (words_[word] & Bit(aIndex)) != 0;
}

std::optional<EndpointIndex> EndpointSet::PickCommon(const EndpointSet& aLeft,
                                                     const EndpointSet& aRight,
                                                     std::uint64_t aRandom)
{
  const std::size_t words = std::min(aLeft.words_.size(), aRight.words_.size());
  if (words == 0 || aLeft.count_ == 0 || aRight.count_ == 0) {
    return std::nullopt;
  }
  const std::size_t summaries = (words + kBits - 1) / kBits;
  const std::size_t first = (aRandom & 0xffffffffU) % words;
  const std::uint64_t fromFirst = ~std::uint64_t{ 0 } << (first % kBits);
  // The summary word of the start is visited twice: from the start word on,
  // and at the end up to it.
  for (std::size_t step = 0; step <= summaries; ++step) {
    const std::size_t at = (first / kBits + step) % summaries;
    std::uint64_t candidates = aLeft.summary_[at] & aRight.summary_[at];
    candidates &= step == 0           ? fromFirst
                  : step == summaries ? ~fromFirst
                                      : ~std::uint64_t{ 0 };
    for (; candidates != 0; candidates &= candidates - 1) {
      const std::size_t word = at * kBits + LowestBit(candidates);
      const std::uint64_t both = aLeft.words_[word] & aRight.words_[word];
      if (both != 0) {
        const std::size_t turn = (aRandom >> 32U) % kBits;
        const std::uint64_t turned =
          turn == 0 ? both : (both >> turn) | (both << (kBits - turn));
        return static_cast<EndpointIndex>(word * kBits +
                                          (LowestBit(turned) + turn) % kBits);
      }
    }
  }
  return std::nullopt;
}

std::optional<EndpointIndex> EndpointSet::NextCommon(const EndpointSet& aLeft,
                                                     const EndpointSet& aRight,
                                                     EndpointIndex aFrom)
{
  const std::size_t words = std::min(aLeft.words_.size(), aRight.words_.size());
  std::uint64_t mask = ~std::uint64_t{ 0 } << (aFrom % kBits);
  for (std::size_t at = aFrom / kBits; at < words; ++at) {
    const std::uint64_t both = aLeft.words_[at] & aRight.words_[at] & mask;
    if (both != 0) {
      return static_cast<EndpointIndex>(at * kBits + LowestBit(both));
    }
    mask = ~std::uint64_t{ 0 };
  }
  return std::nullopt;
}

std::size_t EndpointSet::CountCommon(const EndpointSet& aLeft,
                                     const EndpointSet& aRight)
{
  const std::size_t words = std::min(aLeft.words_.size(), aRight.words_.size());
  std::size_t count = 0;
  for (std::size_t at = 0; at < words; ++at) {
    count += static_cast<std::size_t>(
      __builtin_popcountll(aLeft.words_[at] & aRight.words_[at]));
  }
  return count;
}

}
