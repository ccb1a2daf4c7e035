#ifndef HEMLOCKHAVEN_ADMISSION_ROOMSHARES_H
#define HEMLOCKHAVEN_ADMISSION_ROOMSHARES_H

#include "hemlockhaven/admission/GroupSizes.h"
#include "hemlockhaven/core/Span.h"
#include "hemlockhaven/core/Time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace hemlockhaven {

//! What a piece of work asks of a shared resource.
struct RoomClaim
{
  std::string_view group;
  std::uint32_t priority = 0; //!< 0 is the most urgent.
  double amount = 0;          //!< Of the shared resource, in any unit.
};

//! Accounts of what groups of callers asked for and were given of a scarce
//! resource, and the max-min fair share of each. A value type without I/O; not
//! thread-safe.
//!
//! What is given in total is taken as the capacity: while some work is refused,
//! they are equal. If nothing is refused, no group is over its share.
class RoomShares
{
public:
  //! Accounts forget half of their content in this time. Bursts of one kind
  //! last 3 to 6 s: a group pays for its burst while it lasts.
  static constexpr Duration kHalfLife{ 1000000 };
  //! Capacity counts as short for this long after work of a group that was not
  //! over its share was refused.
  static constexpr Duration kShortageTime{ 1000000 };
  //! Groups beyond this number share one account.
  static constexpr std::size_t kMaxGroups = 64;
  //! A group counts as over its share from this multiple of the share on. Work
  //! arrives in units, so that equal accounts differ by a few percent.
  static constexpr double kTolerance = 1.05;
  //! Work of a group leaves all room that can be asked for from this excess
  //! over the share on. With all room from the first excess on, 1.3% fewer jobs
  //! were in time on the replay with all kinds at 1.7 times their rate.
  static constexpr double kFullExcess = 0.5;

  //! Sets the weights of groups; groups not named have weight 1.
  void SetWeights(Span<const std::pair<std::string, double>> aWeights);

  void RecordAsked(const RoomClaim& aClaim, TimePoint aNow);
  void RecordGiven(const RoomClaim& aClaim, TimePoint aNow);
  void RecordRefused(const RoomClaim& aClaim, TimePoint aNow);
  //! The claim was given and is refused after all, without any use.
  void RecordWithdrawn(const RoomClaim& aClaim,
                       TimePoint aGivenAt,
                       TimePoint aNow);

  //! Whether the group was given more than its fair share.
  bool IsOverShare(std::string_view aGroup, TimePoint aNow) const
  {
    return GivenToFair(aGroup, aNow) > kTolerance;
  }

  //! How much room the claim has to leave for others, from 0 to 1: it grows
  //! with the excess of its group over the share while capacity is short, and
  //! is 1 if larger jobs of its group are served less often than smaller ones;
  //! those leave none.
  double RoomToLeave(const RoomClaim& aClaim, TimePoint aNow) const;

  //! Whether jobs of this size are served less often than others of the group.
  bool IsSizeBehind(const RoomClaim& aClaim) const;

  //! Whether accepted work of lower priority that has not started gives way to
  //! a new claim: only to priority 0 of a group that is not over its share.
  bool MayDisplace(const RoomClaim& aNew, TimePoint aNow) const
  {
    return aNew.priority == 0 && !IsOverShare(aNew.group, aNow);
  }

  //! Share of the group's claims, 0 to 1, to refuse if aShare of everything
  //! that is asked for is to be refused.
  double ExcessOf(std::string_view aGroup, double aShare, TimePoint aNow) const;

  //! Time in which the work refused lately could be served: refused callers
  //! that return evenly spread over it ask for no more than the capacity.
  Duration ReturnTime(TimePoint aNow) const;

private:
  struct Account
  {
    double asked = 0;
    double given = 0;
    double refused = 0;
    TimePoint updatedAt{};
    GroupSizes sizes;
  };

  using Accounts = std::map<std::string, Account, std::less<>>;

  Account& AccountOf(std::string_view aGroup, TimePoint aNow);
  Accounts::const_iterator Find(std::string_view aGroup) const;
  double WeightOf(std::string_view aGroup) const;
  //! What the group was given as a multiple of its fair share.
  double GivenToFair(std::string_view aGroup, TimePoint aNow) const;
  //! The group's share if aCapacity is divided by max-min fairness.
  double FairShare(std::string_view aGroup,
                   double aCapacity,
                   TimePoint aNow) const;
  double TotalOf(double Account::*aMember, TimePoint aNow) const;

  Accounts accounts_;
  std::map<std::string, double, std::less<>> weights_;
  //! Last refusal of work of a group that was not over its share.
  std::optional<TimePoint> shortAt_;
};

}

#endif
