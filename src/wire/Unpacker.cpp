#include "wire/Unpacker.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace hemlockhaven::Wire::Detail {

namespace {

//! Longest selector that is parsed.
constexpr std::size_t kMaxSelectorBytes = 4096;

constexpr std::size_t kUrgencies = 3;
constexpr std::size_t kRans = 3;
constexpr std::size_t kJobStates = 3;

//! Durations beyond a century are no durations; sums with them would overflow.
constexpr std::int64_t kMaxDurationUs = 3155760000LL * 1000000LL;

}

Unpacker::Unpacker(const msgpack::object& aArray, TimePoint aNow)
  : now_(aNow)
{
  if (aArray.type != msgpack::type::ARRAY) {
    throw DecodeError("not an array");
  }
  array_ = aArray.via.array;
}

void Unpacker::Expect(std::size_t aCount) const
{
  if (array_.size != aCount) {
    throw DecodeError("wrong number of elements");
  }
}

const msgpack::object& Unpacker::Peek() const
{
  if (next_ >= array_.size) {
    throw DecodeError("too few elements");
  }
  return array_.ptr[next_];
}

const msgpack::object& Unpacker::Next()
{
  const msgpack::object& element = Peek();
  ++next_;
  return element;
}

std::string Unpacker::Text()
{
  const msgpack::object& element = Next();
  if (element.type != msgpack::type::STR) {
    throw DecodeError("not a text");
  }
  return std::string(element.via.str.ptr, element.via.str.size);
}

void Unpacker::ReadInto(Duration& aValue)
{
  const auto count = Number<std::int64_t>();
  if (count > kMaxDurationUs || count < -kMaxDurationUs) {
    throw DecodeError("duration out of range");
  }
  aValue = Duration(count);
}

void Unpacker::ReadInto(Selector& aValue)
{
  const std::string text = Text();
  if (text.size() > kMaxSelectorBytes) {
    throw DecodeError("selector too long");
  }
  Result<Selector> selector = Selector::Parse(text);
  if (!selector) {
    throw DecodeError("selector: " + selector.error().detail);
  }
  aValue = std::move(selector).value();
}

void Unpacker::ReadInto(Incarnation& aValue)
{
  Unpacker in = Inner();
  in.Expect(2);
  aValue.node = in.Text();
  aValue.number = in.Number<std::uint64_t>();
}

void Unpacker::ReadInto(SubmissionId& aValue)
{
  Unpacker in = Inner();
  in.Expect(2);
  aValue.home = in.Read<Incarnation>();
  aValue.sequence = in.Number<std::uint64_t>();
}

void Unpacker::ReadInto(Labels& aValue)
{
  Unpacker in = Inner();
  if (in.Count() % 2 != 0) {
    throw DecodeError("label without a value");
  }
  std::vector<Labels::Item> items;
  items.reserve(in.Count() / 2);
  while (in.Left() != 0) {
    std::string key = in.Text();
    items.emplace_back(std::move(key), in.Text());
  }
  aValue = Labels(items);
}

void Unpacker::ReadInto(Error& aValue)
{
  Unpacker in = Inner();
  in.Expect(6);
  aValue.step = in.Text();
  aValue.peer = in.Text();
  aValue.reason = in.Enumerator<Reason>(kReasonCount);
  aValue.ran = in.Enumerator<Ran>(kRans);
  aValue.retryAfter = in.Read<Duration>();
  aValue.detail = in.Text();
}

void Unpacker::ReadInto(JobSpec& aValue)
{
  Unpacker in = Inner();
  in.Expect(12);
  aValue.caller = in.Text();
  aValue.kind = in.Text();
  aValue.urgency = in.Enumerator<Urgency>(kUrgencies);
  aValue.labels = in.Read<Labels>();
  aValue.selector = in.Read<Selector>();
  aValue.needs.cores = in.Number<std::uint32_t>();
  aValue.needs.memoryMb = in.Number<std::uint64_t>();
  aValue.needs.accelerators = in.Number<std::uint32_t>();
  aValue.deadline = in.Read<Duration>();
  aValue.declaredTime = in.Read<Duration>();
  aValue.idempotent = in.Flag();
  aValue.payloads = in.ReadList<std::string>();
  if (aValue.payloads.size() > kMaxTasksPerJob) {
    throw DecodeError("too many tasks");
  }
}

void Unpacker::ReadInto(TaskOutcome& aValue)
{
  Unpacker in = Inner();
  in.Expect(9);
  aValue.succeeded = in.Flag();
  aValue.body = in.Text();
  aValue.error = in.Read<Error>();
  aValue.endpoint = in.Text();
  aValue.zone = in.Text();
  if (const auto age = in.ReadOptional<Duration>()) {
    aValue.startedAt = now_ - std::max(*age, Duration{ 0 });
  }
  aValue.waited = in.Read<Duration>();
  aValue.elapsed = in.Read<Duration>();
  aValue.attempts = in.Number<std::uint32_t>();
}

