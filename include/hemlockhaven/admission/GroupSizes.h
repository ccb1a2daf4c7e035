#ifndef HEMLOCKHAVEN_ADMISSION_GROUPSIZES_H
#define HEMLOCKHAVEN_ADMISSION_GROUPSIZES_H

#include <array>
#include <cstddef>

namespace hemlockhaven {

//! How often the jobs of one group are served by their size: the largest tenth,
//! the fifth below it, and the rest. A value type.
class GroupSizes
{
public:
  static constexpr std::size_t kClasses = 3; //!< From the smallest on.
  //! A class counts as behind below this part of the rate at which the group is
  //! served. Callers ask for at least half; the difference leaves time to
  //! react.
  static constexpr double kMinServedRatio = 0.75;
  //! Weight of old counts per new job: a memory of about 100 jobs, ten of them
  //! of the largest class.
  static constexpr double kRetained = 0.99;
  //! Fewer jobs of a class than this say nothing about it.
  static constexpr double kMinJobs = 2;
  //! Step of the estimated size limits per job, on a logarithmic scale.
  static constexpr double kLimitStep = 0.05;

  void RecordAsked(double aSize);
  void RecordServed(double aSize);
  void RecordWithdrawn(double aSize);

  std::size_t ClassOf(double aSize) const;
  bool IsBehind(std::size_t aClass) const;
  //! Whether a class of larger jobs is behind.
  bool IsLargerBehind(double aSize) const;

private:
  std::array<double, kClasses - 1> limits_{}; //!< Quantiles 0.7 and 0.9.
  std::array<double, kClasses> asked_{};
  std::array<double, kClasses> served_{};
};

}

#endif
