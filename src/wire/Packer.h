#ifndef HEMLOCKHAVEN_WIRE_PACKER_H
#define HEMLOCKHAVEN_WIRE_PACKER_H

#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/membership/Messages.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include <msgpack.hpp>

namespace hemlockhaven::Wire::Detail {

//! Writes the library's types as msgpack arrays. Each array has a fixed
//! number of elements in the order of the struct's members.
class Packer
{
public:
  Packer(msgpack::sbuffer& aBuffer, TimePoint aNow)
    : packer_(aBuffer)
    , now_(aNow)
  {
  }

  void Array(std::size_t aCount);
  void Number(std::uint64_t aValue) { packer_.pack(aValue); }
  void Signed(std::int64_t aValue) { packer_.pack(aValue); }
  void Flag(bool aValue) { packer_.pack(aValue); }
  void Text(std::string_view aValue);

  void Pack(Duration aValue) { Signed(aValue.count()); }
  void Pack(const Incarnation& aValue);
  void Pack(const SubmissionId& aValue);
  void Pack(const Labels& aValue);
  void Pack(const Error& aValue);
  void Pack(const JobSpec& aValue);
  void Pack(const TaskOutcome& aValue);
  void Pack(const JobAnswer& aValue);
  void Pack(const RequestRecord& aValue);
  void Pack(const FreeSlots& aValue);
  void Pack(const NumberedUse& aValue);
  void Pack(const ZoneMember& aValue);
  void Pack(const ZoneSummary& aValue);

  void Pack(const Hello& aValue);
  void Pack(const PeerDigest& aValue);
  void Pack(const KeepAlive& aValue);
  void Pack(const Submit& aValue);
  void Pack(const SubmitKey& aValue);
  void Pack(const SubmitKeyReply& aValue);
  void Pack(const SubmitReply& aValue);
  void Pack(const Fetch& aValue);
  void Pack(const FetchReply& aValue);
  void Pack(const Cancel& aValue);
  void Pack(const CancelReply& aValue);
  void Pack(const Run& aValue);
  void Pack(const RunReply& aValue);
  void Pack(const ConfigurationPull& aValue);
  void Pack(const ConfigurationOffer& aValue);
  void Pack(const Archive& aValue);
  void Pack(const ArchiveReply& aValue);
  void Pack(const Where& aValue);
  void Pack(const WhereReply& aValue);

  template<typename T>
  void PackOptional(const std::optional<T>& aValue)
  {
    if (aValue) {
      Pack(*aValue);
    } else {
      packer_.pack_nil();
    }
  }

  template<typename T>
  void PackList(const std::vector<T>& aValues)
  {
    Array(aValues.size());
    for (const T& value : aValues) {
      Pack(value);
    }
  }

private:
  msgpack::packer<msgpack::sbuffer> packer_;
  TimePoint now_;
  std::size_t elements_ = 0; //!< Of all arrays.
};

}

#endif
