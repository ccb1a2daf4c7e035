#ifndef HEMLOCKHAVEN_SRC_SELECTOR_SELECTORPARSER_H
#define HEMLOCKHAVEN_SRC_SELECTOR_SELECTORPARSER_H

#include "hemlockhaven/core/Result.h"
#include "selector/SelectorNode.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace hemlockhaven::Detail {

//! Recursive-descent parser of the selector language.
class SelectorParser
{
public:
  explicit SelectorParser(std::string_view aText)
    : text_(aText)
  {
  }

  //! Parses the whole text, which must not be blank.
  Result<SelectorNode> Parse();

private:
  struct Token
  {
    std::string_view text;
    std::size_t column = 1; //!< Counted from 1.
    bool isWord = false;
    bool isQuoted = false;
  };

  Result<SelectorNode> ParseOr();
  Result<SelectorNode> ParseAnd();
  Result<SelectorNode> ParseUnary();
  Result<SelectorNode> ParseCondition();
  Result<void> ParseValues(SelectorNode& aNode);

  //! Reads the next token without taking it.
  Token Peek();
  Token Take();
  bool TakeIf(std::string_view aKeywordOrMark);
  Error Expected(std::string_view aWhat);

  std::string_view text_;
  std::size_t at_ = 0;
  std::size_t depth_ = 0;
};

}

#endif
