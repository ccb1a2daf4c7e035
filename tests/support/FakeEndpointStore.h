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

//! In-memory stand-in for the store's endpoint list: a log of records and the
//! latest value per key.
class FakeEndpointStore
{
public:
  //! Adds or updates the endpoint's record.
  void Put(const ListedEndpoint& aEndpoint);
  //! Expires the endpoint's record.
  void Remove(std::string_view aId);
  bool IsListed(const std::string& aId) const { return latest_.count(aId) > 0; }

  struct ReadResult
  {
    std::vector<Platform::KeyedRecord> records;
    bool isSnapshot = false; //!< Latest record per key, not changes.
    std::uint64_t end = 0;
  };
  //! Reads the latest value per key, or the records from aOffset on if it is
  //! set.
  ReadResult ReadFrom(std::optional<std::uint64_t> aOffset) const;

private:
  std::vector<Platform::KeyedRecord> records_; //!< Indexed by offset.
  std::map<std::string, std::string> latest_;
};

}

#endif
