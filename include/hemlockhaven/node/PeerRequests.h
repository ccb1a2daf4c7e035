#ifndef HEMLOCKHAVEN_NODE_PEERREQUESTS_H
#define HEMLOCKHAVEN_NODE_PEERREQUESTS_H

#include "hemlockhaven/identity/SubmissionId.h"
#include "hemlockhaven/membership/Messages.h"

#include <functional>

namespace hemlockhaven {

class Node;

//! Answers what peers ask of a node.
class PeerRequests
{
public:
  using Reply = std::function<void(Message&&)>;

  explicit PeerRequests(Node& aNode)
    : node_(aNode)
  {
  }

  //! Replies once, now or later on another thread. A message that is not a
  //! request gets no reply.
  void Answer(Message&& aRequest, const Reply& aReply);

private:
  void AnswerTo(Submit& aRequest, const Reply& aReply);
  void AnswerTo(SubmitKey& aRequest, const Reply& aReply);
  void AnswerTo(Fetch& aRequest, const Reply& aReply);
  void AnswerTo(Cancel& aRequest, const Reply& aReply);
  void AnswerTo(Run& aRequest, const Reply& aReply);
  void AnswerTo(ConfigurationPull& aRequest, const Reply& aReply);
  void AnswerTo(Archive& aRequest, const Reply& aReply);
  void AnswerTo(Where& aRequest, const Reply& aReply);

  //! For messages that are no requests.
  template<typename Other>
  void AnswerTo(Other& /*aMessage*/, const Reply& /*aReply*/)
  {
  }

  Node& node_;
};

}

#endif
