#include "hemlockhaven/node/ArchiveBook.h"

#include <iterator>
#include <utility>

namespace hemlockhaven {

namespace {

constexpr std::size_t kBitsPerByte = 8;

}

std::vector<Archive> SplitArchive(Archive&& aArchive, std::size_t aBytes)
{
  std::vector<Archive> parts;
  Archive part;
  std::size_t size = 0;
  for (JobAnswer& answer : aArchive.answers) {
    size += answer.SizeBytes();
    part.answers.push_back(std::move(answer));
    if (size >= aBytes) {
      part.home = aArchive.home;
      part.isLast = false;
      parts.push_back(std::exchange(part, {}));
      size = 0;
    }
  }
  aArchive.answers = std::move(part.answers);
  aArchive.isLast = true;
  parts.push_back(std::move(aArchive));
  return parts;
}

ArchiveBook::ArchiveBook(Clock aClock, Duration aKeep, std::size_t aMostHomes)
  : clock_(std::move(aClock))
  , keep_(aKeep)
  , mostHomes_(aMostHomes)
{
}

Result<void> ArchiveBook::Add(Archive&& aPart)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  if (homes_.size() >= mostHomes_ && homes_.count(aPart.home.number) == 0) {
    return Error::NotRun("keep archive",
                         Reason::QueueFull,
                         "as many archives are kept as may be",
                         std::chrono::seconds(1));
  }
  Kept& kept = homes_[aPart.home.number];
  kept.home = aPart.home;
  kept.at = clock_();
  for (JobAnswer& answer : aPart.answers) {
    const std::uint64_t sequence = answer.id.sequence;
    kept.answers.insert_or_assign(sequence, std::move(answer));
  }
  if (aPart.isLast) {
    kept.isWhole = true;
    kept.firstSequence = aPart.firstSequence;
    kept.nextSequence = aPart.nextSequence;
    kept.usedBits = std::move(aPart.usedBits);
  }
  return outcome::success();
}

Result<JobAnswer> ArchiveBook::Find(const SubmissionId& aId) const
{
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto home = homes_.find(aId.home.number);
  if (home != homes_.end()) {
    const auto answer = home->second.answers.find(aId.sequence);
    if (answer != home->second.answers.end()) {
      return answer->second;
    }
    if (IsUnused(home->second, aId.sequence)) {
      return Error::NotRun("find archived answer",
                           Reason::HomeGone,
                           "the VM that issued this id has stopped before "
                           "it was used; reserve another id",
                           std::chrono::milliseconds(1));
    }
  }
  return Error::Unknown("find archived answer",
                        aId.home.node,
                        Reason::HomeGone,
                        "the VM that took this submission has stopped and "
                        "its answer is not kept");
}

std::vector<Archive> ArchiveBook::Export() const
{
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<Archive> archives;
  for (const auto& [number, kept] : homes_) {
    if (!kept.isWhole) {
      continue;
    }
    Archive archive;
    archive.home = kept.home;
    archive.firstSequence = kept.firstSequence;
    archive.nextSequence = kept.nextSequence;
    archive.usedBits = kept.usedBits;
    for (const auto& [sequence, answer] : kept.answers) {
      archive.answers.push_back(answer);
    }
    archives.push_back(std::move(archive));
  }
  return archives;
}

bool ArchiveBook::Holds(const Incarnation& aHome) const
{
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto home = homes_.find(aHome.number);
  return home != homes_.end() && home->second.isWhole;
}

void ArchiveBook::Expire()
{
  const TimePoint before = clock_() - keep_;
  const std::lock_guard<std::mutex> lock(mutex_);
  for (auto at = homes_.begin(); at != homes_.end();) {
    at = at->second.at < before ? homes_.erase(at) : std::next(at);
  }
}

bool ArchiveBook::IsUnused(const Kept& aKept, std::uint64_t aSequence)
{
  if (!aKept.isWhole || aSequence < aKept.firstSequence ||
      aSequence >= aKept.nextSequence) {
    return false;
  }
  const std::uint64_t bit = aSequence - aKept.firstSequence;
  const std::size_t byte = bit / kBitsPerByte;
  return byte < aKept.usedBits.size() &&
         (static_cast<unsigned char>(aKept.usedBits[byte]) &
          (1U << (bit % kBitsPerByte))) == 0;
}

}
