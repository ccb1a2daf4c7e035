#ifndef HEMLOCKHAVEN_TESTS_SUPPORT_RACKREPLAY_H
#define HEMLOCKHAVEN_TESTS_SUPPORT_RACKREPLAY_H

#include <cstddef>
#include <cstdint>
#include <string>

namespace hemlockhaven::Testing {

//! Load of the first customer (D), scaled to 96 endpoints in racks of 6. Half
//! of the jobs have their data in a rack, drawn evenly.
struct RackLoad
{
  double remoteFactor = 2;     //!< Of the run times.
  double configuredFactor = 2; //!< Of the scheduler's policy.
  double seconds = 8;
  //! From second 2 on, most jobs of a kind have their data in one rack; 0 s:
  //! never.
  double crowdedSeconds = 0;
  std::size_t crowdedKind = 0;
  double crowdedShare = 0;
};

//! Outcome of a replay, for the callers.
struct RackResult
{
  std::size_t submitted = 0;
  std::size_t onTime = 0;
  std::size_t late = 0;    //!< Completed after the objective.
  std::size_t refused = 0; //!< Has not run.
  std::size_t other = 0;   //!< Timed out or failed.
};

//! Simulates the load on one scheduler in virtual time.
RackResult Replay(const RackLoad& aLoad, std::uint64_t aSeed);

std::string Describe(const RackResult& aResult);

}

#endif
