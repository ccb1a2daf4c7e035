#include "hemlockhaven/membership/Messages.h"

#include <array>

namespace hemlockhaven {

namespace {

// In the order of Message.
constexpr std::array<MessageRole, std::variant_size_v<Message>> kRoles{
  MessageRole::Notice,  MessageRole::Notice,  MessageRole::Notice,
  MessageRole::Request, MessageRole::Reply,   MessageRole::Request,
  MessageRole::Reply,   MessageRole::Request, MessageRole::Reply,
  MessageRole::Request, MessageRole::Reply,   MessageRole::Request,
  MessageRole::Reply,   MessageRole::Request, MessageRole::Reply,
  MessageRole::Request, MessageRole::Reply, // WhereReply
  MessageRole::Request,                     // SubmitKey
  MessageRole::Reply                        // SubmitKeyReply
};

}

MessageRole RoleOf(const Message& aMessage)
{
  return kRoles.at(aMessage.index());
}

}
