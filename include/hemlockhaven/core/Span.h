#ifndef HEMLOCKHAVEN_CORE_SPAN_H
#define HEMLOCKHAVEN_CORE_SPAN_H

#include <gsl/span>

namespace hemlockhaven {

//! Non-owning view of a sequence. C++17 has no std::span.
template<typename T>
using Span = gsl::span<T>;

}

#endif
