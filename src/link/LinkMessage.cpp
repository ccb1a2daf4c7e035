#include "link/LinkMessage.h"

#include <msgpack.hpp>

#include <cstdint>
#include <exception>
#include <tuple>
#include <utility>
#include <vector>

namespace hemlockhaven {

namespace {

constexpr std::uint32_t kProtocolVersion = 5;

using MemberFields = std::
  tuple<std::string, std::string, std::string, double, std::uint64_t, double>;
using HeartbeatFields = std::tuple<MemberFields,
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
                                   bool,
                                   std::string,
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
                              std::uint32_t,
                              bool>;
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
                              std::uint64_t,
                              std::string>;
using AnswerFields = std::
  tuple<std::string, std::uint32_t, std::string, std::int64_t, std::int64_t>;
using CancelFields = std::tuple<std::string, std::string>;

MemberFields ToFields(const Member& aMember)
{
  return { aMember.name,  aMember.address,     aMember.zone,
           aMember.cores, aMember.incarnation, aMember.linkMbps };
}

Member FromFields(const MemberFields& aFields)
{
  Member member;
  std::tie(member.name,
           member.address,
           member.zone,
           member.cores,
           member.incarnation,
           member.linkMbps) = aFields;
  return member;
}

HeartbeatFields ToFields(const Heartbeat& aHeartbeat)
{
  std::vector<MemberFields> knownMembers;
  knownMembers.reserve(aHeartbeat.knownMembers.size());
  for (const Member& member : aHeartbeat.knownMembers) {
    knownMembers.push_back(ToFields(member));
  }
  return { ToFields(aHeartbeat.from),
           aHeartbeat.sequence,
           aHeartbeat.echo,
           aHeartbeat.leaderToken,
           aHeartbeat.highestToken,
           aHeartbeat.interval.count(),
           aHeartbeat.electionBackoff.count(),
           aHeartbeat.endpointsInUse.listedBy,
           aHeartbeat.endpointsInUse.leftFrom,
           aHeartbeat.shedShare,
           aHeartbeat.canLead,
           aHeartbeat.hasLeader,
           aHeartbeat.leaving,
           aHeartbeat.part,
           aHeartbeat.wantsReply,
           std::move(knownMembers) };
}

//! Rejects durations outside of 0 to kMaxHeartbeatDuration, whose multiples
//! could overflow.
Duration CheckedDuration(std::int64_t aMicros)
{
  constexpr Duration kMaxHeartbeatDuration = std::chrono::hours(1);
  if (aMicros < 0 || aMicros > kMaxHeartbeatDuration.count()) {
    throw msgpack::type_error();
  }
  return Duration(aMicros);
}

Heartbeat FromFields(const HeartbeatFields& aFields)
{
  Heartbeat heartbeat;
  std::int64_t interval = 0;
  std::int64_t electionBackoff = 0;
  MemberFields from;
  std::vector<MemberFields> knownMembers;
  std::tie(from,
           heartbeat.sequence,
           heartbeat.echo,
           heartbeat.leaderToken,
           heartbeat.highestToken,
           interval,
           electionBackoff,
           heartbeat.endpointsInUse.listedBy,
           heartbeat.endpointsInUse.leftFrom,
           heartbeat.shedShare,
           heartbeat.canLead,
           heartbeat.hasLeader,
           heartbeat.leaving,
           heartbeat.part,
           heartbeat.wantsReply,
           knownMembers) = aFields;
  heartbeat.interval = CheckedDuration(interval);
  heartbeat.electionBackoff = CheckedDuration(electionBackoff);
  heartbeat.from = FromFields(from);
  heartbeat.endpointsInUse.part = heartbeat.part;
  for (const MemberFields& member : knownMembers) {
    heartbeat.knownMembers.push_back(FromFields(member));
  }
  return heartbeat;
}

WorkFields ToFields(const Work& aWork)
{
  std::vector<StepFields> steps;
  steps.reserve(aWork.steps.size());
  for (const WorkStep& step : aWork.steps) {
    steps.emplace_back(step.count,
                       step.taskResources.cpuMillis,
                       step.taskResources.memoryMb,
                       step.taskResources.accelerators,
                       step.estimate.count(),
                       step.after,
                       step.requiredLabel,
                       step.preferredRack,
                       step.maxPerEndpoint,
                       step.sameRack);
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
           aWork.callerTimeout.count(),
           aWork.submissions,
           aWork.priorEndpoints.listedBy,
           aWork.priorEndpoints.leftFrom,
           aWork.priorEndpoints.part };
}

Work FromFields(WorkFields aFields)
{
  Work work;
  std::vector<StepFields> steps;
  std::int64_t target = 0;
  std::int64_t age = 0;
  std::int64_t callerTimeout = 0;
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
           callerTimeout,
           work.submissions,
           work.priorEndpoints.listedBy,
           work.priorEndpoints.leftFrom,
           work.priorEndpoints.part) = std::move(aFields);
  work.targetLatency = Duration(target);
  work.age = Duration(age);
  work.callerTimeout = Duration(callerTimeout);
  for (StepFields& fields : steps) {
    WorkStep step;
    std::int64_t estimate = 0;
    std::tie(step.count,
             step.taskResources.cpuMillis,
             step.taskResources.memoryMb,
             step.taskResources.accelerators,
             estimate,
             step.after,
             step.requiredLabel,
             step.preferredRack,
             step.maxPerEndpoint,
             step.sameRack) = std::move(fields);
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
    // Bounds what the length fields of a malformed frame can allocate. Every
    // element takes at least a byte.
    constexpr std::size_t kMaxNesting = 8;
    const std::size_t maxElements = aBytes.size();
    const msgpack::object_handle handle = msgpack::unpack(
      aBytes.data(),
      aBytes.size(),
      nullptr,
      nullptr,
      msgpack::unpack_limit(
        maxElements, 0, maxElements, maxElements, 0, kMaxNesting));
    const auto parts =
      handle.get()
        .as<std::tuple<std::uint32_t, std::uint32_t, msgpack::object>>();
    if (std::get<0>(parts) != kProtocolVersion) {
      return std::nullopt;
    }
    const msgpack::object& fields = std::get<2>(parts);
    switch (std::get<1>(parts)) {
      case 0:
        return FromFields(fields.as<HeartbeatFields>());
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
