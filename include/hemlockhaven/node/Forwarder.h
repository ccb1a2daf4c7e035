#ifndef HEMLOCKHAVEN_NODE_FORWARDER_H
#define HEMLOCKHAVEN_NODE_FORWARDER_H

#include "hemlockhaven/core/Span.h"
#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/dispatch/Dispatcher.h"
#include "hemlockhaven/membership/ForwardChooser.h"
#include "hemlockhaven/membership/Roster.h"
#include "hemlockhaven/metrics/Counters.h"
#include "hemlockhaven/node/PeerHooks.h"

#include <atomic>
#include <cstddef>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace hemlockhaven {

//! Moves queued tasks to peers that have free slots for them.
//!
//! A peer starts a forwarded task at once or refuses it as not run, so that a
//! cancelled job leaves nothing in other daemons' queues.
class Forwarder
{
public:
  struct Hooks
  {
    Clock clock;
    PeerHooks peers;
    Counters* counters = nullptr; //!< Not null.
  };

  Forwarder(Hooks aHooks, Dispatcher& aDispatcher, const Roster& aRoster);

  //! Offers queued tasks to peers. Calls that come within kInterval of the
  //! last one do nothing; the node's tick calls again.
  void Pump();

  //! Tasks that peers have and have not answered.
  std::size_t OutstandingCount() const { return outstanding_.load(); }

private:
  //! Bounds what a flood of admissions spends on copies of the roster.
  static constexpr Duration kInterval = std::chrono::milliseconds(2);
  static constexpr std::size_t kMostATime = 64;

  std::size_t FreeSlotsOf(Span<const PeerView> aPeers) const;
  std::vector<PeerView> CandidatesFor(const ForwardedTask& aTask,
                                      Span<const PeerView> aPeers);
  void Send(const ForwardedTask& aTask, const PeerView& aPeer);
  void OnReply(const ForwardedTask& aTask,
               const PeerView& aPeer,
               Result<Message>&& aReply);
  void GiveBack(const ForwardedTask& aTask, const PeerView& aPeer, Reason aWhy);
  static void EndUnknown(const ForwardedTask& aTask, Error&& aError);

  //! A peer refused this selector because none of its endpoints fits.
  void RememberMismatch(const PeerView& aPeer, const TaskGroup& aGroup);
  bool IsMismatch(const PeerView& aPeer, const TaskGroup& aGroup);

  Hooks hooks_;
  Dispatcher& dispatcher_;
  const Roster& roster_;
  ForwardChooser chooser_;
  std::atomic<std::size_t> outstanding_{ 0 };
  std::mutex mutex_; //!< Guards the members below.
  TimePoint nextPump_{};
  std::unordered_map<std::string, TimePoint> mismatches_; //!< Until when.
};

}

#endif
