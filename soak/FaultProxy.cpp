#include "soak/FaultProxy.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace hemlockhaven::Soak {

namespace net = boost::asio;
using ErrorCode = boost::system::error_code;

//! One client's connection and the one to the server for it.
class FaultProxy::Connection : public std::enable_shared_from_this<Connection>
{
public:
  //! Called once, when the client has told its name.
  using NamedHook = std::function<void(Connection&)>;

  Connection(net::ip::tcp::socket aClient,
             double aLot,
             ClientNamer aNamer,
             NamedHook aNamed)
    : requests_{ std::move(aClient), net::steady_timer(aClient.get_executor()) }
    , answers_{ net::ip::tcp::socket(requests_.from.get_executor()),
                net::steady_timer(requests_.from.get_executor()) }
    , lot_(aLot)
    , namer_(std::move(aNamer))
    , named_(std::move(aNamed))
  {
  }

  std::string_view Client() const { return client_; }

  void Start(const Address& aServer)
  {
    answers_.from.async_connect(
      aServer, [self = shared_from_this()](const ErrorCode& aError) {
        if (aError) {
          self->Reset();
          return;
        }
        self->Read(self->requests_, self->answers_);
        self->Read(self->answers_, self->requests_);
      });
  }

  void Apply(const ProxyFault& aFault, bool aIsCut)
  {
    const bool hit = lot_ < aFault.share;
    delay_ = hit ? aFault.delay : Duration(0);
    Hold(requests_, answers_, aIsCut || (hit && aFault.holdsRequests));
    Hold(answers_, requests_, aIsCut || (hit && aFault.holdsAnswers));
  }

  void Silence() { isSilent_ = true; }

  void ResetClient()
  {
    isOrphan_ = true;
    ErrorCode ignored; // The client may have closed before.
    requests_.from.set_option(net::socket_base::linger(true, 0), ignored);
    requests_.from.close(ignored);
    requests_.pause.cancel();
  }

  void Reset()
  {
    ErrorCode ignored; // Either side may have closed before.
    for (Way* way : { &requests_, &answers_ }) {
      way->from.set_option(net::socket_base::linger(true, 0), ignored);
      way->from.close(ignored);
      way->pause.cancel();
    }
  }

private:
  //! One direction: what comes from one side goes to the other.
  struct Way
  {
    net::ip::tcp::socket from;
    net::steady_timer pause;
    std::array<char, 16384> bytes{};
    bool held = false;
    bool parked = false; //!< Bytes arrived while held.
    std::size_t size = 0;
  };

  void Hold(Way& aWay, Way& aOther, bool aHeld)
  {
    aWay.held = aHeld;
    if (!aHeld && std::exchange(aWay.parked, false)) {
      Forward(aWay, aOther);
    }
  }

  void Read(Way& aWay, Way& aOther)
  {
    aWay.from.async_read_some(
      net::buffer(aWay.bytes),
      [self = shared_from_this(), &aWay, &aOther](const ErrorCode& aError,
                                                  std::size_t aCount) {
        aWay.size = aCount;
        self->Identify(aWay);
        if (self->isOrphan_) {
          // The server's answers go nowhere until it closes.
          if (&aWay == &self->answers_ && !aError) {
            self->Read(aWay, aOther);
          }
          return;
        }
        if (self->isSilent_ && &aWay == &self->requests_) {
          if (!aError) {
            self->Read(aWay, aOther);
          }
        } else if (aError) {
          // The end is passed on, as an end or as a reset.
          if (aError == net::error::eof) {
            ErrorCode ignored; // The other side may be gone already.
            aOther.from.shutdown(net::ip::tcp::socket::shutdown_send, ignored);
          } else {
            self->Reset();
          }
        } else if (aWay.held) {
          aWay.parked = true;
        } else {
          self->Forward(aWay, aOther);
        }
      });
  }

  void Identify(const Way& aWay)
  {
    if (&aWay != &requests_ || !namer_ || !client_.empty()) {
      return;
    }
    client_ = namer_({ aWay.bytes.data(), aWay.size });
    if (!client_.empty()) {
      named_(*this);
    }
  }

  void Forward(Way& aWay, Way& aOther)
  {
    aWay.pause.expires_after(delay_);
    aWay.pause.async_wait(
      [self = shared_from_this(), &aWay, &aOther](const ErrorCode& aError) {
        if (aError) {
          return;
        }
        net::async_write(
          aOther.from,
          net::buffer(aWay.bytes.data(), aWay.size),
          [self, &aWay, &aOther](const ErrorCode& aFailed, std::size_t) {
            if (aFailed && !self->isOrphan_) {
              self->Reset();
            } else {
              self->Read(aWay, aOther);
            }
          });
      });
  }

  Way requests_; //!< From the client.
  Way answers_;  //!< From the server.
  const double lot_;
  const ClientNamer namer_;
  const NamedHook named_;
  std::string client_;
  Duration delay_{ 0 };
  bool isSilent_ = false;
  bool isOrphan_ = false; //!< The client's side was reset by itself.
};

FaultProxy::FaultProxy(net::io_context& aContext,
                       const Address& aListen,
                       const Address& aServer,
                       std::uint64_t aSeed,
                       ClientNamer aNamer)
  : acceptor_(aContext, aListen)
  , server_(aServer)
  , dice_(aSeed)
  , namer_(std::move(aNamer))
{
  Accept();
}

FaultProxy::~FaultProxy() = default;

void FaultProxy::Accept()
{
  acceptor_.async_accept(
    [this](const ErrorCode& aError, net::ip::tcp::socket aSocket) {
      if (aError == net::error::operation_aborted) {
        return;
      }
      if (!aError) {
        const auto connection = std::make_shared<Connection>(
          std::move(aSocket),
          dice_.NextShare(),
          namer_,
          [this](Connection& aConnection) {
            aConnection.Apply(fault_, IsCut(aConnection.Client()));
          });
        connection->Apply(fault_, IsCut({}));
        connection->Start(server_);
        connections_.push_back(connection);
      }
      Accept();
    });
}

void FaultProxy::Set(const ProxyFault& aFault)
{
  fault_ = aFault;
  Apply();
}

void FaultProxy::Cut(CutScope aScope, CutHook aIsCut)
{
  cuts_.at(static_cast<std::size_t>(aScope)) = std::move(aIsCut);
  Apply();
}

bool FaultProxy::IsCut(std::string_view aClient) const
{
  return std::any_of(
    cuts_.begin(), cuts_.end(), [aClient](const CutHook& aCut) {
      return aCut && aCut(aClient);
    });
}

void FaultProxy::Apply()
{
  std::vector<std::weak_ptr<Connection>> alive;
  for (const auto& weak : connections_) {
    if (const auto connection = weak.lock()) {
      connection->Apply(fault_, IsCut(connection->Client()));
      alive.push_back(weak);
    }
  }
  connections_.swap(alive);
}

void FaultProxy::ResetClients()
{
  for (const auto& weak : connections_) {
    if (const auto connection = weak.lock()) {
      connection->ResetClient();
    }
  }
}

void FaultProxy::Silence()
{
  for (const auto& weak : connections_) {
    if (const auto connection = weak.lock()) {
      connection->Silence();
    }
  }
}

void FaultProxy::Reset(const CutHook& aIsCut)
{
  for (const auto& weak : connections_) {
    const auto connection = weak.lock();
    if (connection && (!aIsCut || aIsCut(connection->Client()))) {
      connection->Reset();
    }
  }
}

}
