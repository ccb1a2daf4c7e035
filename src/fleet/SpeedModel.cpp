#include "hemlockhaven/fleet/SpeedModel.h"

#include <algorithm>
#include <cmath>

namespace hemlockhaven {

namespace {

constexpr std::uint32_t kSamplesToTrust = 3;
constexpr Duration kDefaultWork = std::chrono::milliseconds(200);

double LogOf(Duration aTime)
{
  return std::log(
    static_cast<double>(std::max<Duration::rep>(aTime.count(), 1)));
}

}

void SpeedModel::Learn(Work& aWork,
                       Slowness& aSlowness,
                       Duration aElapsed,
                       TimePoint aNow)
{
  // An endpoint that becomes slow has to be noticed within some ten tasks;
  // the work of a kind is an average over many endpoints and may move slower.
  // Run times of one kind that differ 20 times make an average with the gain
  // of 0.15 wander by more than a speed class, so that gain is kept for times
  // that are far longer than expected, and a lower one used for the others.
  constexpr double kWorkGain = 0.05;
  constexpr double kSlownessGain = 0.04;
  constexpr double kFarLongerGain = 0.15;
  constexpr double kFarLonger = 1.0;
  constexpr double kFirstGain = 0.15;
  const double measured = LogOf(aElapsed);
  if (aWork.samples == 0) {
    aWork.log = measured - aSlowness.log;
  }
  const double surprise = measured - aWork.log - aSlowness.log;
  ++aWork.samples;
  ++aSlowness.samples;
  aSlowness.learnedAt = aNow;
  aWork.log += surprise * std::max(kWorkGain, 1.0 / (aWork.samples + 1));
  const double gain =
    surprise > kFarLonger
      ? kFarLongerGain
      : std::clamp(1.0 / aSlowness.samples, kSlownessGain, kFirstGain);
  aSlowness.log += surprise * gain;
}

Duration SpeedModel::Expected(const Work& aWork, Duration aDeclared)
{
  if (aWork.samples >= kSamplesToTrust) {
    return Duration{ static_cast<Duration::rep>(std::exp(aWork.log)) + 1 };
  }
  return aDeclared > Duration{ 0 } ? aDeclared : kDefaultWork;
}

Duration SpeedModel::Scale(Duration aWork, const Slowness& aSlowness)
{
  return Duration{ static_cast<Duration::rep>(
    static_cast<double>(aWork.count()) * Factor(aSlowness)) };
}

void SpeedModel::Fade(Slowness& aSlowness, TimePoint aNow)
{
  constexpr double kKept = 0.98;
  if (aNow - aSlowness.learnedAt > std::chrono::seconds(10)) {
    aSlowness.log *= kKept;
  }
}

double SpeedModel::Factor(const Slowness& aSlowness)
{
  return std::exp(aSlowness.log);
}

}