void Unpacker::ReadInto(JobAnswer& aValue)
{
  Unpacker in = Inner();
  in.Expect(7);
  aValue.id = in.Read<SubmissionId>();
  aValue.state = in.Enumerator<JobState>(kJobStates);
  aValue.tasks = in.Number<std::uint32_t>();
  aValue.ended = in.Number<std::uint32_t>();
  aValue.ran = in.Enumerator<Ran>(kRans);
  aValue.error = in.ReadOptional<Error>();
  aValue.results = in.ReadList<TaskOutcome>();
  // An answer is whole or absent.
  const std::size_t whole =
    aValue.state == JobState::Complete ? aValue.tasks : 0;
  if (aValue.results.size() != whole) {
    throw DecodeError("partial answer");
  }
}

void Unpacker::ReadInto(RequestRecord& aValue)
{
  Unpacker in = Inner();
  in.Expect(13);
  aValue.id = in.Text();
  aValue.caller = in.Text();
  aValue.kind = in.Text();
  aValue.labels = in.Read<Labels>();
  aValue.tasks = in.Number<std::uint32_t>();
  aValue.submittedMs = in.Number<std::int64_t>();
  aValue.startedMs = in.Number<std::int64_t>();
  aValue.endedMs = in.Number<std::int64_t>();
  aValue.state = in.Enumerator<JobState>(kJobStates);
  aValue.reason = in.Enumerator<Reason>(kReasonCount);
  aValue.ran = in.Enumerator<Ran>(kRans);
  aValue.zone = in.Text();
  aValue.endpointLabels = in.Read<Labels>();
}

void Unpacker::ReadInto(FreeSlots& aValue)
{
  Unpacker in = Inner();
  if (in.Count() > aValue.size()) {
    throw DecodeError("too many speed classes");
  }
  for (std::size_t index = 0; in.Left() != 0; ++index) {
    aValue[index] = in.Number<std::uint32_t>();
  }
}

void Unpacker::ReadInto(NumberedUse& aValue)
{
  Unpacker in = Inner();
  if (in.Count() != 3) {
    in.Expect(2);
  }
  aValue.number = in.Number<std::uint32_t>();
  const auto slotTime = in.Number<std::int64_t>();
  if (slotTime > kMaxDurationUs / 1000 || slotTime < -kMaxDurationUs / 1000) {
    throw DecodeError("slot time out of range");
  }
  aValue.slotTime = std::chrono::milliseconds(slotTime);
  if (in.Left() != 0) {
    aValue.name = in.Text();
  }
}

void Unpacker::ReadInto(ZoneMember& aValue)
{
  Unpacker in = Inner();
  in.Expect(8);
  aValue.incarnation = in.Read<Incarnation>();
  aValue.cores = in.Number<std::uint32_t>();
  aValue.sequence = in.Number<std::uint64_t>();
  aValue.heardAgo = in.Read<Duration>();
  if (aValue.heardAgo < Duration{ 0 }) {
    throw DecodeError("digest from the future");
  }
  aValue.draining = in.Flag();
  aValue.successor = in.ReadOptional<Incarnation>();
  aValue.freeSlots = in.Read<FreeSlots>();
  aValue.queueWait = in.Read<Duration>();
}

void Unpacker::ReadInto(ZoneSummary& aValue)
{
  Unpacker in = Inner();
  in.Expect(2);
  aValue.zone = in.Text();
  aValue.members = in.ReadList<ZoneMember>();
}

void Unpacker::ReadInto(Hello& aValue)
{
  Unpacker in = Inner();
  in.Expect(3);
  aValue.self = in.Read<Incarnation>();
  aValue.zone = in.Text();
  aValue.cores = in.Number<std::uint32_t>();
}

void Unpacker::ReadInto(PeerDigest& aValue)
{
  Unpacker in = Inner();
  in.Expect(8);
  aValue.sequence = in.Number<std::uint64_t>();
  aValue.configurationVersion = in.Number<std::uint64_t>();
  aValue.draining = in.Flag();
  aValue.successor = in.ReadOptional<Incarnation>();
  aValue.freeSlots = in.Read<FreeSlots>();
  aValue.queueWait = in.Read<Duration>();
  aValue.uses = in.ReadList<NumberedUse>();
  aValue.zones = in.ReadList<ZoneSummary>();
}

void Unpacker::ReadInto(KeepAlive& /*aValue*/)
{
  Inner().Expect(0);
}

