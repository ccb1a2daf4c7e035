#ifndef HEMLOCKHAVEN_TESTS_SUPPORT_FAKEENDPOINTSTORE_H
#define HEMLOCKHAVEN_TESTS_SUPPORT_FAKEENDPOINTSTORE_H

#include "hemlockhaven/scheduler/ListedEndpoint.h"
#include "platform/StoreClient.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockhaven::Testing {

//! The store's list of endpoints: a log of records, and the newest of each key.
class FakeEndpointStore
{
public:
  //! The entry appears, or changes.
  void Put(const ListedEndpoint& aEndpoint);
  //! The entry expires.
  void Remove(std::string_view aId);

  struct ReadResult
  {
    std::vector<Platform::KeyedRecord> records;
    bool isSnapshot = false; //!< Of all keys, not of those that changed.
    std::uint64_t end = 0;
  };
  //! The newest of each key, or the records from an offset on.
  ReadResult ReadFrom(std::optional<std::uint64_t> aOffset) const;

private:
  std::vector<Platform::KeyedRecord> records_; //!< By offset.
  std::map<std::string, std::string> latest_;
};

}

#endif
