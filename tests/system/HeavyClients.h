#ifndef HEMLOCKHAVEN_TESTS_SYSTEM_HEAVYCLIENTS_H
#define HEMLOCKHAVEN_TESTS_SYSTEM_HEAVYCLIENTS_H

#include "hemlockhaven/core/Span.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace hemlockhaven::Testing {

//! Connections that send the same input.
struct ClientGroup
{
  std::size_t connections;
  std::string head;       //!< Sent once, first.
  std::string repeated;   //!< Sent over and over after the head.
  std::size_t bytes;      //!< Sent in all by each connection.
  std::uint16_t port = 0; //!< 0: that of the crowd.
};

//! Clients that send more than the limits allow and stay connected.
class HeavyClients
{
public:
  HeavyClients(std::uint16_t aPort, Span<const ClientGroup> aGroups);
  ~HeavyClients();
  HeavyClients(const HeavyClients&) = delete;
  HeavyClients& operator=(const HeavyClients&) = delete;

  //! Sends all input. Connections that the server closes are left out, and
  //! input that it does not read within the limits of this function is dropped.
  void Send();

private:
  struct Client
  {
    const ClientGroup* group;
    int socket;
    std::size_t sent;
  };

  //! Returns whether a byte was sent.
  static bool SendSome(Client& aClient);

  std::vector<ClientGroup> groups_;
  std::vector<Client> clients_;
};

}

#endif
