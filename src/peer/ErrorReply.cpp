#include "peer/ErrorReply.h"

#include <type_traits>
#include <variant>

namespace hemlockhaven {

namespace {

template<typename T, std::size_t Index = 0>
constexpr std::size_t MessageIndex()
{
  if constexpr (std::is_same_v<T, std::variant_alternative_t<Index, Message>>) {
    return Index;
  } else {
    return MessageIndex<T, Index + 1>();
  }
}

}

std::optional<Message> MakeErrorReply(std::size_t aRequestType,
                                      const Error& aError)
{
  switch (aRequestType) {
    case MessageIndex<Submit>():
      return SubmitReply{ aError };
    case MessageIndex<Fetch>():
      return FetchReply{ std::nullopt, aError };
    case MessageIndex<Cancel>():
      return CancelReply{ JobState::Running, aError };
    case MessageIndex<Run>(): {
      RunReply reply;
      reply.outcome.error = aError;
      return reply;
    }
    case MessageIndex<Archive>():
      return ArchiveReply{ aError };
    case MessageIndex<SubmitKey>():
      return SubmitKeyReply{ 0, aError };
    default:
      return std::nullopt;
  }
}

}
