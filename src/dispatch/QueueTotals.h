#ifndef HEMLOCKHAVEN_SRC_DISPATCH_QUEUETOTALS_H
#define HEMLOCKHAVEN_SRC_DISPATCH_QUEUETOTALS_H

#include <atomic>
#include <cstddef>

namespace hemlockhaven::Detail {

//! Queued tasks and payload bytes of all shards, for the bounds.
class QueueTotals
{
public:
  //! Whether so much more may be queued. Threads that ask at the same time
  //! may together exceed the bounds by one group each.
  bool HasRoom(std::size_t aTasks,
               std::size_t aBytes,
               std::size_t aMostTasks,
               std::size_t aMostBytes) const
  {
    return tasks_ + aTasks <= aMostTasks && bytes_ + aBytes <= aMostBytes;
  }

  //! Adds differences, which wrap around if they are negative.
  void Add(std::size_t aTasks, std::size_t aBytes)
  {
    tasks_ += aTasks;
    bytes_ += aBytes;
  }

  std::size_t Tasks() const { return tasks_; }

private:
  // On a line of their own, since all shards write them.
  alignas(64) std::atomic<std::size_t> tasks_{ 0 };
  std::atomic<std::size_t> bytes_{ 0 };
};

}

#endif
