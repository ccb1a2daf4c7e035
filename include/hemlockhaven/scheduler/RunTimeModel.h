#ifndef HEMLOCKHAVEN_SCHEDULER_RUNTIMEMODEL_H
#define HEMLOCKHAVEN_SCHEDULER_RUNTIMEMODEL_H

#include "hemlockhaven/core/Time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace hemlockhaven {

//! Learns how long tasks of a kind take on an endpoint of speed 1.
class RunTimeModel
{
public:
  //! Weight of a new sample; about the last dozen runs count.
  static constexpr double kSampleWeight = 0.08;
  //! Share of the caller's own estimate in a prediction, on a log scale.
  //! Estimates and kinds spread about alike around the truth.
  static constexpr double kEstimateShare = 0.5;

  //! Time of one task at speed 1, from the kind's history and the estimate.
  Duration Predict(std::string_view aKind, Duration aEstimate) const;

  //! A task of the kind took aRunTime at speed 1 where aEstimate was declared.
  void Learn(std::string_view aKind, Duration aEstimate, Duration aRunTime);

private:
  struct Kind
  {
    double meanLogRunTime = 0; //!< Mean of ln(ms).
    double meanLogRatio = 0;   //!< Mean of ln(work / estimate).
    std::uint64_t sampleCount = 0;
  };

  std::unordered_map<std::string, Kind> kinds_;
};

//! Learns the speed of one endpoint from its runs.
class EndpointSpeed
{
public:
  //! Weight of a new sample; half of a change shows after 4 runs.
  static constexpr double kSampleWeight = 0.16;
  //! No single run may move the speed further than this factor suggests.
  static constexpr double kMaxFactor = 4;

  //! Runs at speed 1 take their predicted time.
  double Value() const;

  //! A run that was predicted to take aRunTime at speed 1 took aMeasured.
  void Learn(Duration aRunTime, Duration aMeasured);

  std::uint64_t Samples() const { return sampleCount_; }

private:
  double logSpeed_ = 0;
  std::uint64_t sampleCount_ = 0;
};

}

#endif
