#ifndef HEMLOCKHAVEN_SRC_CLI_SUBMISSION_H
#define HEMLOCKHAVEN_SRC_CLI_SUBMISSION_H

#include "cli/DaemonClient.h"

#include <functional>
#include <string>

namespace hemlockhaven {

//! Submits under one id and repeats under the same id after a lost answer,
//! never under a new one.
class Submission
{
public:
  //! Called with each reply that says that the job still runs.
  using Progress = std::function<void(const nlohmann::json&)>;

  //! aPlural: "requests" or "jobs".
  Submission(const DaemonClient& aClient, std::string aPlural);

  //! Reserves the id; nothing starts.
  Result<std::string> Reserve();

  //! Continues under an id that was reserved before.
  void SetId(std::string aId) { id_ = std::move(aId); }

  //! Submits and waits until it is over or the daemon refuses.
  Result<DaemonReply> Run(const nlohmann::json& aBody,
                          const Progress& aProgress) const;

  //! Waits for the answer of what was submitted before.
  Result<DaemonReply> Wait(const Progress& aProgress) const;

private:
  Result<DaemonReply> SendUntilOver(std::string_view aMethod,
                                    const std::string& aBody,
                                    const Progress& aProgress) const;

  const DaemonClient& client_;
  std::string plural_;
  std::string id_;
};

}

#endif
