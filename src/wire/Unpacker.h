#ifndef HEMLOCKHAVEN_WIRE_UNPACKER_H
#define HEMLOCKHAVEN_WIRE_UNPACKER_H

#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/membership/Messages.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include <msgpack.hpp>

namespace hemlockhaven::Wire::Detail {

//! The bytes are not what the sender's type should look like.
class DecodeError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

//! Reads the elements of one msgpack array in order. All methods throw
//! DecodeError or msgpack::type_error.
class Unpacker
{
public:
  Unpacker(const msgpack::object& aArray, TimePoint aNow);

  std::size_t Count() const { return array_.size; }
  std::size_t Left() const { return array_.size - next_; }

  //! The array must have exactly so many elements.
  void Expect(std::size_t aCount) const;

  template<typename T>
  T Number()
  {
    return Next().as<T>();
  }
  bool Flag() { return Next().as<bool>(); }
  std::string Text();

  //! A number below aCount as a value of an enumeration.
  template<typename T>
  T Enumerator(std::size_t aCount)
  {
    const auto value = Number<std::uint64_t>();
    if (value >= aCount) {
      throw DecodeError("enumerator out of range");
    }
    return static_cast<T>(value);
  }

  //! The next element as an array.
  Unpacker Inner() { return Unpacker(Next(), now_); }

  template<typename T>
  T Read()
  {
    T value{};
    ReadInto(value);
    return value;
  }

  template<typename T>
  std::optional<T> ReadOptional()
  {
    if (Peek().is_nil()) {
      Next();
      return std::nullopt;
    }
    return Read<T>();
  }

  template<typename T>
  std::vector<T> ReadList()
  {
    Unpacker list = Inner();
    std::vector<T> values;
    values.reserve(list.Count());
    while (list.Left() != 0) {
      values.push_back(list.Read<T>());
    }
    return values;
  }

private:
  const msgpack::object& Peek() const;
  const msgpack::object& Next();

  void ReadInto(Duration& aValue);
  void ReadInto(std::string& aValue) { aValue = Text(); }
  void ReadInto(Selector& aValue);
  void ReadInto(Incarnation& aValue);
  void ReadInto(SubmissionId& aValue);
  void ReadInto(Labels& aValue);
  void ReadInto(Error& aValue);
  void ReadInto(JobSpec& aValue);
  void ReadInto(TaskOutcome& aValue);
  void ReadInto(JobAnswer& aValue);
  void ReadInto(RequestRecord& aValue);
  void ReadInto(FreeSlots& aValue);
  void ReadInto(NumberedUse& aValue);
  void ReadInto(ZoneMember& aValue);
  void ReadInto(ZoneSummary& aValue);

  void ReadInto(Hello& aValue);
  void ReadInto(PeerDigest& aValue);
  void ReadInto(KeepAlive& aValue);
  void ReadInto(Submit& aValue);
  void ReadInto(SubmitKey& aValue);
  void ReadInto(SubmitKeyReply& aValue);
  void ReadInto(SubmitReply& aValue);
  void ReadInto(Fetch& aValue);
  void ReadInto(FetchReply& aValue);
  void ReadInto(Cancel& aValue);
  void ReadInto(CancelReply& aValue);
  void ReadInto(Run& aValue);
  void ReadInto(RunReply& aValue);
  void ReadInto(ConfigurationPull& aValue);
  void ReadInto(ConfigurationOffer& aValue);
  void ReadInto(Archive& aValue);
  void ReadInto(ArchiveReply& aValue);
  void ReadInto(Where& aValue);
  void ReadInto(WhereReply& aValue);

  msgpack::object_array array_;
  std::size_t next_ = 0;
  TimePoint now_;
};

}

#endif
