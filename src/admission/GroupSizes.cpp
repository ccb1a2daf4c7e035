#include "hemlockhaven/admission/GroupSizes.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace hemlockhaven {

namespace {

constexpr std::array<double, GroupSizes::kClasses - 1> kQuantiles{ 0.7, 0.9 };

}

void GroupSizes::RecordAsked(double aSize)
{
  for (std::size_t i = 0; i < limits_.size(); ++i) {
    if (limits_.at(i) <= 0) {
      limits_.at(i) = aSize;
    }
    // The limit rests where the quantile's share of the jobs is smaller.
    const double below = aSize <= limits_.at(i) ? 1 : 0;
    limits_.at(i) *= std::exp(kLimitStep * (kQuantiles.at(i) - below));
  }
  for (double& count : asked_) {
    count *= kRetained;
  }
  for (double& count : served_) {
    count *= kRetained;
  }
  asked_.at(ClassOf(aSize)) += 1;
}

void GroupSizes::RecordServed(double aSize)
{
  served_.at(ClassOf(aSize)) += 1;
}

void GroupSizes::RecordWithdrawn(double aSize)
{
  double& served = served_.at(ClassOf(aSize));
  served = std::max(0.0, served - 1);
}

std::size_t GroupSizes::ClassOf(double aSize) const
{
  const auto isBelow = [aSize](double aLimit) { return aSize > aLimit; };
  return static_cast<std::size_t>(
    std::count_if(limits_.begin(), limits_.end(), isBelow));
}

bool GroupSizes::IsBehind(std::size_t aClass) const
{
  const double asked = std::accumulate(asked_.begin(), asked_.end(), 0.0);
  const double served = std::accumulate(served_.begin(), served_.end(), 0.0);
  return asked_.at(aClass) >= kMinJobs &&
         served_.at(aClass) * asked <
           kMinServedRatio * served * asked_.at(aClass);
}

bool GroupSizes::IsLargerBehind(double aSize) const
{
  for (std::size_t i = ClassOf(aSize) + 1; i < kClasses; ++i) {
    if (IsBehind(i)) {
      return true;
    }
  }
  return false;
}

}
