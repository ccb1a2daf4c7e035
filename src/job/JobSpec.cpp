#include "hemlockhaven/job/JobSpec.h"

#include <xxhash.h>

#include <memory>
#include <string_view>

namespace hemlockhaven {

namespace {

//! Hashes fields with their lengths, so that no two field lists look alike.
class SpecHash
{
public:
  SpecHash() { XXH3_64bits_reset(state_.get()); }

  void Add(std::string_view aText)
  {
    Add(static_cast<std::uint64_t>(aText.size()));
    XXH3_64bits_update(state_.get(), aText.data(), aText.size());
  }

  void Add(std::uint64_t aNumber)
  {
    XXH3_64bits_update(state_.get(), &aNumber, sizeof(aNumber));
  }

  std::uint64_t Value() const { return XXH3_64bits_digest(state_.get()); }

private:
  std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state_{
    XXH3_createState(),
    &XXH3_freeState
  };
};

}

std::size_t QueuedBytes(const JobSpec& aSpec, std::size_t aIndex)
{
  // A condition of a parsed selector takes many times its text.
  constexpr std::size_t kSelectorFactor = 24;
  std::size_t bytes = aSpec.payloads[aIndex].size();
  if (aIndex == 0) {
    bytes += aSpec.caller.size() + aSpec.kind.size() +
             kSelectorFactor * aSpec.selector.Text().size();
    for (const Labels::Item& label : aSpec.labels.Items()) {
      bytes += sizeof(label) + label.first.size() + label.second.size();
    }
  }
  return bytes;
}

std::uint64_t HashOf(const JobSpec& aSpec)
{
  SpecHash hash;
  hash.Add(aSpec.caller);
  hash.Add(aSpec.kind);
  hash.Add(static_cast<std::uint64_t>(aSpec.urgency));
  hash.Add(static_cast<std::uint64_t>(aSpec.labels.Items().size()));
  for (const Labels::Item& item : aSpec.labels.Items()) {
    hash.Add(item.first);
    hash.Add(item.second);
  }
  hash.Add(aSpec.selector.Text());
  hash.Add(std::uint64_t{ aSpec.needs.cores });
  hash.Add(aSpec.needs.memoryMb);
  hash.Add(std::uint64_t{ aSpec.needs.accelerators });
  hash.Add(static_cast<std::uint64_t>(aSpec.deadline.count()));
  hash.Add(static_cast<std::uint64_t>(aSpec.declaredTime.count()));
  hash.Add(std::uint64_t{ aSpec.idempotent });
  hash.Add(static_cast<std::uint64_t>(aSpec.payloads.size()));
  for (const std::string& payload : aSpec.payloads) {
    hash.Add(payload);
  }
  return hash.Value();
}

}
