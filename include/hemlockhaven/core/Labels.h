#ifndef HEMLOCKHAVEN_CORE_LABELS_H
#define HEMLOCKHAVEN_CORE_LABELS_H

#include "hemlockhaven/core/Span.h"

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hemlockhaven {

//! Key and value pairs, ordered by key, each key once.
class Labels
{
public:
  using Item = std::pair<std::string, std::string>;

  Labels() = default;

  //! A later item with the same key replaces an earlier one.
  explicit Labels(Span<const Item> aItems);

  //! Adds the label or replaces its value.
  void Set(std::string_view aKey, std::string_view aValue);

  //! The value of a key, if the key is present.
  std::optional<std::string_view> Find(std::string_view aKey) const;

  Span<const Item> Items() const { return items_; }

  //! "trade=canopy, urgency=storm"
  std::string Describe() const;

  friend bool operator==(const Labels& aLeft, const Labels& aRight)
  {
    return aLeft.items_ == aRight.items_;
  }

private:
  std::vector<Item> items_; //!< Ordered by key.
};

}

#endif
