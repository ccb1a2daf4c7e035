#ifndef HEMLOCKHAVEN_MEMBERSHIP_MESSAGES_H
#define HEMLOCKHAVEN_MEMBERSHIP_MESSAGES_H

#include "hemlockhaven/core/Error.h"
#include "hemlockhaven/history/RequestRecord.h"
#include "hemlockhaven/identity/KeyHash.h"
#include "hemlockhaven/identity/SubmissionId.h"
#include "hemlockhaven/job/JobBook.h"
#include "hemlockhaven/job/JobSpec.h"
#include "hemlockhaven/job/TaskOutcome.h"
#include "hemlockhaven/membership/PeerDigest.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hemlockhaven {

//! First message of both sides of a link.
struct Hello
{
  Incarnation self;
  std::string zone;
  std::uint32_t cores = 1;
};

//! Keeps a link alive on which nothing else is due.
struct KeepAlive
{};

//! Submits at the home of the id.
struct Submit
{
  SubmissionId id;
  JobSpec spec;
};

struct SubmitReply
{
  std::optional<Error> error; //!< Absent: accepted or joined.
};

//! Asks the home, or its successor, for a job's answer.
struct Fetch
{
  SubmissionId id;
  Duration wait{ 0 }; //!< How long to wait for the job's end.
};

//! Exactly one of the members is present.
struct FetchReply
{
  std::optional<JobAnswer> answer;
  std::optional<Error> error;
};

struct Cancel
{
  SubmissionId id;
};

struct CancelReply
{
  JobState state = JobState::Running; //!< Valid without an error.
  std::optional<Error> error;
};

//! Forwards one task. The specification has exactly one payload, and its
//! deadline is the time that remains.
struct Run
{
  SubmissionId id; //!< Of the submission that the task belongs to.
  std::uint32_t index = 0;
  JobSpec task;
};

struct RunReply
{
  TaskOutcome outcome;
};

struct ConfigurationPull
{
  std::uint64_t version = 0; //!< What the sender has; 0: nothing.
};

struct ConfigurationOffer
{
  std::uint64_t version = 0; //!< 0: the sender has none.
  std::uint64_t asOf = 0;    //!< Log offset up to which it is settled.
  std::string document;
};

//! Hands a stopping home's finished answers to its successor. A home with
//! more than fits into a frame sends several; bits with the last.
struct Archive
{
  Incarnation home;
  std::vector<JobAnswer> answers;
  std::uint64_t firstSequence = 0; //!< Sequence of the first bit.
  std::uint64_t nextSequence = 0;  //!< First sequence never issued.
  std::string usedBits; //!< One bit a sequence, lowest bit of a byte first.
  bool isLast = true;
};

struct ArchiveReply
{
  std::optional<Error> error; //!< Absent: kept.
};

//! Asks for records of requests.
struct Where
{
  WhereQuery query;
};

struct WhereReply
{
  std::vector<RequestRecord> records;
  std::uint64_t lost = 0; //!< Records that the sender had to drop.
};

//! Submits a key whose claim the receiver holds.
struct SubmitKey
{
  KeyHash key;
  std::uint64_t epoch = 0; //!< Log offset that the caller brings.
  JobSpec spec;
};

struct SubmitKeyReply
{
  std::uint64_t sequence = 0; //!< Of the submission; valid without an error.
  std::optional<Error> error;
};

//! Any message between daemons. The order is that of the type numbers on the
//! wire: append new types, never reorder.
using Message = std::variant<Hello,
                             PeerDigest,
                             KeepAlive,
                             Submit,
                             SubmitReply,
                             Fetch,
                             FetchReply,
                             Cancel,
                             CancelReply,
                             Run,
                             RunReply,
                             ConfigurationPull,
                             ConfigurationOffer,
                             Archive,
                             ArchiveReply,
                             Where,
                             WhereReply,
                             SubmitKey,
                             SubmitKeyReply>;

//! What a message is to the receiver.
enum class MessageRole : std::uint8_t
{
  Notice,  //!< Has no reply.
  Request, //!< Is answered with a reply of the same correlation id.
  Reply,
};

//! The role of the message's type.
MessageRole RoleOf(const Message& aMessage);

}

#endif
