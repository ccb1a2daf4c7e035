#ifndef HEMLOCKHAVEN_LEADERSHIP_KNOWNLEADER_H
#define HEMLOCKHAVEN_LEADERSHIP_KNOWNLEADER_H

#include <cstdint>
#include <string>

namespace hemlockhaven {

//! A daemon that leads, as far as another one knows.
struct KnownLeader
{
  std::string name;
  std::uint64_t incarnation = 0; //!< Of its process.
  std::uint64_t term = 0;        //!< Its fencing token.
};

}

#endif
