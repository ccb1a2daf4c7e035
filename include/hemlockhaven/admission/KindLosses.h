#ifndef HEMLOCKHAVEN_ADMISSION_KINDLOSSES_H
#define HEMLOCKHAVEN_ADMISSION_KINDLOSSES_H

#include "hemlockhaven/core/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace hemlockhaven {

//! Quarantine of one kind of work that takes endpoints down with it: after
//! losing 3 distinct endpoints in 10 s it gets one attempt at a time until one
//! succeeds.
class KindLosses
{
public:
  //! Records an attempt with unknown outcome; true if the quarantine starts.
  bool Lost(std::string_view aEndpointId, TimePoint aNow);
  void Succeeded() { isLimited_ = false; }
  bool IsLimited() const { return isLimited_; }

private:
  struct Loss
  {
    std::size_t endpoint = 0; //!< Hash of its id.
    TimePoint at = TimePoint::min();
  };

  std::array<Loss, 3> losses_; //!< The latest of distinct endpoints.
  bool isLimited_ = false;
};

}

#endif
