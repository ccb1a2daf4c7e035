#include "adapters/RecordRouter.h"

#include "adapters/RecordCodec.h"

namespace hemlockhaven {

namespace {

//! Passes a decoded record to its receiver.
struct RecordVisitor
{
  const RecordReceivers& receivers;
  LogOffset offset;

  void operator()(const ClaimBatch& aBatch) const
  {
    if (receivers.claims != nullptr) {
      receivers.claims->OnRecord(offset, aBatch);
    }
  }
  void operator()(const ConfigurationChange& aChange) const
  {
    if (receivers.configuration != nullptr) {
      receivers.configuration->OnChange(offset, aChange);
    }
  }
  void operator()(const ConfigurationState& aSnapshot) const
  {
    if (receivers.configuration != nullptr) {
      receivers.configuration->OnSnapshot(offset, aSnapshot);
    }
  }
  void operator()(const HistoryBatch& aBatch) const
  {
    if (receivers.history) {
      receivers.history(aBatch);
    }
  }
};

}

LogSubscriber RouteRecords(const RecordReceivers& aReceivers)
{
  LogSubscriber subscriber;
  subscriber.gap = [aReceivers](LogOffset aFrom, LogOffset aTo) {
    if (aReceivers.claims != nullptr) {
      aReceivers.claims->OnGap(aFrom, aTo);
    }
    if (aReceivers.configuration != nullptr) {
      aReceivers.configuration->OnGap(aFrom, aTo);
    }
  };
  subscriber.record = [aReceivers](const LogRecord& aRecord) {
    const auto decoded = DecodeRecord(aRecord.data);
    if (decoded) {
      std::visit(RecordVisitor{ aReceivers, aRecord.offset }, *decoded);
    } else if (aReceivers.onUndecodableRecord) {
      aReceivers.onUndecodableRecord();
    }
  };
  subscriber.position = [aReceivers](const LogPosition& aPosition) {
    if (aReceivers.claims != nullptr) {
      aReceivers.claims->OnPosition(aPosition);
    }
    if (aReceivers.configuration != nullptr) {
      aReceivers.configuration->OnPosition(aPosition);
    }
  };
  return subscriber;
}

}
