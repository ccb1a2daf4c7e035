#include "hemlockhaven/identity/ClaimAppender.h"

#include <utility>

namespace hemlockhaven {

ClaimAppender::ClaimAppender(ClaimLedger& aLedger,
                             Append aAppend,
                             std::function<void()> aAppended)
  : ledger_(aLedger)
  , append_(std::move(aAppend))
  , appended_(std::move(aAppended))
  , thread_([this] { Run(); })
{
}

ClaimAppender::~ClaimAppender()
{
  ledger_.Stop();
  thread_.join();
}

void ClaimAppender::Run()
{
  while (const auto batch = ledger_.AwaitBatch()) {
    ledger_.BatchEnded(*batch, append_(*batch));
    if (appended_) {
      appended_();
    }
  }
}

}
