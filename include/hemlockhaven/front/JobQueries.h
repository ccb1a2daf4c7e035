#ifndef HEMLOCKHAVEN_FRONT_JOBQUERIES_H
#define HEMLOCKHAVEN_FRONT_JOBQUERIES_H

#include "hemlockhaven/core/Span.h"
#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/front/JobQuery.h"
#include "hemlockhaven/leadership/KnownLeader.h"
#include "hemlockhaven/scheduler/Effects.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hemlockhaven {

//! The answer to the caller of a query.
struct JobAnswer
{
  //! Unknown: no leader knows the job. Undecided: this could not be found out.
  JobState state = JobState::Undecided;
  std::string_view reason; //!< With Undecided.
};

//! Receives the answer. Called once, with no lock held.
using JobAnswerHook = std::function<void(const JobAnswer&)>;

//! What the owner of the queries has to do after a call.
struct JobQueryEffects
{
  struct Message
  {
    std::string leader;
    JobQuery query; //!< Without a term.
  };
  //! A cancel that leaders have confirmed.
  struct ConfirmedCancel
  {
    std::string workId;
    std::set<std::string> askedLeaders;
  };
  std::vector<Message> messages;
  std::vector<ConfirmedCancel> confirmedCancels;
  std::vector<std::pair<JobAnswerHook, JobAnswer>> answers;
  std::vector<Decision> decisions;
};

//! The queries of this daemon's callers that leaders have not answered yet.
//! Each is sent to every leader that is known, once more if one of them is
//! lost, and is answered once: with the first state that a leader knows, with
//! Unknown if no leader knows the job, otherwise with Undecided. Kept in
//! shards, each under its own lock. Thread-safe.
class JobQueries
{
public:
  //! A reply takes two network delays and the leader's event loop; callers
  //! retry after 1 s.
  static constexpr Duration kTimeout{ 1000000 };
  static constexpr std::size_t kMaxOpenQueries = 4096;

  explicit JobQueries(Clock aClock);

  //! Sends a query to the leaders. It ends after aTimeout, at most kTimeout.
  JobQueryEffects Open(JobQueryKind aKind,
                       std::string_view aWorkId,
                       Span<const KnownLeader> aLeaders,
                       Duration aTimeout,
                       JobAnswerHook aAnswer);

  JobQueryEffects OnReply(std::string_view aLeader,
                          const JobQueryReply& aReply);

  //! Ends queries that are too old. Sends those that wait for a leader that is
  //! not among these any more to the next one. Called at regular intervals and
  //! after each change.
  JobQueryEffects Update(Span<const KnownLeader> aLeaders);

  std::size_t OpenCount() const { return openCount_; }

private:
  struct Query
  {
    JobQuery message;
    JobAnswerHook answer;
    TimePoint deadline{};
    struct Pending
    {
      std::uint64_t term = 0; //!< When it was asked.
      bool isNext = false;    //!< Asked in place of a lost one.
    };
    std::map<std::string, Pending> pending; //!< Leaders without a reply.
    std::set<std::string> asked;
    //! Leaders that were lost without a reply, with no next one asked yet.
    std::size_t lostLeaders = 0;
    //! Why this cannot be found out any more, unless a leader knows the job.
    std::string_view obstacle;
  };

  struct Shard
  {
    std::mutex mutex;
    std::unordered_map<std::uint64_t, Query> queries;
  };

  static constexpr std::size_t kShardCount = 8;

  Shard& ShardOf(std::uint64_t aId) { return shards_[aId % kShardCount]; }
  static void Send(Query& aQuery,
                   const KnownLeader& aLeader,
                   bool aIsNext,
                   JobQueryEffects& aEffects);
  static void OnLeaderLost(Query& aQuery, const Query::Pending& aPending);
  //! Sends the query once more for each leader that was lost.
  static void Resend(Query& aQuery,
                     Span<const KnownLeader> aLeaders,
                     JobQueryEffects& aEffects);
  //! Whether no reply is outstanding that could still decide.
  static bool IsDecided(const Query& aQuery);
  void Finish(Shard& aShard,
              std::uint64_t aId,
              const JobAnswer& aAnswer,
              JobQueryEffects& aEffects);
  void FinishWithoutState(Shard& aShard,
                          std::uint64_t aId,
                          JobQueryEffects& aEffects);

  Clock clock_;
  std::array<Shard, kShardCount> shards_;
  std::atomic<std::uint64_t> nextId_{ 0 };
  std::atomic<std::size_t> openCount_{ 0 };
};

}

#endif
