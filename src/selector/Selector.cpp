#include "hemlockhaven/selector/Selector.h"

#include "selector/SelectorNode.h"
#include "selector/SelectorParser.h"

#include <utility>

namespace hemlockhaven {

Result<Selector> Selector::Parse(std::string_view aText)
{
  Selector selector;
  selector.text_ = aText;
  if (aText.find_first_not_of(" \t\r\n") == std::string_view::npos) {
    return selector;
  }
  BOOST_OUTCOME_TRY(root, Detail::SelectorParser(aText).Parse());
  selector.root_ =
    std::make_shared<const Detail::SelectorNode>(std::move(root));
  return selector;
}

Selector Selector::Both(const Selector& aFirst, const Selector& aSecond)
{
  if (!aFirst.root_ || !aSecond.root_) {
    return aFirst.root_ ? aFirst : aSecond;
  }
  Detail::SelectorNode root;
  root.kind = Detail::SelectorNode::Kind::And;
  root.children = { *aFirst.root_, *aSecond.root_ };
  Selector both;
  both.text_ = "(" + aFirst.text_ + ") and (" + aSecond.text_ + ")";
  both.root_ = std::make_shared<const Detail::SelectorNode>(std::move(root));
  return both;
}

bool Selector::Matches(const Labels& aLabels) const
{
  return !root_ || root_->Matches(aLabels);
}

std::string Selector::ExplainMismatch(const Labels& aLabels) const
{
  if (Matches(aLabels)) {
    return "";
  }
  const Detail::SelectorNode* node = root_.get();
  if (node->kind == Detail::SelectorNode::Kind::And) {
    for (const Detail::SelectorNode& child : node->children) {
      if (!child.Matches(aLabels)) {
        return child.Describe();
      }
    }
  }
  return node->Describe();
}

}
