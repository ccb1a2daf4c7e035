#include "hemlockhaven/scheduler/JobState.h"

namespace hemlockhaven {

std::string_view NameOf(JobState aState)
{
  switch (aState) {
    case JobState::Unknown:
      return "unknown";
    case JobState::Queued:
      return "queued";
    case JobState::Running:
      return "running";
    case JobState::Completed:
      return "completed";
    case JobState::Failed:
      return "failed";
    case JobState::Cancelled:
      return "cancelled";
    case JobState::Undecided:
      return "undecided";
    case JobState::NotLeading:
      return "not leading";
  }
  return "";
}

}
