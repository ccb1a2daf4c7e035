#ifndef HEMLOCKHAVEN_SRC_NET_CONNECTIONPLAN_H
#define HEMLOCKHAVEN_SRC_NET_CONNECTIONPLAN_H

#include <cstddef>

namespace hemlockhaven {

//! How a process shares its machine's memory and descriptors among connections.
struct ConnectionPlan
{
  std::size_t budgetBytes = 0;  //!< For ConnectionMemory.
  std::size_t maxBodyBytes = 0; //!< Leaves the rest to parse one body.
  std::size_t connections = 0;  //!< Of the listener for callers.
  //! Sizes of a socket's buffers in the kernel, for each connection.
  std::size_t receiveBufferBytes = 0;
  std::size_t sendBufferBytes = 0;
};

//! Connections of each listener that is not for callers.
constexpr std::size_t kCheckConnections = 128;

//! Plans for a machine with the given memory and open descriptors, of which
//! the callers' listener should have the wanted number of connections.
ConnectionPlan PlanConnections(std::size_t aMemoryMb,
                               std::size_t aDescriptors,
                               std::size_t aWantedConnections);

//! The most that queued tasks may hold on a machine with the given memory.
std::size_t MaxQueuedBytes(std::size_t aMemoryMb);

//! Makes the allocator return freed bodies to the system at once. Call it
//! before the first connection.
void ReturnFreedBodies();

//! Returns the allocator's free pages to the system.
void ReturnFreedPages();

//! The process's limit of open descriptors.
std::size_t DescriptorLimit();

}

#endif
