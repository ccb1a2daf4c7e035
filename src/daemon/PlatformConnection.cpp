#include "daemon/PlatformConnection.h"

#include "adapters/RecordCodec.h"
#include "adapters/RecordRouter.h"
#include "logging/Log.h"

#include <random>
#include <utility>

namespace hemlockhaven {

namespace {

// With the leaving mark this keeps new work from a leaving endpoint well
// within 2 s of the list's saying so.
constexpr Duration kVmListInterval = std::chrono::milliseconds(500);

constexpr Duration kAppendInterval = std::chrono::milliseconds(250);

std::uint64_t RandomNumber()
{
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

}

PlatformConnection::PlatformConnection(Node& aNode, Hooks aHooks)
  : node_(aNode)
  , hooks_(std::move(aHooks))
{
  if (hooks_.log.append) {
    StartLog();
  }
  if (hooks_.vmList) {
    vmList_ =
      std::make_unique<PeriodicTask>(kVmListInterval, [this] { ReadVmList(); });
  }
}

Result<LogOffset> PlatformConnection::Append(std::string_view aData) const
{
  if (!hooks_.log.append) {
    return Error::NotRun(
      "append", Reason::LogUnavailable, "the settings name no log");
  }
  return hooks_.log.append(aData);
}

void PlatformConnection::StartLog()
{
  reader_.Subscribe(RouteRecords({ &node_.Claims(),
                                   &node_.Configurations(),
                                   [this](const HistoryBatch& aBatch) {
                                     for (const auto& record : aBatch.records) {
                                       node_.History().Record(record);
                                     }
                                   },
                                   {} }));
  LogTail::Options options;
  options.onReadError = [](const Error& aError) {
    Log::Warning("read log").Cause(aError).Write("the log cannot be read");
  };
  tail_ = std::make_unique<LogTail>(reader_, hooks_.log.read, options);
  const auto wake = [this] { tail_->Wake(); };
  claims_ = std::make_unique<ClaimAppender>(
    node_.Claims(),
    [this](const ClaimBatch& aBatch) { return Append(EncodeRecord(aBatch)); },
    wake);
  publisher_ = std::make_unique<ConfigurationPublisher>(
    node_.Configurations(),
    ConfigurationPublisher::Hooks{ [this](const ConfigurationChange& aChange) {
                                    return Append(EncodeRecord(aChange));
                                  },
                                   wake,
                                   RandomNumber });
  appends_ = std::make_unique<PeriodicTask>(kAppendInterval,
                                            [this] { node_.AppendDue(); });
}

void PlatformConnection::ReadVmList()
{
  const auto list = hooks_.vmList();
  if (list.has_error()) {
    Log::Warning("read VM list")
      .Cause(list.error())
      .Write("the VM list cannot be read; its last state holds");
    return;
  }
  node_.SetVmList(list.value());
  if (hooks_.listed) {
    hooks_.listed(list.value());
  }
}

}
