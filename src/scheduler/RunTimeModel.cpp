#include "hemlockhaven/scheduler/RunTimeModel.h"

#include <algorithm>
#include <cmath>

namespace hemlockhaven {

namespace {

//! ln of a duration in ms; durations under 1 ms count as 1 ms.
double LogMs(Duration aDuration)
{
  return std::log(
    std::max(1.0, static_cast<double>(aDuration.count()) / 1000.0));
}

Duration FromLogMs(double aLogMs)
{
  return Duration(static_cast<std::int64_t>(std::exp(aLogMs) * 1000.0));
}

}

Duration RunTimeModel::Predict(std::string_view aKind, Duration aEstimate) const
{
  const auto found = kinds_.find(aKind);
  if (found == kinds_.end()) {
    return aEstimate;
  }
  const Kind& kind = found->second;
  if (aEstimate <= Duration(0)) {
    return FromLogMs(kind.meanLogRunTime);
  }
  return FromLogMs(kEstimateShare * (LogMs(aEstimate) + kind.meanLogRatio) +
                   (1 - kEstimateShare) * kind.meanLogRunTime);
}

void RunTimeModel::Learn(std::string_view aKind,
                         Duration aEstimate,
                         Duration aRunTime)
{
  Kind& kind = kinds_[std::string(aKind)];
  ++kind.sampleCount;
  // A plain mean at first, so that the first runs are not overweighted.
  const double weight =
    std::max(kSampleWeight, 1.0 / static_cast<double>(kind.sampleCount));
  kind.meanLogRunTime += weight * (LogMs(aRunTime) - kind.meanLogRunTime);
  if (aEstimate > Duration(0)) {
    kind.meanLogRatio +=
      weight * (LogMs(aRunTime) - LogMs(aEstimate) - kind.meanLogRatio);
  }
}

void RunTimeModel::Rescale(double aFactor)
{
  const double change = std::log(aFactor);
  for (auto& [name, kind] : kinds_) {
    kind.meanLogRunTime -= change;
    kind.meanLogRatio -= change;
  }
}

void EndpointSpeed::Rescale(double aFactor)
{
  logSpeed_ -= std::log(aFactor);
  value_ = std::exp(logSpeed_);
}

void EndpointSpeed::Learn(Duration aRunTime, Duration aMeasured)
{
  ++sampleCount_;
  const double maxLogError = std::log(kMaxFactor);
  const double logError = std::clamp(
    LogMs(aRunTime) - LogMs(aMeasured) - logSpeed_, -maxLogError, maxLogError);
  const double weight =
    std::max(kSampleWeight, 1.0 / static_cast<double>(sampleCount_ + 1));
  logSpeed_ += weight * logError;
  value_ = std::exp(logSpeed_);
}

}
