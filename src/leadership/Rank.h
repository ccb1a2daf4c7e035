#ifndef HEMLOCKHAVEN_SRC_LEADERSHIP_RANK_H
#define HEMLOCKHAVEN_SRC_LEADERSHIP_RANK_H

#include "hemlockhaven/leadership/Heartbeat.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

namespace hemlockhaven::Detail {

//! FNV-1a, which gives the same value in every process. Ranking by hash spreads
//! leaders over availability zones.
std::uint64_t HashName(std::string_view aName);

//! Sort key of candidates for leadership, the most preferred first.
using Rank = std::tuple<double, std::uint64_t, std::string>;

//! Ranks by most cores, then by hash.
Rank RankOf(const Member& aMember);

}

#endif
