#include "selector/SelectorParser.h"

#include <cctype>
#include <utility>

namespace hemlockhaven::Detail {

namespace {

// Bounds the recursion, since callers send the text.
constexpr std::size_t kMaxDepth = 32;

bool IsWordCharacter(char aCharacter)
{
  return std::isalnum(static_cast<unsigned char>(aCharacter)) != 0 ||
         aCharacter == '_' || aCharacter == '-' || aCharacter == '.' ||
         aCharacter == '/' || aCharacter == ':';
}

}

Result<SelectorNode> SelectorParser::Parse()
{
  auto node = ParseOr();
  if (node && !Peek().text.empty()) {
    return Expected("'and', 'or' or the end");
  }
  return node;
}

Result<SelectorNode> SelectorParser::ParseOr()
{
  BOOST_OUTCOME_TRY(first, ParseAnd());
  if (Peek().text != "or") {
    return first;
  }
  SelectorNode node;
  node.kind = SelectorNode::Kind::Or;
  node.children.push_back(std::move(first));
  while (TakeIf("or")) {
    BOOST_OUTCOME_TRY(next, ParseAnd());
    node.children.push_back(std::move(next));
  }
  return node;
}

Result<SelectorNode> SelectorParser::ParseAnd()
{
  BOOST_OUTCOME_TRY(first, ParseUnary());
  if (Peek().text != "and") {
    return first;
  }
  SelectorNode node;
  node.kind = SelectorNode::Kind::And;
  node.children.push_back(std::move(first));
  while (TakeIf("and")) {
    BOOST_OUTCOME_TRY(next, ParseUnary());
    node.children.push_back(std::move(next));
  }
  return node;
}

Result<SelectorNode> SelectorParser::ParseUnary()
{
  if (++depth_ > kMaxDepth) {
    return Expected("at most 32 levels");
  }
  Result<SelectorNode> result = [this]() -> Result<SelectorNode> {
    if (TakeIf("not")) {
      BOOST_OUTCOME_TRY(child, ParseUnary());
      SelectorNode node;
      node.kind = SelectorNode::Kind::Not;
      node.children.push_back(std::move(child));
      return node;
    }
    if (TakeIf("(")) {
      BOOST_OUTCOME_TRY(node, ParseOr());
      if (!TakeIf(")")) {
        return Expected("')'");
      }
      return node;
    }
    return ParseCondition();
  }();
  --depth_;
  return result;
}

Result<SelectorNode> SelectorParser::ParseCondition()
{
  SelectorNode node;
  if (TakeIf("exists")) {
    node.kind = SelectorNode::Kind::Exists;
    if (!Peek().isWord) {
      return Expected("a label key");
    }
    node.key = Take().text;
    return node;
  }
  if (!Peek().isWord) {
    return Expected("a label key");
  }
  node.key = Take().text;
  const bool isUnequal = TakeIf("!=");
  if (isUnequal || TakeIf("=")) {
    node.kind = isUnequal ? SelectorNode::Kind::NotIn : SelectorNode::Kind::In;
    if (!Peek().isWord) {
      return Expected("a value");
    }
    node.values.emplace_back(Take().text);
    return node;
  }
  if (TakeIf("not")) {
    node.kind = SelectorNode::Kind::NotIn;
  } else {
    node.kind = SelectorNode::Kind::In;
  }
  if (!TakeIf("in")) {
    return Expected("'=', '!=', 'in' or 'not in'");
  }
  BOOST_OUTCOME_TRY(ParseValues(node));
  return node;
}

Result<void> SelectorParser::ParseValues(SelectorNode& aNode)
{
  if (!TakeIf("(")) {
    return Expected("'('");
  }
  do {
    if (!Peek().isWord) {
      return Expected("a value");
    }
    aNode.values.emplace_back(Take().text);
  } while (TakeIf(","));
  if (!TakeIf(")")) {
    return Expected("',' or ')'");
  }
  return outcome::success();
}

SelectorParser::Token SelectorParser::Peek()
{
  while (at_ < text_.size() &&
         std::isspace(static_cast<unsigned char>(text_[at_])) != 0) {
    ++at_;
  }
  Token token;
  token.column = at_ + 1;
  if (at_ == text_.size()) {
    return token;
  }
  const char first = text_[at_];
  if (first == '"' || first == '\'') {
    const std::size_t end = text_.find(first, at_ + 1);
    if (end == std::string_view::npos) {
      token.text = text_.substr(at_, 1);
      return token;
    }
    token.text = text_.substr(at_ + 1, end - at_ - 1);
    token.isWord = true;
    token.isQuoted = true;
    return token;
  }
  std::size_t end = at_;
  while (end < text_.size() && IsWordCharacter(text_[end])) {
    ++end;
  }
  if (end > at_) {
    token.text = text_.substr(at_, end - at_);
    token.isWord = true;
    return token;
  }
  token.text = text_.substr(at_, text_.substr(at_, 2) == "!=" ? 2 : 1);
  return token;
}

SelectorParser::Token SelectorParser::Take()
{
  const Token token = Peek();
  at_ += token.text.size() + (token.isQuoted ? 2 : 0);
  return token;
}

bool SelectorParser::TakeIf(std::string_view aKeywordOrMark)
{
  const Token token = Peek();
  if (token.isQuoted || token.text != aKeywordOrMark) {
    return false;
  }
  Take();
  return true;
}

Error SelectorParser::Expected(std::string_view aWhat)
{
  const Token token = Peek();
  std::string detail = "column " + std::to_string(token.column) +
                       ": expected " + std::string(aWhat) + ", found ";
  if (token.text.empty() && !token.isQuoted) {
    detail += "the end";
  } else {
    detail.append("'").append(token.text).append("'");
  }
  return Error::NotRun("parse selector", Reason::MalformedRequest, detail);
}

}
