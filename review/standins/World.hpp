// Stand-ins for a small deployment on loopback, all in one process and on the
// real clock: the platform's store, workers, clients, proxies between daemons,
// and the record of what they saw. The daemons are separate processes.
#ifndef HEMLOCKHAVEN_REVIEW_WORLD_H
#define HEMLOCKHAVEN_REVIEW_WORLD_H

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace review {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using nlohmann::json;
using tcp = net::ip::tcp;

class World;

//! Milliseconds since the start of the script.
std::int64_t NowMs();

//! Whether the case is played with its disruption: not with TROUBLE=0.
bool IsTrouble();

//! An id of 16 hexadecimal digits.
std::string JobId(int aNumber);

using Request = http::request<http::string_body>;
using Reply = std::function<void(unsigned aStatus, std::string aBody)>;
using Handler = std::function<void(const Request&, Reply)>;

//! An HTTP server that can be cut off: it then reads nothing and sends nothing,
//! and what reached it meanwhile is lost.
class Server : public std::enable_shared_from_this<Server>
{
public:
  Server(net::io_context& aContext, std::string aIp, std::uint16_t aPort);
  void Start(Handler aHandler);
  //! Closes the listener and all connections, as when a process dies.
  void Stop();
  void SetCut(bool aCut);
  //! Limits what it sends over all connections; 0: no limit.
  void SetRate(std::int64_t aBytesPerSecond)
  {
    bytesPerSecond_ = aBytesPerSecond;
  }

private:
  struct Session;
  //! Milliseconds until the link has room for these bytes, which it then takes.
  std::int64_t ReserveLink(std::size_t aBytes);
  void Accept();

  net::io_context& context_;
  const tcp::endpoint address_;
  std::unique_ptr<tcp::acceptor> acceptor_;
  Handler handler_;
  std::vector<std::weak_ptr<Session>> sessions_;
  bool cut_ = false;
  std::int64_t bytesPerSecond_ = 0;
  double linkFreeAtMs_ = 0;
};

//! The platform's store: keyed topics that are read with log-newest and
//! log-read.
class Store
{
public:
  Store(World& aWorld, const std::string& aIp, std::uint16_t aPort);
  //! Serves at one more address, over a link of this rate: that of one daemon.
  void ServeOverLink(const std::string& aIp,
                     std::uint16_t aPort,
                     std::int64_t aBytesPerSecond);
  void Put(const std::string& aTopic,
           const std::string& aKey,
           const json& aValue);

private:
  struct Record
  {
    std::string key;
    std::string value;
  };
  void Handle(const Request& aRequest, Reply aReply);
  void ReadFrom(const std::string& aTopic,
                std::size_t aFrom,
                std::int64_t aUntilMs,
                Reply aReply);

  World& world_;
  std::vector<std::shared_ptr<Server>> servers_;
  std::map<std::string, std::vector<Record>> topics_;
};

//! One worker of the platform. A task's spec is "WORK_MS CPU LABEL".
class Worker
{
public:
  Worker(World& aWorld,
         std::string aId,
         std::string aIp,
         std::uint16_t aPort,
         std::string aZone,
         std::string aLabel,
         std::int64_t aCpu);

  void Boot();
  //! Ends everything that runs and forgets all but the id.
  void Crash();
  void SetLabel(std::string aLabel) { label_ = std::move(aLabel); }
  void SetCut(bool aCut);
  void Register();
  //! Writes its entry every 1.5 s, with the next sequence.
  void KeepRegistering();

  const std::string& Id() const { return id_; }

private:
  struct Run
  {
    std::uint32_t number = 0;
    std::int64_t cpu = 0;
    std::uint64_t serial = 0;
  };
  struct Ended
  {
    std::uint64_t position = 0;
    std::string task;
    std::uint32_t run = 0;
    std::string how;
  };
  void Handle(const Request& aRequest, Reply aReply);
  void RunStart(const json& aBody, const Reply& aReply);
  void RunStop(const json& aBody, const Reply& aReply);
  void Hold(const json& aBody, Reply aReply);
  void AnswerHold(const Reply& aReply);
  void End(std::string aTask, const std::string& aHow);
  void Extend(std::int64_t aDeadlineMs);
  void CheckLease();
  std::int64_t ClockMs() const { return NowMs() - bootedAt_ + 1; }
  void Conflict(const Reply& aReply, const char* aReason) const;
  json Beat() const;

  World& world_;
  const std::string id_;
  const std::string address_;
  const std::string zone_;
  std::string label_;
  std::string lifeLabel_;
  const std::int64_t cpu_;
  std::shared_ptr<Server> server_;
  std::uint64_t life_ = 0;
  std::uint64_t sequence_ = 0;
  bool up_ = false;
  std::int64_t bootedAt_ = 0;
  std::int64_t bornMs_ = 0;
  std::uint64_t token_ = 0;
  std::int64_t leaseMs_ = 0;
  std::int64_t freeCpu_ = 0;
  std::uint64_t position_ = 0;
  std::uint64_t serial_ = 0;
  std::map<std::string, Run> running_;
  std::map<std::string, std::uint32_t> highest_;
  std::deque<Ended> ended_;
  struct Waiting
  {
    std::uint64_t serial = 0;
    Reply reply;
  };
  std::vector<Waiting> waiting_;
};

//! What a client's request ended with; status 0 if there was no answer.
struct Answer
{
  unsigned status = 0;
  std::string body;
};

//! Forwards the links between daemons. Each connection carries messages of one
//! daemon to another; the sender is known by the name in its first message.
class LinkProxy
{
public:
  LinkProxy(World& aWorld,
            std::string aTo,
            const tcp::endpoint& aListen,
            const tcp::endpoint& aTarget);
  //! Open connections from this daemon go silent; new ones work.
  std::size_t Silence(const std::string& aFrom);

private:
  struct Pipe;
  void Accept();

  World& world_;
  const std::string to_;
  tcp::acceptor acceptor_;
  const tcp::endpoint target_;
  std::vector<std::weak_ptr<Pipe>> pipes_;
};

//! A daemon under test, run with the command of the deploy file.
struct DaemonProcess
{
  std::string name;
  std::string zone;
  std::string ip;
  int pid = 0;
  std::unique_ptr<LinkProxy> proxy;
};

class World
{
public:
  //! aFolder is that of the case; record.txt is written there.
  World(std::string aFolder, std::size_t aDaemons, bool aLinkProxies);
  ~World();

  net::io_context& Context() { return context_; }
  void Record(const std::string& aLine);
  void After(std::int64_t aMs, std::function<void()> aCall);
  //! Runs until Finish is called, 110 s at most; returns the exit code.
  int Run();
  //! 1: the rule was broken; 0: it held; 2: the case could not run.
  void Finish(int aCode, const std::string& aWhy);

  Store& PlatformStore() { return *store_; }
  Worker& AddWorker(const std::string& aId,
                    const std::string& aZone,
                    const std::string& aLabel,
                    std::int64_t aCpu);
  std::vector<std::unique_ptr<Worker>>& Workers() { return workers_; }
  std::vector<DaemonProcess>& Daemons() { return daemons_; }
  //! Gives each daemon a link of this rate to the store. Before their start.
  void LimitLinks(double aMbps);
  //! Puts a manifest with this many routes, the first of which has workers.
  void PutManifest(std::uint64_t aVersion, int aRoutes);
  void StartDaemons();
  void StartDaemon(DaemonProcess& aDaemon);
  void Kill(DaemonProcess& aDaemon, int aSignal);
  //! Sends a request to the daemon's address for clients on a new connection.
  //! The connection is closed after the answer or the time-out.
  void Send(DaemonProcess& aDaemon,
            const std::string& aMethod,
            const std::string& aPath,
            const std::string& aBody,
            std::int64_t aTimeoutMs,
            std::function<void(Answer)> aDone);
  //! Asks for readiness until all daemons answered 200, then calls aThen.
  void WhenReady(std::function<void()> aThen);
  //! Reads hemlockhaven_leading of the daemon's metrics.
  void AskLeading(DaemonProcess& aDaemon, std::function<void(bool)> aThen);

  //! Runs of a task that have begun and not ended, by worker.
  std::map<std::string, std::set<std::string>> running;
  //! Called when a run begins: task, worker, label of the worker's life.
  std::function<void(const std::string&, const Worker&, const std::string&)>
    onBegin;

  std::string Ip(unsigned aNet, unsigned aHost) const;
  const std::string service = "dispatch";
  const std::string host = "desk.example";
  const std::string prefix = "/tasks/";

private:
  void ReserveAddresses();
  void Ask(const tcp::endpoint& aAddress,
           const std::string& aMethod,
           const std::string& aPath,
           const std::string& aBody,
           std::int64_t aTimeoutMs,
           std::function<void(Answer)> aDone);

  net::io_context context_{ 1 };
  std::ofstream record_;
  std::string scratch_;
  double linkMbps_ = 1000;
  tcp::acceptor lock_{ context_ };
  unsigned base_ = 0; //!< Second byte of the loopback addresses.
  int code_ = 2;
  bool finished_ = false;
  std::unique_ptr<Store> store_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::vector<DaemonProcess> daemons_;
};

}

#endif
