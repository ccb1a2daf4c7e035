#ifndef HEMLOCKHAVEN_CONFIGURATION_CONFIGURATION_H
#define HEMLOCKHAVEN_CONFIGURATION_CONFIGURATION_H

#include "hemlockhaven/core/Labels.h"
#include "hemlockhaven/selector/Selector.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockhaven {

//! What a caller may use.
struct CallerQuota
{
  std::string caller;
  double weight = 1;                //!< Share of a busy fleet.
  std::uint32_t maxQueuedTasks = 0; //!< 0: its share of the queue's bound.
};

//! Narrows where submissions go.
struct SteeringRule
{
  Selector submissions; //!< Over the labels of a submission.
  Selector endpoints;   //!< Over endpoints' labels; added to its selector.
};

//! One fault of a document that an operator wrote.
struct ConfigurationFault
{
  std::string path; //!< For example "callers[2].weight".
  std::string expected;
  std::string found;

  //! "callers[2].weight: expected a number above 0, found -1"
  std::string Describe() const;
};

//! Further faults of a document are left out.
constexpr std::size_t kMaxConfigurationFaults = 100;

//! The operators' document.
struct Configuration
{
  std::vector<CallerQuota> callers;
  std::vector<SteeringRule> steering;
  std::vector<Selector> drained; //!< Endpoints that get nothing new.

  //! The first faults; none if the document may be published.
  std::vector<ConfigurationFault> Check() const;

  //! The quota of a caller, or null if the document does not name it.
  const CallerQuota* FindQuota(std::string_view aCaller) const;

  bool IsDrained(const Labels& aEndpoint) const;

  //! Whether the steering rules allow the endpoint for the submission.
  bool IsAllowed(const Labels& aSubmission, const Labels& aEndpoint) const;
};

}

#endif
