#include "hemlockhaven/identity/IdIssuer.h"

#include <utility>

namespace hemlockhaven {

IdIssuer::IdIssuer(Incarnation aIncarnation, GuardHook aGuard)
  : self_(std::move(aIncarnation))
  , guard_(std::move(aGuard))
{
}

std::uint64_t IdIssuer::Reserve(std::uint32_t aCount)
{
  return next_.fetch_add(aCount);
}

IdIssuer::Use IdIssuer::MarkUsed(const SubmissionId& aId)
{
  if (aId.home != self_ || aId.sequence == 0 || aId.sequence >= next_.load()) {
    return Use::Foreign;
  }
  const std::uint64_t generation = aId.sequence / kBlockSize;
  Block& block = BlockOf(aId.sequence);
  const std::lock_guard<std::mutex> lock(block.mutex);
  if (block.generation > generation) {
    return Use::Expired;
  }
  if (block.generation < generation || block.used.empty()) {
    block.generation = generation;
    block.used.assign(kBlockSize, false);
  }
  const auto bit =
    block.used.begin() + static_cast<std::ptrdiff_t>(aId.sequence % kBlockSize);
  if (*bit && IsGuardOn(guard_, Guard::IdIsUsedOnce)) {
    return Use::Repeat;
  }
  *bit = true;
  return Use::First;
}

bool IdIssuer::IsUnused(const SubmissionId& aId) const
{
  if (aId.home != self_ || aId.sequence == 0 || aId.sequence >= next_.load()) {
    return false;
  }
  const std::uint64_t generation = aId.sequence / kBlockSize;
  const Block& block = blocks_[generation % kBlocks];
  const std::lock_guard<std::mutex> lock(block.mutex);
  return block.generation < generation ||
         (block.generation == generation &&
          (block.used.empty() || !block.used[aId.sequence % kBlockSize]));
}

void IdIssuer::Release(const SubmissionId& aId)
{
  Block& block = BlockOf(aId.sequence);
  const std::lock_guard<std::mutex> lock(block.mutex);
  if (block.generation == aId.sequence / kBlockSize && !block.used.empty()) {
    block.used[aId.sequence % kBlockSize] = false;
  }
}

IdIssuer::Window IdIssuer::Export()
{
  constexpr std::uint64_t kBitsPerByte = 8;
  Window window;
  window.nextSequence = next_.load();
  const std::uint64_t generation = window.nextSequence / kBlockSize;
  const std::uint64_t oldest =
    generation < kBlocks ? 0 : generation - kBlocks + 1;
  window.firstSequence = oldest * kBlockSize;
  const std::uint64_t count = window.nextSequence - window.firstSequence;
  window.usedBits.assign((count + kBitsPerByte - 1) / kBitsPerByte, '\0');
  for (std::uint64_t bit = 0; bit < count; ++bit) {
    const std::uint64_t sequence = window.firstSequence + bit;
    Block& block = BlockOf(sequence);
    const std::lock_guard<std::mutex> lock(block.mutex);
    const bool isUsed = block.generation == sequence / kBlockSize &&
                        !block.used.empty() &&
                        block.used[sequence % kBlockSize];
    if (isUsed) {
      char& byte = window.usedBits[bit / kBitsPerByte];
      byte = static_cast<char>(byte | (1U << (bit % kBitsPerByte)));
    }
  }
  return window;
}

IdIssuer::Block& IdIssuer::BlockOf(std::uint64_t aSequence)
{
  return blocks_[(aSequence / kBlockSize) % kBlocks];
}

}
