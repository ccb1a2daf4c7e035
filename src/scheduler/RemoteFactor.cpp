#include "hemlockhaven/scheduler/RemoteFactor.h"

#include <algorithm>
#include <cmath>

namespace hemlockhaven {

namespace {

double LogRatio(Duration aPredicted, Duration aMeasured)
{
  const auto atLeastOne = [](Duration aDuration) {
    return std::max(1.0, static_cast<double>(aDuration.count()));
  };
  return std::log(atLeastOne(aMeasured) / atLeastOne(aPredicted));
}

double Weight(std::uint64_t aCount)
{
  return std::max(RemoteFactor::kSampleWeight,
                  1 / (static_cast<double>(aCount) + RemoteFactor::kPriorRuns));
}

}

RemoteFactor::RemoteFactor(double aConfigured)
  : logFactor_(std::log(std::clamp(aConfigured, kMin, kMax)))
{
}

double RemoteFactor::Value() const
{
  return std::clamp(std::exp(logFactor_), kMin, kMax);
}

void RemoteFactor::LearnNear(Duration aPredicted, Duration aMeasured)
{
  ++nearCount_;
  meanLogNearError_ +=
    Weight(nearCount_) * (LogRatio(aPredicted, aMeasured) - meanLogNearError_);
}

void RemoteFactor::LearnAway(Duration aPredicted, Duration aMeasured)
{
  ++awayCount_;
  const double sample = LogRatio(aPredicted, aMeasured) - meanLogNearError_;
  // A run below the bound still counts: a factor of 1 has to be learnable from
  // runs that vary around it.
  const double maxLog = std::log(kMax);
  logFactor_ +=
    Weight(awayCount_) * (std::clamp(sample, -maxLog, maxLog) - logFactor_);
}

}
