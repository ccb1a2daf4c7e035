#include "link/LinkMessage.h"

#include <msgpack.hpp>

#include <cstdint>
#include <exception>
#include <tuple>
#include <utility>
#include <vector>

namespace hemlockhaven {

namespace {

constexpr std::uint32_t kProtocolVersion = 3;

using MemberFields =
  std::tuple<std::string, std::string, std::string, double, std::uint64_t>;
using BeatFields = std::tuple<MemberFields,
                              std::uint64_t,
                              std::uint64_t,
                              std::uint64_t,
                              std::uint64_t,
                              std::int64_t,
                              std::int64_t,
                              std::uint64_t,
                              std::uint64_t,
                              double,
                              bool,
                              bool,
                              std::vector<MemberFields>>;
using StepFields = std::tuple<std::uint32_t,
                              std::int64_t,
                              std::int64_t,
                              std::int64_t,
                              std::int64_t,
                              std::vector<std::uint32_t>,
                              std::string,
                              std::string,
                              std::uint32_t>;
using WorkFields = std::tuple<std::string,
                              std::string,
                              std::string,
                              std::string,
                              std::vector<StepFields>,
                              std::uint32_t,
                              std::uint32_t,
                              double,
                              std::int64_t,
                              std::int64_t,
                              std::int64_t,
                              std::uint32_t,
                              std::uint64_t,
                              std::uint64_t>;
using AnswerFields = std::
  tuple<std::string, std::uint32_t, std::string, std::int64_t, std::int64_t>;
using CancelFields = std::tuple<std::string, std::string>;

MemberFields ToFields(const Member& aMember)
{
  return { aMember.name,
           aMember.address,
           aMember.zone,
           aMember.cores,
           aMember.incarnation };
}

Member FromFields(const MemberFields& aFields)
{
  Member member;
  std::tie(member.name,
           member.address,
           member.zone,
           member.cores,
           member.incarnation) = aFields;
  return member;
}

BeatFields ToFields(const Beat& aBeat)
{
  std::vector<MemberFields> known;
  known.reserve(aBeat.known.size());
  for (const Member& member : aBeat.known) {
    known.push_back(ToFields(member));
  }
  return { ToFields(aBeat.from),   aBeat.sequence,       aBeat.echo,
           aBeat.leaderToken,      aBeat.highestToken,   aBeat.interval.count(),
           aBeat.stayAway.count(), aBeat.inUse.listedBy, aBeat.inUse.leftFrom,
           aBeat.shedShare,        aBeat.canLead,        aBeat.leaving,
           std::move(known) };
}

Beat FromFields(const BeatFields& aFields)
{
  Beat beat;
  std::int64_t interval = 0;
  std::int64_t stayAway = 0;
  MemberFields from;
  std::vector<MemberFields> known;
  std::tie(from,
           beat.sequence,
           beat.echo,
           beat.leaderToken,
           beat.highestToken,
           interval,
           stayAway,
           beat.inUse.listedBy,
           beat.inUse.leftFrom,
           beat.shedShare,
           beat.canLead,
           beat.leaving,
           known) = aFields;
  beat.interval = Duration(interval);
  beat.stayAway = Duration(stayAway);
  beat.from = FromFields(from);
  for (const MemberFields& member : known) {
    beat.known.push_back(FromFields(member));
  }
  return beat;
}

WorkFields ToFields(const Work& aWork)
{
  std::vector<StepFields> steps;
  steps.reserve(aWork.steps.size());
  for (const WorkStep& step : aWork.steps) {
    steps.emplace_back(step.count,
                       step.each.cpuMillis,
                       step.each.memoryMb,
                       step.each.accelerators,
                       step.estimate.count(),
                       step.after,
                       step.requiredLabel,
                       step.preferredRack,
                       step.mostPerEndpoint);
  }
  return { aWork.id,
           aWork.service,
           aWork.kind,
           aWork.payload,
           std::move(steps),
           aWork.priority,
           aWork.attempts,
           aWork.stretch,
           aWork.targetLatency.count(),
           aWork.age.count(),
           aWork.patience.count(),
           aWork.submissions,
           aWork.usedBefore.listedBy,
           aWork.usedBefore.leftFrom };
}

Work FromFields(WorkFields aFields)
{
  Work work;
  std::vector<StepFields> steps;
  std::int64_t target = 0;
  std::int64_t age = 0;
  std::int64_t patience = 0;
  std::tie(work.id,
           work.service,
           work.kind,
           work.payload,
           steps,
           work.priority,
           work.attempts,
           work.stretch,
           target,
           age,
           patience,
           work.submissions,
           work.usedBefore.listedBy,
           work.usedBefore.leftFrom) = std::move(aFields);
  work.targetLatency = Duration(target);
  work.age = Duration(age);
  work.patience = Duration(patience);
  for (StepFields& fields : steps) {
    WorkStep step;
    std::int64_t estimate = 0;
    std::tie(step.count,
             step.each.cpuMillis,
             step.each.memoryMb,
             step.each.accelerators,
             estimate,
             step.after,
             step.requiredLabel,
             step.preferredRack,
             step.mostPerEndpoint) = std::move(fields);
    step.estimate = Duration(estimate);
    work.steps.push_back(std::move(step));
  }
  return work;
}

AnswerFields ToFields(const WorkAnswer& aAnswer)
{
  return { aAnswer.workId,
           static_cast<std::uint32_t>(aAnswer.outcome),
           aAnswer.reason,
           aAnswer.retryAfter.count(),
           aAnswer.waited.count() };
}

WorkAnswer FromFields(AnswerFields aFields)
{
  WorkAnswer answer;
  std::uint32_t outcome = 0;
  std::int64_t retryAfter = 0;
  std::int64_t waited = 0;
  std::tie(answer.workId, outcome, answer.reason, retryAfter, waited) =
    std::move(aFields);
  if (outcome > static_cast<std::uint32_t>(WorkOutcome::Moved)) {
    throw msgpack::type_error();
  }
  answer.outcome = static_cast<WorkOutcome>(outcome);
  answer.retryAfter = Duration(retryAfter);
  answer.waited = Duration(waited);
  return answer;
}

CancelFields ToFields(const CancelWork& aCancel)
{
  return { aCancel.workId, aCancel.reason };
}

CancelWork FromFields(CancelFields aFields)
{
  return { std::move(std::get<0>(aFields)), std::move(std::get<1>(aFields)) };
}

}

std::string EncodeLinkMessage(const LinkMessage& aMessage)
{
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_array(3);
  packer.pack(kProtocolVersion);
  packer.pack(static_cast<std::uint32_t>(aMessage.index()));
  std::visit([&packer](const auto& aFields) { packer.pack(ToFields(aFields)); },
             aMessage);
  return { buffer.data(), buffer.size() };
}

std::optional<LinkMessage> DecodeLinkMessage(Span<const char> aBytes)
{
  try {
    const msgpack::object_handle handle =
      msgpack::unpack(aBytes.data(), aBytes.size());
    const auto parts =
      handle.get()
        .as<std::tuple<std::uint32_t, std::uint32_t, msgpack::object>>();
    if (std::get<0>(parts) != kProtocolVersion) {
      return std::nullopt;
    }
    const msgpack::object& fields = std::get<2>(parts);
    switch (std::get<1>(parts)) {
      case 0:
        return FromFields(fields.as<BeatFields>());
      case 1:
        return FromFields(fields.as<WorkFields>());
      case 2:
        return FromFields(fields.as<AnswerFields>());
      case 3:
        return FromFields(fields.as<CancelFields>());
      default:
        return std::nullopt;
    }
  } catch (const std::exception&) {
    return std::nullopt; // The caller logs it with the name of the sender.
  }
}

}
