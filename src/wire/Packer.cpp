#include "wire/Packer.h"

#include "wire/Frame.h"

#include <algorithm>
#include <limits>
#include <stdexcept>

namespace hemlockhaven::Wire::Detail {

void Packer::Array(std::size_t aCount)
{
  elements_ += aCount;
  if (elements_ > kMaxElements) {
    throw std::length_error("too many elements");
  }
  packer_.pack_array(static_cast<std::uint32_t>(aCount));
}

void Packer::Text(std::string_view aValue)
{
  if (aValue.size() > std::numeric_limits<std::uint32_t>::max()) {
    throw std::length_error("text too long");
  }
  packer_.pack_str(static_cast<std::uint32_t>(aValue.size()));
  packer_.pack_str_body(aValue.data(),
                        static_cast<std::uint32_t>(aValue.size()));
}

void Packer::Pack(const Incarnation& aValue)
{
  Array(2);
  Text(aValue.node);
  Number(aValue.number);
}

void Packer::Pack(const SubmissionId& aValue)
{
  Array(2);
  Pack(aValue.home);
  Number(aValue.sequence);
}

void Packer::Pack(const Labels& aValue)
{
  Array(aValue.Items().size() * 2);
  for (const Labels::Item& item : aValue.Items()) {
    Text(item.first);
    Text(item.second);
  }
}

void Packer::Pack(const Error& aValue)
{
  Array(6);
  Text(aValue.step);
  Text(aValue.peer);
  Number(static_cast<std::uint64_t>(aValue.reason));
  Number(static_cast<std::uint64_t>(aValue.ran));
  Pack(aValue.retryAfter);
  Text(aValue.detail);
}

void Packer::Pack(const JobSpec& aValue)
{
  Array(12);
  Text(aValue.caller);
  Text(aValue.kind);
  Number(static_cast<std::uint64_t>(aValue.urgency));
  Pack(aValue.labels);
  Text(aValue.selector.Text());
  Number(aValue.needs.cores);
  Number(aValue.needs.memoryMb);
  Number(aValue.needs.accelerators);
  Pack(aValue.deadline);
  Pack(aValue.declaredTime);
  Flag(aValue.idempotent);
  Array(aValue.payloads.size());
  for (const std::string& payload : aValue.payloads) {
    Text(payload);
  }
}

void Packer::Pack(const TaskOutcome& aValue)
{
  Array(9);
  Flag(aValue.succeeded);
  Text(aValue.body);
  Pack(aValue.error);
  Text(aValue.endpoint);
  Text(aValue.zone);
  // The clocks of two processes have nothing to do with each other, so the
  // start crosses as its age.
  if (aValue.startedAt == TimePoint{}) {
    packer_.pack_nil();
  } else {
    Pack(std::max(now_ - aValue.startedAt, Duration{ 0 }));
  }
  Pack(aValue.waited);
  Pack(aValue.elapsed);
  Number(aValue.attempts);
}

void Packer::Pack(const JobAnswer& aValue)
{
  Array(7);
  Pack(aValue.id);
  Number(static_cast<std::uint64_t>(aValue.state));
  Number(aValue.tasks);
  Number(aValue.ended);
  Number(static_cast<std::uint64_t>(aValue.ran));
  PackOptional(aValue.error);
  PackList(aValue.results);
}

void Packer::Pack(const RequestRecord& aValue)
{
  Array(13);
  Text(aValue.id);
  Text(aValue.caller);
  Text(aValue.kind);
  Pack(aValue.labels);
  Number(aValue.tasks);
  Signed(aValue.submittedMs);
  Signed(aValue.startedMs);
  Signed(aValue.endedMs);
  Number(static_cast<std::uint64_t>(aValue.state));
  Number(static_cast<std::uint64_t>(aValue.reason));
  Number(static_cast<std::uint64_t>(aValue.ran));
  Text(aValue.zone);
  Pack(aValue.endpointLabels);
}

void Packer::Pack(const FreeSlots& aValue)
{
  // Trailing classes without a free slot are left out.
  std::size_t count = aValue.size();
  while (count > 0 && aValue[count - 1] == 0) {
    --count;
  }
  Array(count);
  for (std::size_t index = 0; index < count; ++index) {
    Number(aValue[index]);
  }
}

void Packer::Pack(const NumberedUse& aValue)
{
  Array(aValue.name.empty() ? 2 : 3);
  Number(aValue.number);
  Signed(aValue.slotTime.count());
  if (!aValue.name.empty()) {
    Text(aValue.name);
  }
}

void Packer::Pack(const ZoneMember& aValue)
{
  Array(8);
  Pack(aValue.incarnation);
  Number(aValue.cores);
  Number(aValue.sequence);
  Pack(aValue.heardAgo);
  Flag(aValue.draining);
  PackOptional(aValue.successor);
  Pack(aValue.freeSlots);
  Pack(aValue.queueWait);
}

void Packer::Pack(const ZoneSummary& aValue)
{
  Array(2);
  Text(aValue.zone);
  PackList(aValue.members);
}

void Packer::Pack(const Hello& aValue)
{
  Array(3);
  Pack(aValue.self);
  Text(aValue.zone);
  Number(aValue.cores);
}

void Packer::Pack(const PeerDigest& aValue)
{
  Array(8);
  Number(aValue.sequence);
  Number(aValue.configurationVersion);
  Flag(aValue.draining);
  PackOptional(aValue.successor);
  Pack(aValue.freeSlots);
  Pack(aValue.queueWait);
  PackList(aValue.uses);
  PackList(aValue.zones);
}

void Packer::Pack(const KeepAlive& /*aValue*/)
{
  Array(0);
}

void Packer::Pack(const Submit& aValue)
{
  Array(2);
  Pack(aValue.id);
  Pack(aValue.spec);
}

void Packer::Pack(const SubmitKey& aValue)
{
  Array(4);
  Number(aValue.key.high);
  Number(aValue.key.low);
  Number(aValue.epoch);
  Pack(aValue.spec);
}

void Packer::Pack(const SubmitKeyReply& aValue)
{
  Array(2);
  Number(aValue.sequence);
  PackOptional(aValue.error);
}

void Packer::Pack(const SubmitReply& aValue)
{
  Array(1);
  PackOptional(aValue.error);
}

void Packer::Pack(const Fetch& aValue)
{
  Array(2);
  Pack(aValue.id);
  Pack(aValue.wait);
}

void Packer::Pack(const FetchReply& aValue)
{
  Array(2);
  PackOptional(aValue.answer);
  PackOptional(aValue.error);
}

void Packer::Pack(const Cancel& aValue)
{
  Array(1);
  Pack(aValue.id);
}

void Packer::Pack(const CancelReply& aValue)
{
  Array(2);
  Number(static_cast<std::uint64_t>(aValue.state));
  PackOptional(aValue.error);
}

void Packer::Pack(const Run& aValue)
{
  Array(3);
  Pack(aValue.id);
  Number(aValue.index);
  Pack(aValue.task);
}

void Packer::Pack(const RunReply& aValue)
{
  Array(1);
  Pack(aValue.outcome);
}

void Packer::Pack(const ConfigurationPull& aValue)
{
  Array(1);
  Number(aValue.version);
}

void Packer::Pack(const ConfigurationOffer& aValue)
{
  Array(3);
  Number(aValue.version);
  Number(aValue.asOf);
  Text(aValue.document);
}

void Packer::Pack(const Archive& aValue)
{
  Array(6);
  Pack(aValue.home);
  PackList(aValue.answers);
  Number(aValue.firstSequence);
  Number(aValue.nextSequence);
  Text(aValue.usedBits);
  Flag(aValue.isLast);
}

void Packer::Pack(const ArchiveReply& aValue)
{
  Array(1);
  PackOptional(aValue.error);
}

void Packer::Pack(const Where& aValue)
{
  Array(4);
  Text(aValue.query.selector.Text());
  Signed(aValue.query.sinceMs);
  Signed(aValue.query.untilMs);
  Number(aValue.query.most);
}

void Packer::Pack(const WhereReply& aValue)
{
  Array(2);
  PackList(aValue.records);
  Number(aValue.lost);
}

}
