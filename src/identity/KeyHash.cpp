#include "hemlockhaven/identity/KeyHash.h"

#include <string>

#include <xxhash.h>

namespace hemlockhaven {

KeyHash KeyHash::Of(std::string_view aCaller, std::string_view aKey)
{
  // The length keeps apart pairs whose concatenations are equal.
  std::string text = std::to_string(aCaller.size());
  text.append(":").append(aCaller).append(aKey);
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  return { hash.high64, hash.low64 };
}

}
