#ifndef HEMLOCKHAVEN_SOAK_STORESTANDIN_H
#define HEMLOCKHAVEN_SOAK_STORESTANDIN_H

#include "hemlockhaven/core/Time.h"
#include "net/HttpListener.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hemlockhaven::Soak {

//! The platform's store as far as daemons use it: keyed topics.
class StoreStandIn
{
public:
  enum class Mode
  {
    Up,
    Down,         //!< 503.
    LosesAnswers, //!< Reads are never answered.
    Slow,
  };

  StoreStandIn(boost::asio::io_context& aContext,
               const boost::asio::ip::tcp::endpoint& aListen);

  void Put(const std::string& aTopic,
           const std::string& aKey,
           const std::string& aValue);
  //! Drops the key.
  void Remove(const std::string& aTopic, const std::string& aKey)
  {
    Put(aTopic, aKey, "");
  }
  void SetMode(Mode aMode) { mode_ = aMode; }

private:
  struct Topic
  {
    std::vector<std::pair<std::string, std::string>> records; //!< By offset.
    std::map<std::string, std::string> newest;
    std::vector<std::pair<std::uint64_t, ReplyHook>> readers; //!< That wait.
  };

  DisconnectHook Handle(const IncomingRequest& aRequest, ReplyHook aReply);
  void Serve(std::string_view aTarget,
             std::string_view aBody,
             const ReplyHook& aReply);
  //! Puts the records of an append.
  void Append(const std::string& aTopic,
              std::string_view aBody,
              const ReplyHook& aReply);
  static void ReadFrom(const Topic& aTopic,
                       std::uint64_t aFrom,
                       const ReplyHook& aReply);

  boost::asio::io_context& context_;
  Mode mode_ = Mode::Up;
  std::map<std::string, Topic> topics_;
  HttpListener listener_;
};

}

#endif
