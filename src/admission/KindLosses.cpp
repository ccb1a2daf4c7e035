#include "hemlockhaven/admission/KindLosses.h"

#include <algorithm>
#include <functional>

namespace hemlockhaven {

namespace {

constexpr Duration kWindow = std::chrono::seconds(10);

}

bool KindLosses::Lost(std::string_view aEndpointId, TimePoint aNow)
{
  const std::size_t endpoint = std::hash<std::string_view>()(aEndpointId);
  auto* at =
    std::find_if(losses_.begin(), losses_.end(), [endpoint](const Loss& aLoss) {
      return aLoss.at != TimePoint::min() && aLoss.endpoint == endpoint;
    });
  if (at == losses_.end()) {
    at = std::min_element(losses_.begin(),
                          losses_.end(),
                          [](const Loss& aLeft, const Loss& aRight) {
                            return aLeft.at < aRight.at;
                          });
  }
  *at = { endpoint, aNow };
  const bool isLost =
    std::all_of(losses_.begin(), losses_.end(), [aNow](const Loss& aLoss) {
      return aLoss.at != TimePoint::min() && aNow - aLoss.at <= kWindow;
    });
  const bool isStart = isLost && !isLimited_;
  isLimited_ = isLimited_ || isLost;
  return isStart;
}

}
