#include "fuzz/node/Oracle.h"

#include <cstdlib>
#include <numeric>

namespace hemlockhaven::Fuzz {

namespace {

constexpr std::size_t kTailLines = 400;

std::string DocumentOf(const ConfigurationState& aState)
{
  return aState.document && !aState.document->callers.empty()
           ? aState.document->callers.front().caller
           : std::string();
}

}

std::string Oracle::BodyFor(std::string_view aPayload)
{
  return "answer to " + std::string(aPayload);
}

std::size_t Oracle::Add(JobSpec aSpec, std::size_t aTasks)
{
  const std::size_t number = submissions_.size();
  for (std::size_t task = 0; task < aTasks; ++task) {
    aSpec.payloads.push_back(std::to_string(number) + '/' +
                             std::to_string(task));
  }
  SubmissionModel model;
  model.spec = std::move(aSpec);
  model.starts.resize(aTasks);
  submissions_.push_back(std::move(model));
  return number;
}

std::pair<std::size_t, std::size_t> Oracle::TaskOf(std::string_view aPayload)
{
  const std::string text(aPayload);
  const std::size_t slash = text.find('/');
  return { std::strtoull(text.c_str(), nullptr, 10),
           std::strtoull(text.c_str() + slash + 1, nullptr, 10) };
}

void Oracle::Started(const Attempt& aAttempt)
{
  const std::string& payload = aAttempt.group->spec.payloads[aAttempt.index];
  const auto [number, task] = TaskOf(payload);
  SubmissionModel& model = submissions_[number];
  const bool maySendAgain = model.spec.idempotent && model.starts.size() == 1;
  if (model.starts[task]++ > 0 && !maySendAgain) {
    Violate("R1: task " + payload + " started again at " + aAttempt.endpoint);
  }
  // Tasks that a peer has are not called back.
  if (model.cancelled && !aAttempt.group->mustStartNow) {
    Violate("cancel: task " + payload + " started after it was cancelled");
  }
}

void Oracle::NotStarted(const Attempt& aAttempt)
{
  const auto [number, task] =
    TaskOf(aAttempt.group->spec.payloads[aAttempt.index]);
  --submissions_[number].starts[task];
}

void Oracle::Tried(std::size_t aNumber, TimePoint aNow)
{
  SubmissionModel& model = submissions_[aNumber];
  if (!model.triedAt) {
    model.triedAt = aNow;
  }
}

void Oracle::Accepted(std::size_t aNumber)
{
  submissions_[aNumber].accepted = true;
}

void Oracle::Cancelled(const SubmissionId& aId)
{
  for (SubmissionModel& model : submissions_) {
    if (model.id == aId) {
      model.cancelled = true;
    }
  }
}

int Oracle::StartsOf(std::size_t aNumber) const
{
  const std::vector<int>& starts = submissions_[aNumber].starts;
  return std::accumulate(starts.begin(), starts.end(), 0);
}

void Oracle::Refused(std::size_t aNumber, const Error& aError)
{
  if (aError.ran == Ran::NotRun && StartsOf(aNumber) > 0) {
    Violate("R4: submission " + std::to_string(aNumber) +
            " has started and was refused as not run: " + aError.Describe());
  }
}

void Oracle::Answered(const JobAnswer& aAnswer)
{
  CheckResults(aAnswer);
  if (aAnswer.state == JobState::Running) {
    return;
  }
  if (aAnswer.state == JobState::Failed && aAnswer.ran == Ran::NotRun) {
    // Other specifications under the id were refused and have no starts.
    for (std::size_t number = 0; number < submissions_.size(); ++number) {
      if (submissions_[number].id == aAnswer.id && StartsOf(number) > 0) {
        Violate("R4: " + aAnswer.id.Text() + " has started and failed as " +
                "not run");
      }
    }
  }
  CheckUnchanged(aAnswer);
}

bool Oracle::HasAllResults(const SubmissionModel& aModel,
                           const JobAnswer& aAnswer)
{
  const std::vector<std::string>& payloads = aModel.spec.payloads;
  bool isWhole = payloads.size() == aAnswer.results.size();
  for (std::size_t at = 0; isWhole && at < payloads.size(); ++at) {
    isWhole = aAnswer.results[at].succeeded &&
              aAnswer.results[at].body == BodyFor(payloads[at]);
  }
  return isWhole;
}

void Oracle::CheckResults(const JobAnswer& aAnswer)
{
  const std::string id = aAnswer.id.Text();
  if (aAnswer.state != JobState::Complete) {
    if (!aAnswer.results.empty()) {
      Violate("R2: " + id + " shows results and is not complete");
    }
    if (aAnswer.state == JobState::Failed && !aAnswer.error) {
      Violate("R2: " + id + " failed without an error");
    }
    return;
  }
  if (aAnswer.error || aAnswer.results.size() != aAnswer.tasks) {
    Violate("R2: " + id + " is complete with an error or a part");
  }
  bool isOwn = false;
  for (SubmissionModel& model : submissions_) {
    // A lost reply hides the id that a key got, so the first answer whose
    // results are whole for that key's submission tells it.
    const bool isHidden = model.key.has_value() && !model.id.has_value();
    if ((isHidden || model.id == aAnswer.id) && HasAllResults(model, aAnswer)) {
      model.id = aAnswer.id;
      isOwn = true;
    }
  }
  if (!isOwn) {
    const std::string body =
      aAnswer.results.empty() ? "" : aAnswer.results.front().body;
    Violate("R3: " + id + " has results that are not its own or not whole, " +
            "the first is '" + body + "'");
  }
}

void Oracle::CheckUnchanged(const JobAnswer& aAnswer)
{
  const auto [first, isFirst] = over_.try_emplace(aAnswer.id.Text(), aAnswer);
  if (isFirst) {
    return;
  }
  const JobAnswer& before = first->second;
  bool isSame = before.state == aAnswer.state && before.ran == aAnswer.ran &&
                before.results.size() == aAnswer.results.size() &&
                before.error.has_value() == aAnswer.error.has_value();
  for (std::size_t at = 0; isSame && at < before.results.size(); ++at) {
    isSame = before.results[at].body == aAnswer.results[at].body;
  }
  if (!isSame) {
    Violate("R2: the answer of " + aAnswer.id.Text() + " changed");
  }
}

void Oracle::Logged(const ConfigurationChange& aChange)
{
  if (aChange.base + 1 == documents_.size()) {
    documents_.push_back(aChange.document->callers.front().caller);
  }
}

void Oracle::Configured(std::uint64_t aIncarnation,
                        const ConfigurationState& aState)
{
  ConfigurationVersion& version = versions_[aIncarnation];
  if (aState.version < version) {
    Violate("R8: the version fell from " + std::to_string(version) + " to " +
            std::to_string(aState.version));
  }
  version = aState.version;
  const std::string document = DocumentOf(aState);
  const std::string expected =
    version < documents_.size() ? documents_[version] : "none";
  if (document != expected) {
    Violate("R8: version " + std::to_string(version) + " is " + expected +
            " by the log and " + document + " in force");
  }
}

void Oracle::Trace(std::string aLine)
{
  if (violations_.empty()) {
    tail_.push_back(std::move(aLine));
    if (tail_.size() > kTailLines) {
      tail_.pop_front();
    }
  }
}

void Oracle::Violate(const std::string& aText)
{
  violations_.push_back(aText);
}

}
