#include "hemlockhaven/admission/RoomShares.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace hemlockhaven {

namespace {

double DecayFactor(Duration aAge)
{
  return std::exp2(-static_cast<double>(aAge.count()) /
                   static_cast<double>(RoomShares::kHalfLife.count()));
}

}

void RoomShares::SetWeights(Span<const std::pair<std::string, double>> aWeights)
{
  weights_.clear();
  weights_.insert(aWeights.begin(), aWeights.end());
}

double RoomShares::WeightOf(std::string_view aGroup) const
{
  const auto found = weights_.find(aGroup);
  return found == weights_.end() ? 1 : found->second;
}

RoomShares::Account& RoomShares::AccountOf(std::string_view aGroup,
                                           TimePoint aNow)
{
  auto found = accounts_.find(aGroup);
  if (found == accounts_.end()) {
    const std::string_view name =
      accounts_.size() < kMaxGroups ? aGroup : std::string_view();
    found = accounts_.try_emplace(std::string(name)).first;
  }
  Account& account = found->second;
  const double factor = DecayFactor(aNow - account.updatedAt);
  account.asked *= factor;
  account.given *= factor;
  account.refused *= factor;
  account.updatedAt = aNow;
  return account;
}

RoomShares::Accounts::const_iterator RoomShares::Find(
  std::string_view aGroup) const
{
  const auto found = accounts_.find(aGroup);
  return found == accounts_.end() ? accounts_.find(std::string_view()) : found;
}

void RoomShares::RecordAsked(const RoomClaim& aClaim, TimePoint aNow)
{
  Account& account = AccountOf(aClaim.group, aNow);
  account.asked += aClaim.amount;
  account.sizes.RecordAsked(aClaim.amount);
}

void RoomShares::RecordGiven(const RoomClaim& aClaim, TimePoint aNow)
{
  Account& account = AccountOf(aClaim.group, aNow);
  account.given += aClaim.amount;
  account.sizes.RecordServed(aClaim.amount);
}

void RoomShares::RecordRefused(const RoomClaim& aClaim, TimePoint aNow)
{
  AccountOf(aClaim.group, aNow).refused += aClaim.amount;
  if (!IsOverShare(aClaim.group, aNow)) {
    shortAt_ = aNow;
  }
}

void RoomShares::RecordWithdrawn(const RoomClaim& aClaim,
                                 TimePoint aGivenAt,
                                 TimePoint aNow)
{
  Account& account = AccountOf(aClaim.group, aNow);
  account.given =
    std::max(0.0, account.given - aClaim.amount * DecayFactor(aNow - aGivenAt));
  account.refused += aClaim.amount;
  account.sizes.RecordWithdrawn(aClaim.amount);
}

double RoomShares::TotalOf(double Account::*aMember, TimePoint aNow) const
{
  double total = 0;
  for (const auto& [name, account] : accounts_) {
    total += account.*aMember * DecayFactor(aNow - account.updatedAt);
  }
  return total;
}

double RoomShares::FairShare(std::string_view aGroup,
                             double aCapacity,
                             TimePoint aNow) const
{
  struct Demand
  {
    double asked = 0;
    double weight = 1;
    bool isGroup = false;
  };
  const auto own = Find(aGroup);
  std::vector<Demand> demands;
  demands.reserve(accounts_.size());
  double weights = 0;
  for (auto entry = accounts_.begin(); entry != accounts_.end(); ++entry) {
    const Account& account = entry->second;
    const double asked = account.asked * DecayFactor(aNow - account.updatedAt);
    demands.push_back({ asked, WeightOf(entry->first), entry == own });
    weights += demands.back().weight;
  }
  std::sort(demands.begin(),
            demands.end(),
            [](const Demand& aLeft, const Demand& aRight) {
              return aLeft.asked * aRight.weight < aRight.asked * aLeft.weight;
            });
  for (const Demand& demand : demands) {
    const double share =
      std::min(demand.asked, aCapacity * demand.weight / weights);
    if (demand.isGroup) {
      return share;
    }
    aCapacity -= share;
    weights -= demand.weight;
  }
  return 0;
}

double RoomShares::GivenToFair(std::string_view aGroup, TimePoint aNow) const
{
  const auto found = Find(aGroup);
  if (found == accounts_.end()) {
    return 0;
  }
  const double capacity = TotalOf(&Account::given, aNow);
  const double given =
    found->second.given * DecayFactor(aNow - found->second.updatedAt);
  const double fair = FairShare(aGroup, capacity, aNow);
  return fair > 0 ? given / fair : 0;
}

double RoomShares::RoomToLeave(const RoomClaim& aClaim, TimePoint aNow) const
{
  const auto found = Find(aClaim.group);
  if (found == accounts_.end()) {
    return 0;
  }
  const GroupSizes& sizes = found->second.sizes;
  if (sizes.IsLargerBehind(aClaim.amount)) {
    return 1;
  }
  if (sizes.IsBehind(sizes.ClassOf(aClaim.amount))) {
    return 0; // The rest of the group pays for its excess.
  }
  if (!shortAt_ || aNow - *shortAt_ >= kShortageTime) {
    return 0;
  }
  const double excess = GivenToFair(aClaim.group, aNow) - kTolerance;
  return std::clamp(excess / kFullExcess, 0.0, 1.0);
}

bool RoomShares::IsSizeBehind(const RoomClaim& aClaim) const
{
  const auto found = Find(aClaim.group);
  return found != accounts_.end() &&
         found->second.sizes.IsBehind(
           found->second.sizes.ClassOf(aClaim.amount));
}

double RoomShares::ExcessOf(std::string_view aGroup,
                            double aShare,
                            TimePoint aNow) const
{
  const auto found = Find(aGroup);
  const double total = TotalOf(&Account::asked, aNow);
  if (found == accounts_.end() || total <= 0) {
    return aShare;
  }
  const double asked =
    found->second.asked * DecayFactor(aNow - found->second.updatedAt);
  return asked <= 0 ? aShare
                    : 1 - FairShare(aGroup, (1 - aShare) * total, aNow) / asked;
}

Duration RoomShares::ReturnTime(TimePoint aNow) const
{
  const double given = TotalOf(&Account::given, aNow);
  const double refused = TotalOf(&Account::refused, aNow);
  // An account that decays holds what came in during half-life / ln 2.
  constexpr double kAccountUs = 1.4427 * static_cast<double>(kHalfLife.count());
  constexpr double kMaxRatio = 4;
  const double ratio =
    given > 0 ? std::min(refused / given, kMaxRatio) : kMaxRatio;
  return Duration(
    static_cast<std::int64_t>(refused > 0 ? ratio * kAccountUs : 0));
}

}