void Unpacker::ReadInto(Submit& aValue)
{
  Unpacker in = Inner();
  in.Expect(2);
  aValue.id = in.Read<SubmissionId>();
  aValue.spec = in.Read<JobSpec>();
}

void Unpacker::ReadInto(SubmitKey& aValue)
{
  Unpacker in = Inner();
  in.Expect(4);
  aValue.key.high = in.Number<std::uint64_t>();
  aValue.key.low = in.Number<std::uint64_t>();
  aValue.epoch = in.Number<std::uint64_t>();
  aValue.spec = in.Read<JobSpec>();
}

void Unpacker::ReadInto(SubmitKeyReply& aValue)
{
  Unpacker in = Inner();
  in.Expect(2);
  aValue.sequence = in.Number<std::uint64_t>();
  aValue.error = in.ReadOptional<Error>();
}

void Unpacker::ReadInto(SubmitReply& aValue)
{
  Unpacker in = Inner();
  in.Expect(1);
  aValue.error = in.ReadOptional<Error>();
}

void Unpacker::ReadInto(Fetch& aValue)
{
  Unpacker in = Inner();
  in.Expect(2);
  aValue.id = in.Read<SubmissionId>();
  aValue.wait = in.Read<Duration>();
}

void Unpacker::ReadInto(FetchReply& aValue)
{
  Unpacker in = Inner();
  in.Expect(2);
  aValue.answer = in.ReadOptional<JobAnswer>();
  aValue.error = in.ReadOptional<Error>();
  if (aValue.answer.has_value() == aValue.error.has_value()) {
    throw DecodeError("answer and error do not exclude each other");
  }
}

void Unpacker::ReadInto(Cancel& aValue)
{
  Unpacker in = Inner();
  in.Expect(1);
  aValue.id = in.Read<SubmissionId>();
}

void Unpacker::ReadInto(CancelReply& aValue)
{
  Unpacker in = Inner();
  in.Expect(2);
  aValue.state = in.Enumerator<JobState>(kJobStates);
  aValue.error = in.ReadOptional<Error>();
}

void Unpacker::ReadInto(Run& aValue)
{
  Unpacker in = Inner();
  in.Expect(3);
  aValue.id = in.Read<SubmissionId>();
  aValue.index = in.Number<std::uint32_t>();
  aValue.task = in.Read<JobSpec>();
  if (aValue.task.payloads.size() != 1) {
    throw DecodeError("not one task");
  }
}

void Unpacker::ReadInto(RunReply& aValue)
{
  Unpacker in = Inner();
  in.Expect(1);
  aValue.outcome = in.Read<TaskOutcome>();
}

void Unpacker::ReadInto(ConfigurationPull& aValue)
{
  Unpacker in = Inner();
  in.Expect(1);
  aValue.version = in.Number<std::uint64_t>();
}

void Unpacker::ReadInto(ConfigurationOffer& aValue)
{
  Unpacker in = Inner();
  in.Expect(3);
  aValue.version = in.Number<std::uint64_t>();
  aValue.asOf = in.Number<std::uint64_t>();
  aValue.document = in.Text();
}

void Unpacker::ReadInto(Archive& aValue)
{
  Unpacker in = Inner();
  in.Expect(6);
  aValue.home = in.Read<Incarnation>();
  aValue.answers = in.ReadList<JobAnswer>();
  aValue.firstSequence = in.Number<std::uint64_t>();
  aValue.nextSequence = in.Number<std::uint64_t>();
  aValue.usedBits = in.Text();
  aValue.isLast = in.Flag();
  if (aValue.firstSequence > aValue.nextSequence) {
    throw DecodeError("window ends before it starts");
  }
  // An absent bit would say "not run" of an id that may have run.
  const std::uint64_t window = aValue.nextSequence - aValue.firstSequence;
  const std::uint64_t bytes = window / 8 + (window % 8 != 0 ? 1 : 0);
  if (aValue.isLast && aValue.usedBits.size() != bytes) {
    throw DecodeError("window and bits differ");
  }
}

void Unpacker::ReadInto(ArchiveReply& aValue)
{
  Unpacker in = Inner();
  in.Expect(1);
  aValue.error = in.ReadOptional<Error>();
}

void Unpacker::ReadInto(Where& aValue)
{
  Unpacker in = Inner();
  in.Expect(4);
  aValue.query.selector = in.Read<Selector>();
  aValue.query.sinceMs = in.Number<std::int64_t>();
  aValue.query.untilMs = in.Number<std::int64_t>();
  aValue.query.most = in.Number<std::uint32_t>();
}

void Unpacker::ReadInto(WhereReply& aValue)
{
  Unpacker in = Inner();
  in.Expect(2);
  aValue.records = in.ReadList<RequestRecord>();
  aValue.lost = in.Number<std::uint64_t>();
}

}
