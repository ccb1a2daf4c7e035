#ifndef HEMLOCKHAVEN_SRC_SELECTOR_SELECTORNODE_H
#define HEMLOCKHAVEN_SRC_SELECTOR_SELECTORNODE_H

#include "hemlockhaven/core/Labels.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockhaven::Detail {

//! One condition or one combination of conditions.
struct SelectorNode
{
  enum class Kind : std::uint8_t
  {
    And,
    Or,
    Not,
    In,     //!< The key's value is one of the values; `=` has one value.
    NotIn,  //!< The key is missing or its value is none of the values.
    Exists, //!< The key is present.
  };

  Kind kind = Kind::Exists;
  std::string key;
  std::vector<std::string> values;
  std::vector<SelectorNode> children;

  bool Matches(const Labels& aLabels) const;

  //! The condition in the selector language.
  std::string Describe() const;
};

}

#endif
