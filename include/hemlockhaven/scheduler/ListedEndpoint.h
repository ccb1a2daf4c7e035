#ifndef HEMLOCKHAVEN_SCHEDULER_LISTEDENDPOINT_H
#define HEMLOCKHAVEN_SCHEDULER_LISTEDENDPOINT_H

#include "hemlockhaven/scheduler/Resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hemlockhaven {

//! An endpoint as published in the platform's endpoint list.
struct ListedEndpoint
{
  std::string id;
  std::string address; //!< "IP:port"
  std::string service;
  std::string zone;
  std::vector<std::string> labels;
  std::string rack;
  Resources capacity;
  bool draining = false;
  std::int64_t incarnationStartMs =
    0; //!< Start of this incarnation, Unix ms; 0: unknown.
};

}

#endif
