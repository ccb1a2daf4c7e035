#ifndef HEMLOCKHAVEN_SCHEDULER_RUNTIMEMODEL_H
#define HEMLOCKHAVEN_SCHEDULER_RUNTIMEMODEL_H

#include "hemlockhaven/core/Time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace hemlockhaven {

//! Learns the run time of each kind of task on an endpoint of speed 1.
class RunTimeModel
{
public:
  //! Weight of a new sample; averages over about a dozen runs.
  static constexpr double kSampleWeight = 0.08;
  //! Weight of the caller's estimate in a prediction, on a log scale: estimates
  //! and kind averages have about the same error.
  static constexpr double kEstimateShare = 0.5;

  //! Predicted run time of one task at speed 1, from the kind's past runs and
  //! the caller's estimate.
  Duration Predict(std::string_view aKind, Duration aEstimate) const;

  //! Adds a run of the kind that took aRunTime at speed 1 and that the caller
  //! estimated at aEstimate.
  void Learn(std::string_view aKind, Duration aEstimate, Duration aRunTime);

  //! Divides all learned run times by the factor.
  void Rescale(double aFactor);

private:
  struct Kind
  {
    double meanLogRunTime = 0; //!< Mean of ln(ms).
    double meanLogRatio = 0;   //!< Mean of ln(work / estimate).
    std::uint64_t sampleCount = 0;
  };

  std::map<std::string, Kind, std::less<>> kinds_;
};

//! Learns the speed of one endpoint from its runs.
class EndpointSpeed
{
public:
  //! Weight of a new sample; half of a change is learned after 4 runs.
  static constexpr double kSampleWeight = 0.16;
  //! Limits the error of a single run to this factor.
  static constexpr double kMaxFactor = 4;

  //! Relative speed; at 1, runs take their predicted time.
  double Value() const { return value_; }

  //! Adds a run that took aMeasured and was predicted to take aRunTime at
  //! speed 1.
  void Learn(Duration aRunTime, Duration aMeasured);

  //! Divides the learned speed by the factor.
  void Rescale(double aFactor);

  std::uint64_t Samples() const { return sampleCount_; }

private:
  double logSpeed_ = 0;
  double value_ = 1; //!< exp(logSpeed_); read far more often than learned.
  std::uint64_t sampleCount_ = 0;
};

}

#endif
