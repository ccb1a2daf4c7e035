#ifndef HEMLOCKHAVEN_SRC_SCHEDULER_ENDPOINTENTRY_H
#define HEMLOCKHAVEN_SRC_SCHEDULER_ENDPOINTENTRY_H

#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/fleet/EndpointHealth.h"
#include "hemlockhaven/scheduler/EndpointLease.h"
#include "hemlockhaven/scheduler/ListedEndpoint.h"
#include "hemlockhaven/scheduler/Reports.h"
#include "hemlockhaven/scheduler/RunTimeModel.h"
#include "scheduler/UnansweredStarts.h"
#include "scheduler/WorkEntry.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

namespace hemlockhaven::Detail {

//! A run at an endpoint that belongs to no known work.
struct OrphanRun
{
  RunKey run;
  TimePoint seenAt{};
  TimePoint stopSentAt{};
};

//! State of one endpoint: description, lease, active runs and free resources.
class EndpointEntry
{
public:
  explicit EndpointEntry(ListedEndpoint aListed)
    : listed(std::move(aListed))
    , free(listed.capacity)
  {
  }

  //! Whether new runs may start here.
  bool IsUsable(TimePoint aNow, Duration aResponseTimeout) const;

  //! Why not, for the log; empty if it is usable.
  std::string_view UnusableReason(TimePoint aNow,
                                  Duration aResponseTimeout) const;

  //! When the passing of time alone may change whether it is usable, at the
  //! earliest.
  TimePoint UsabilityReviewAt(TimePoint aNow, Duration aResponseTimeout) const;

  //! Reserves resources for a run of the task.
  void Occupy(WorkEntry& aEntry, TaskEntry& aTask);
  //! Frees the resources of the task's run.
  void Release(WorkEntry& aEntry, TaskEntry& aTask);

  bool HasLabel(std::string_view aLabel) const;

  //! Whether its record and its last reply name different incarnations: what
  //! the record says of labels, capacity and rack may not hold.
  bool IsDescribedWrongly() const
  {
    return incarnationStartMs != 0 && listed.incarnationStartMs != 0 &&
           incarnationStartMs != listed.incarnationStartMs;
  }

  //! Since when the endpoint owes a reply; its last reply if it owes none.
  TimePoint SilentSince(TimePoint aNow) const;

  ListedEndpoint listed;
  bool isListed = true;
  TimePoint unlistedAt{};
  // Bounds on the position where it left the list, if it is not listed.
  std::uint64_t leftFrom = 0;
  std::uint64_t leftBy = 0;
  bool isEvacuated = false; //!< Its availability zone is evacuated.
  TimePoint usableAt{};     //!< Other daemons know the endpoint by then.
  Resources free;
  //! Active runs of known work.
  std::vector<std::pair<WorkEntry*, TaskEntry*>> runs;
  std::vector<OrphanRun> orphans;

  EndpointLease lease;
  EndpointSpeed speed;
  EndpointHealth health;

  std::int64_t incarnationStartMs = 0; //!< Incarnation that replied last.
  UnansweredStarts unansweredStarts;
  std::uint64_t ackPosition = 0;
  bool isTakenOver = false; //!< It replied to a poll in this term.
  bool isPollInFlight = false;
  TimePoint nextPollAt{};
  TimePoint pollSentAt{};
  TimePoint lastReplyAt{}; //!< Last reply of any kind.
  bool isResponding = false;
  //! Tasks wait for an endpoint of its rack; of the last dispatch.
  bool isRackWanted = false;
  TimePoint noStartsUntil{};  //!< After a refusal for lack of resources.
  std::size_t usableSlot = 0; //!< Its place in UsableEndpoints.
};

}

#endif
