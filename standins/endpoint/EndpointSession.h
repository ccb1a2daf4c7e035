#ifndef HEMLOCKHAVEN_STANDINS_ENDPOINT_ENDPOINTSESSION_H
#define HEMLOCKHAVEN_STANDINS_ENDPOINT_ENDPOINTSESSION_H

#include "standins/endpoint/EndpointFault.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace hemlockhaven {

class EndpointServer;

//! One connection to a stand-in endpoint.
class EndpointSession : public std::enable_shared_from_this<EndpointSession>
{
public:
  EndpointSession(EndpointServer& aServer,
                  boost::asio::ip::tcp::socket&& aSocket);

  //! Reads the next request.
  void Read();

private:
  using Parser =
    boost::beast::http::request_parser<boost::beast::http::string_body>;

  //! What happens to the connection after the bytes were written.
  enum class Then : std::uint8_t
  {
    Read,
    Close,
    Hang, //!< The socket stays open; nothing is read or written.
  };

  void OnHeader();
  void Serve();
  void ServeStarts(std::string_view aQuery);
  void RunTask();
  void Answer(bool aFails);
  void Reset();
  void Hang();
  void Drain();
  void WriteReply(unsigned aStatus,
                  std::string_view aHeaders,
                  std::string_view aBody,
                  Then aThen);
  void Write(Then aThen);

  EndpointServer& server_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  EndpointFault fault_ = EndpointFault::None;
  std::string attempt_;        //!< Of the request that is served.
  std::string earlierAttempt_; //!< Of the request before.
  std::string out_;
};

}

#endif
