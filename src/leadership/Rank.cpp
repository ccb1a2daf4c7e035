#include "leadership/Rank.h"

namespace hemlockhaven::Detail {

std::uint64_t HashName(std::string_view aName)
{
  std::uint64_t hash = 14695981039346656037ULL;
  for (const char character : aName) {
    hash = (hash ^ static_cast<unsigned char>(character)) * 1099511628211ULL;
  }
  return hash ^ (hash >> 32U);
}

Rank RankOf(const Member& aMember)
{
  return { -aMember.cores, HashName(aMember.name), aMember.name };
}

}
