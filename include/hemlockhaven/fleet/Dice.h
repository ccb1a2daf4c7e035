#ifndef HEMLOCKHAVEN_FLEET_DICE_H
#define HEMLOCKHAVEN_FLEET_DICE_H

#include <cstdint>

namespace hemlockhaven {

//! Seeded pseudo-random numbers (splitmix64); a run repeats under its seed.
class Dice
{
public:
  explicit Dice(std::uint64_t aSeed)
    : state_(aSeed)
  {
  }

  std::uint64_t Next()
  {
    std::uint64_t value = (state_ += 0x9e3779b97f4a7c15ULL);
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
  }

  //! From 0 up to, but not including, 1.
  double NextShare() { return static_cast<double>(Next() >> 11U) * 0x1.0p-53; }

private:
  std::uint64_t state_;
};

}

#endif
