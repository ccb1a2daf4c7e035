#ifndef HEMLOCKHAVEN_SRC_DAEMON_PLATFORMCONNECTION_H
#define HEMLOCKHAVEN_SRC_DAEMON_PLATFORMCONNECTION_H

#include "daemon/PeriodicTask.h"
#include "hemlockhaven/configuration/ConfigurationPublisher.h"
#include "hemlockhaven/identity/ClaimAppender.h"
#include "hemlockhaven/node/Node.h"
#include "hemlockhaven/platform/LogHooks.h"
#include "hemlockhaven/platform/LogReader.h"
#include "hemlockhaven/platform/LogTail.h"
#include "hemlockhaven/platform/VmList.h"

#include <functional>
#include <memory>

namespace hemlockhaven {

//! Connects a node to the platform's log and VM list. Each blocking call has a
//! thread of its own, so that a slow platform delays nothing else.
class PlatformConnection
{
public:
  struct Hooks
  {
    LogHooks log;      //!< Empty hooks: there is no log.
    VmListHook vmList; //!< Empty: there is no list.
    std::function<void(const VmList&)> listed;
  };

  PlatformConnection(Node& aNode, Hooks aHooks);

  //! Appends to the log; an error if there is none.
  Result<LogOffset> Append(std::string_view aData) const;

  //! Null if there is no log.
  ConfigurationPublisher* GetPublisher() { return publisher_.get(); }

private:
  void StartLog();
  void ReadVmList();

  Node& node_;
  Hooks hooks_;
  LogReader reader_;
  std::unique_ptr<LogTail> tail_;
  std::unique_ptr<ClaimAppender> claims_;
  std::unique_ptr<ConfigurationPublisher> publisher_;
  std::unique_ptr<PeriodicTask> appends_;
  std::unique_ptr<PeriodicTask> vmList_;
};

}

#endif
