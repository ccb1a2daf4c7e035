#ifndef HEMLOCKHAVEN_FLEET_ENDPOINTSET_H
#define HEMLOCKHAVEN_FLEET_ENDPOINTSET_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace hemlockhaven {

//! Number of an endpoint within its fleet.
using EndpointIndex = std::uint32_t;

//! A set of endpoints as a bitset with a summary bit for each word, so that a
//! search skips 4,096 absent endpoints at a time.
class EndpointSet
{
public:
  void Insert(EndpointIndex aIndex);
  void Erase(EndpointIndex aIndex);
  void Clear();
  bool Contains(EndpointIndex aIndex) const;
  std::size_t Count() const { return count_; }

  //! A pseudo-random member of both sets, if there is one.
  static std::optional<EndpointIndex> PickCommon(const EndpointSet& aLeft,
                                                 const EndpointSet& aRight,
                                                 std::uint64_t aRandom);

  //! The first member of both sets from an index on, if there is one.
  static std::optional<EndpointIndex> NextCommon(const EndpointSet& aLeft,
                                                 const EndpointSet& aRight,
                                                 EndpointIndex aFrom);

  //! Number of members of both sets.
  static std::size_t CountCommon(const EndpointSet& aLeft,
                                 const EndpointSet& aRight);

private:
  std::vector<std::uint64_t> words_;
  std::vector<std::uint64_t> summary_; //!< Bit n: word n is not zero.
  std::size_t count_ = 0;
};

}

#endif
