#include "link/LinkMessage.h"

#include <msgpack.hpp>

#include <cstdint>
#include <exception>
#include <optional>
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
                              std::string,
                              std::uint64_t,
                              std::optional<std::uint32_t>>;
using AnswerFields = std::tuple<std::string,
                                std::uint32_t,
                                std::string,
                                std::int64_t,
                                std::int64_t,
                                std::uint64_t,
                                std::optional<std::uint32_t>>;
using CancelFields = std::tuple<std::string, std::string>;
using JobQueryFields =
  std::tuple<std::uint64_t, std::uint32_t, std::string, std::uint64_t>;
using JobQueryReplyFields =
  std::tuple<std::uint64_t, std::uint32_t, std::uint64_t>;

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

template<typename Enum>
Enum ToEnum(std::uint32_t aValue, Enum aLast)
{
  if (aValue > static_cast<std::uint32_t>(aLast)) {
    throw msgpack::type_error();
  }
  return static_cast<Enum>(aValue);
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
           aWork.priorEndpoints.part,
           aWork.key.acceptance,
           aWork.key.number };
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
           work.priorEndpoints.part,
           work.key.acceptance,
           work.key.number) = std::move(aFields);
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
  return { aAnswer.workId,         static_cast<std::uint32_t>(aAnswer.outcome),
           aAnswer.reason,         aAnswer.retryAfter.count(),
           aAnswer.waited.count(), aAnswer.key.acceptance,
           aAnswer.key.number };
}

WorkAnswer FromFields(AnswerFields aFields)
{
  WorkAnswer answer;
  std::uint32_t outcome = 0;
  std::int64_t retryAfter = 0;
  std::int64_t waited = 0;
  std::tie(answer.workId,
           outcome,
           answer.reason,
           retryAfter,
           waited,
           answer.key.acceptance,
           answer.key.number) = std::move(aFields);
  answer.outcome = ToEnum(outcome, WorkOutcome::CancelledByCaller);
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

JobQueryFields ToFields(const JobQuery& aQuery)
{
  return { aQuery.id,
           static_cast<std::uint32_t>(aQuery.kind),
           aQuery.workId,
           aQuery.term };
}

JobQuery FromFields(JobQueryFields aFields)
{
  JobQuery query;
  std::uint32_t kind = 0;
  std::tie(query.id, kind, query.workId, query.term) = std::move(aFields);
  query.kind = ToEnum(kind, JobQueryKind::Cancel);
  return query;
}

JobQueryReplyFields ToFields(const JobQueryReply& aReply)
{
  return { aReply.queryId,
           static_cast<std::uint32_t>(aReply.state),
           aReply.term };
}

JobQueryReply FromFields(const JobQueryReplyFields& aFields)
{
  JobQueryReply reply;
  std::uint32_t state = 0;
  std::tie(reply.queryId, state, reply.term) = aFields;
  reply.state = ToEnum(state, JobState::NotLeading);
  return reply;
}

//! Decodes a job query or its reply; a default one if the fields are bad.
template<typename Message, typename Fields>
Message DecodeBounded(const msgpack::object& aFields, std::size_t aFrameBytes)
{
  if (aFrameBytes > kMaxJobQueryBytes) {
    return {};
  }
  try {
    return FromFields(aFields.as<Fields>());
  } catch (const msgpack::type_error&) {
    return {};
  }
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
      case 4:
        return DecodeBounded<JobQuery, JobQueryFields>(fields, aBytes.size());
      case 5:
        return DecodeBounded<JobQueryReply, JobQueryReplyFields>(fields,
                                                                 aBytes.size());
      default:
        return std::nullopt;
    }
  } catch (const std::exception&) {
    return std::nullopt; // The caller logs it with the name of the sender.
  }
}

}
