#ifndef HEMLOCKHAVEN_IDENTITY_KEYHASH_H
#define HEMLOCKHAVEN_IDENTITY_KEYHASH_H

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace hemlockhaven {

//! 128-bit hash of a caller's name and its own key.
struct KeyHash
{
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  //! The key "b" of caller "a" differs from the key "" of caller "ab".
  static KeyHash Of(std::string_view aCaller, std::string_view aKey);

  friend bool operator==(const KeyHash& aLeft, const KeyHash& aRight)
  {
    return aLeft.high == aRight.high && aLeft.low == aRight.low;
  }
};

//! For unordered containers; the hash is already uniform.
struct KeyHashHasher
{
  std::size_t operator()(const KeyHash& aKey) const { return aKey.low; }
};

}

#endif
