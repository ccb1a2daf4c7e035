#ifndef HEMLOCKHAVEN_IDENTITY_CLAIMAPPENDER_H
#define HEMLOCKHAVEN_IDENTITY_CLAIMAPPENDER_H

#include "hemlockhaven/identity/ClaimLedger.h"

#include <functional>
#include <thread>

namespace hemlockhaven {

//! Appends a ledger's batches in its own thread.
class ClaimAppender
{
public:
  //! Encodes and appends a batch; blocks.
  using Append = std::function<Result<LogOffset>(const ClaimBatch&)>;

  //! aAppended is called after each append, so that the log is read at once.
  ClaimAppender(ClaimLedger& aLedger,
                Append aAppend,
                std::function<void()> aAppended);
  //! Stops the ledger and waits for the append in flight.
  ~ClaimAppender();
  ClaimAppender(const ClaimAppender&) = delete;
  ClaimAppender& operator=(const ClaimAppender&) = delete;

private:
  void Run();

  ClaimLedger& ledger_;
  Append append_;
  std::function<void()> appended_;
  std::thread thread_; //!< Last, because it uses the other members.
};

}

#endif
