#include "hemlockhaven/core/Error.h"

namespace hemlockhaven {

Error Error::NotRun(std::string_view aStep,
                    Reason aReason,
                    std::string_view aDetail,
                    Duration aRetryAfter)
{
  return { std::string(aStep), "",          aReason,
           Ran::NotRun,        aRetryAfter, std::string(aDetail) };
}

Error Error::Unknown(std::string_view aStep,
                     std::string_view aPeer,
                     Reason aReason,
                     std::string_view aDetail,
                     Duration aRetryAfter)
{
  return { std::string(aStep), std::string(aPeer), aReason,
           Ran::Unknown,       aRetryAfter,        std::string(aDetail) };
}

std::string Error::Describe() const
{
  std::string text = step;
  if (!peer.empty()) {
    text += " at " + peer;
  }
  text += ": ";
  text += ReasonName(reason);
  if (!detail.empty()) {
    text += ": " + detail;
  }
  return text;
}

}
