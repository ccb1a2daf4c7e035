#include "net/JsonDocument.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace hemlockhaven {

namespace {

using nlohmann::json;

//! An element of an array, while the array grows into a block of twice the
//! size.
constexpr std::size_t kElementBytes = 3 * sizeof(json);
//! A member of an object: the node with its key, and a place on the stack that
//! json uses when it is destroyed.
constexpr std::size_t kMemberBytes = 128;
//! An array or object without its content.
constexpr std::size_t kContainerBytes = 64;
//! Texts up to this length are part of their string object.
constexpr std::size_t kInlineBytes = 15;
constexpr std::size_t kStringBytes = 48;
//! Reservations are made in parts of at least this size.
constexpr std::size_t kMinReserveBytes = 2048;

//! Builds a document from the parser's events.
class Builder : public nlohmann::json_sax<json>
{
public:
  Builder(const ReserveHook& aReserve, std::size_t aTextBytes)
    : reserve_(aReserve)
  {
    // Covers the parser's copy of the longest text, or what is decoded.
    Take(aTextBytes + kMinReserveBytes);
  }

  json Document() { return std::move(document_); }
  const Result<void>& Reserved() const { return reservation_; }
  bool IsTooDeep() const { return isTooDeep_; }

  // The library prescribes these names.
  // NOLINTBEGIN(readability-identifier-naming)
  bool null() override { return Add(nullptr) != nullptr; }
  bool boolean(bool aValue) override { return Add(aValue) != nullptr; }
  bool number_integer(number_integer_t aValue) override
  {
    return Add(aValue) != nullptr;
  }
  bool number_unsigned(number_unsigned_t aValue) override
  {
    return Add(aValue) != nullptr;
  }
  bool number_float(number_float_t aValue, const string_t& /*aText*/) override
  {
    return Add(aValue) != nullptr;
  }
  bool string(string_t& aValue) override
  {
    return Take(kStringBytes + aValue.size()) && Add(aValue) != nullptr;
  }
  bool binary(binary_t& aValue) override
  {
    return Take(aValue.size()) && Add(std::move(aValue)) != nullptr;
  }
  bool start_object(std::size_t /*aElements*/) override
  {
    return Open(json::object());
  }
  bool start_array(std::size_t /*aElements*/) override
  {
    return Open(json::array());
  }
  bool key(string_t& aKey) override
  {
    if (!Take(kMemberBytes + (aKey.size() > kInlineBytes ? aKey.size() : 0))) {
      return false;
    }
    member_ = &(*open_.back())[aKey];
    return true;
  }
  bool end_object() override { return Close(); }
  bool end_array() override { return Close(); }
  bool parse_error(std::size_t /*aPosition*/,
                   const std::string& /*aToken*/,
                   const json::exception& /*aError*/) override
  {
    return false;
  }
  // NOLINTEND(readability-identifier-naming)

private:
  bool Take(std::size_t aBytes)
  {
    if (reservation_.has_error()) {
      return false;
    }
    if (aBytes > unused_ && reserve_) {
      // In growing parts, so that a large document makes few calls.
      const std::size_t wanted =
        std::max({ aBytes - unused_, reserved_ / 4, kMinReserveBytes });
      reservation_ = TryReserve(reserve_, wanted);
      if (reservation_.has_error()) {
        return false;
      }
      reserved_ += wanted;
      unused_ += wanted;
    }
    unused_ -= std::min(aBytes, unused_);
    return true;
  }

  //! The added value; null if there is no memory for it.
  template<class Value>
  json* Add(Value&& aValue)
  {
    if (open_.empty()) {
      document_ = json(std::forward<Value>(aValue));
      return &document_;
    }
    if (open_.back()->is_object()) {
      *member_ = json(std::forward<Value>(aValue));
      return member_;
    }
    if (!Take(kElementBytes)) {
      return nullptr;
    }
    auto& elements = open_.back()->get_ref<json::array_t&>();
    elements.emplace_back(std::forward<Value>(aValue));
    return &elements.back();
  }

  bool Open(json&& aContainer)
  {
    isTooDeep_ = open_.size() >= kMaxJsonDepth;
    if (isTooDeep_ || !Take(kContainerBytes)) {
      return false;
    }
    json* added = Add(std::move(aContainer));
    open_.push_back(added);
    return added != nullptr;
  }

  bool Close()
  {
    open_.pop_back();
    return true;
  }

  const ReserveHook& reserve_;
  Result<void> reservation_ = outcome::success();
  bool isTooDeep_ = false;
  std::size_t reserved_ = 0;
  std::size_t unused_ = 0; //!< Part of reserved_.
  json document_;
  std::vector<json*> open_; //!< Containers that have begun and not ended.
  json* member_ = nullptr;  //!< Of the innermost object.
};

}

Result<json> ParseJson(std::string_view aText, const ReserveHook& aReserve)
{
  Builder builder(aReserve, aText.size());
  const bool isJson =
    builder.Reserved().has_value() &&
    json::sax_parse(aText.data(), aText.data() + aText.size(), &builder);
  if (isJson) {
    return builder.Document();
  }
  BOOST_OUTCOME_TRY(builder.Reserved());
  if (builder.IsTooDeep()) {
    return Error::NotRun("parse JSON",
                         Reason::MalformedRequest,
                         "the document has too many levels");
  }
  return json(json::value_t::discarded);
}

}
