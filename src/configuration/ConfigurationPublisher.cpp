#include "hemlockhaven/configuration/ConfigurationPublisher.h"

#include <memory>
#include <utility>

namespace hemlockhaven {

using Outcome = PublishAnswer::Outcome;

ConfigurationPublisher::ConfigurationPublisher(ConfigurationStore& aStore,
                                               Hooks aHooks)
  : store_(aStore)
  , hooks_(std::move(aHooks))
{
}

PublishAnswer ConfigurationPublisher::Publish(const Configuration& aDocument,
                                              ConfigurationVersion aBase,
                                              Duration aLimit)
{
  PublishAnswer answer;
  answer.faults = aDocument.Check();
  if (!answer.faults.empty()) {
    answer.outcome = Outcome::Invalid;
    return answer;
  }
  const auto current = store_.Current();
  if (current && current->version > aBase) {
    // Versions only rise, so the log would reject it as well.
    answer.outcome = Outcome::Conflict;
    answer.version = current->version;
    return answer;
  }
  const ConfigurationChange change{
    aBase, hooks_.random(), std::make_shared<const Configuration>(aDocument)
  };
  const Result<LogOffset> appended = hooks_.append(change);
  if (appended.has_error() && appended.error().ran == Ran::NotRun) {
    answer.outcome = Outcome::Refused;
    answer.detail = appended.error().Describe();
    return answer;
  }
  if (hooks_.wakeReader) {
    hooks_.wakeReader();
  }
  const auto verdict = store_.AwaitVerdict(change.nonce, aLimit);
  if (verdict) {
    answer.outcome = verdict->accepted ? Outcome::Accepted : Outcome::Conflict;
    answer.version = verdict->version;
    return answer;
  }
  answer.outcome = Outcome::Unknown;
  answer.detail = appended.has_error()
                    ? appended.error().Describe()
                    : "the record was not read back within the time limit";
  return answer;
}

}
