#ifndef HEMLOCKHAVEN_SELECTOR_SELECTOR_H
#define HEMLOCKHAVEN_SELECTOR_SELECTOR_H

#include "hemlockhaven/core/Labels.h"
#include "hemlockhaven/core/Result.h"

#include <memory>
#include <string>
#include <string_view>

namespace hemlockhaven {

namespace Detail {
struct SelectorNode;
}

//! A condition over labels, for example
//! `trade = canopy and zone in (a, b) and not exists drained`.
//!
//! The empty text selects everything. Values may be quoted. `and` binds
//! tighter than `or`; keywords are lower case.
class Selector
{
public:
  //! Selects everything.
  Selector() = default;

  //! Parses the text. The error's detail gives the column, counted from 1.
  static Result<Selector> Parse(std::string_view aText);

  //! Selects what both select.
  static Selector Both(const Selector& aFirst, const Selector& aSecond);

  //! Whether the labels satisfy the condition. A comparison with a missing
  //! key is false, and `!=` or `not in` with a missing key is true.
  bool Matches(const Labels& aLabels) const;

  //! The first condition of a conjunction that the labels do not satisfy, for
  //! explanations; empty if they match.
  std::string ExplainMismatch(const Labels& aLabels) const;

  //! The text that was parsed.
  std::string_view Text() const { return text_; }

private:
  std::string text_;
  std::shared_ptr<const Detail::SelectorNode> root_; //!< Null: everything.
};

}

#endif
