// Stand-ins for the platform, its workers and its clients, and the processes
// of the deploy file, for the scripts of review 2. Loopback addresses only.
#pragma once

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace review {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

//! Milliseconds since the start of this program, on the steady clock.
std::int64_t NowMs();
void SleepMs(std::int64_t aMs);
//! Sleeps until NowMs() is aMs.
void SleepUntilMs(std::int64_t aMs);

//! Throws this when the case cannot run (exit code 2).
struct CannotRun
{
  std::string why;
};

//! record.txt: one JSON line for each event, with its time.
class Record
{
public:
  explicit Record(const std::string& aPath);
  void Write(const std::string& aWhat, json aFields = json::object());

private:
  std::mutex mutex_;
  std::ofstream file_;
};

struct Request
{
  std::string method;
  std::string target;
  std::map<std::string, std::string> headers; //!< Names in lower case.
  std::string body;
};

struct Response
{
  int status = 0; //!< 0: the connection ended without a whole response.
  std::string body;
  std::string contentType = "application/json";
};

//! A blocking HTTP/1.1 server with a thread for each connection.
class Server
{
public:
  using Handler = std::function<Response(const Request&)>;
  Server(std::string aIp, std::uint16_t aPort, Handler aHandler);
  ~Server() { Stop(); }
  //! Listens on the same address again after Stop().
  void Start();
  //! Closes the listener and all connections, as the end of a process does.
  void Stop();
  std::string Address() const { return ip_ + ":" + std::to_string(port_); }

private:
  void Serve(int aSocket);

  std::string ip_;
  std::uint16_t port_;
  Handler handler_;
  int listener_ = -1;
  std::mutex mutex_;
  std::condition_variable ended_;
  std::set<int> sockets_;
  int serving_ = 0;
  std::thread acceptor_;
  std::atomic<bool> running_{ false };
};

//! Sends one request on a new connection and waits for its response.
Response Call(const std::string& aAddress,
              const std::string& aMethod,
              const std::string& aTarget,
              const std::map<std::string, std::string>& aHeaders,
              const std::string& aBody,
              std::int64_t aTimeoutMs);

//! Forwards connections. While it is cut, it passes nothing on, neither bytes
//! nor ends of connections, as a partition does.
class Link
{
public:
  Link(std::string aIp, std::uint16_t aPort, std::string aTarget);
  ~Link();
  void Cut(bool aIsCut) { isCut_ = aIsCut; }
  //! Ends the connections on the side that opened them; the other side hears
  //! of it when the link isn't cut any more.
  void BreakOpeners();
  std::string Address() const { return ip_ + ":" + std::to_string(port_); }

private:
  void Forward(int aOpener);

  std::string ip_;
  std::uint16_t port_;
  std::string target_;
  std::atomic<bool> isCut_{ false };
  std::atomic<bool> running_{ true };
  std::atomic<int> generation_{ 0 };
  std::atomic<int> forwarding_{ 0 };
  int listener_;
  std::thread acceptor_;
};

//! The platform's store: a log with keyed topics.
class Store
{
public:
  Store(const std::string& aIp, std::uint16_t aPort);
  std::string Address() const { return server_.Address(); }
  //! Another address of the same store, which gives these workers, by their
  //! addresses, under other addresses.
  std::string AddView(const std::string& aIp,
                      std::map<std::string, std::string> aAddresses);
  void Put(const std::string& aTopic,
           const std::string& aKey,
           const std::optional<std::string>& aValue);

private:
  struct Entry
  {
    std::string key;
    std::optional<std::string> value;
  };
  using Addresses = std::map<std::string, std::string>;
  Response Handle(const Request& aRequest, const Addresses& aAddresses);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::vector<Entry>> topics_;
  Server server_;
  std::vector<std::unique_ptr<Server>> views_;
};

//! One run of a task at a worker.
struct Run
{
  std::string worker;
  std::int64_t bornMs = 0;
  std::vector<std::string> labels; //!< Of the lifetime that runs it.
  std::string task;
  std::uint32_t run = 0;
  std::int64_t beginMs = 0;
  std::int64_t endMs = -1; //!< -1 while it runs.
  std::string how;
};

//! All runs at all workers, in the order of their starts.
class RunLog
{
public:
  explicit RunLog(Record& aRecord)
    : record_(aRecord)
  {
  }
  std::size_t Begin(Run aRun);
  void End(std::size_t aNumber, const std::string& aHow);
  std::vector<Run> All() const;

private:
  Record& record_;
  mutable std::mutex mutex_;
  std::vector<Run> runs_;
};

//! A worker: starts, stops, leases and lists as PROTOCOL.md says. The spec of a
//! task is "MILLISECONDS MILLICORES".
class Worker
{
public:
  struct Description
  {
    std::string id;
    std::string ip;
    std::uint16_t port = 0;
    std::string service;
    std::string zone;
    std::vector<std::string> labels;
    std::int64_t cpu = 16000;
  };
  Worker(Description aDescription, Store& aStore, RunLog& aLog, Record& aRecord);
  ~Worker();

  //! A new lifetime: the entry in the store is written first, then the worker
  //! listens.
  void Start();
  //! The process ends; nothing is written to the store.
  void Crash();
  //! The next start order is delayed on its way: it gets no answer, and the
  //! process that listens here by then carries it out aMs later.
  void DelayNextStart(std::int64_t aMs);
  //! When an order that was delayed has left, or -1.
  std::int64_t DelayedAtMs() const { return delayedAtMs_; }
  std::string Id() const { return description_.id; }
  std::string Zone() const { return description_.zone; }
  std::string Address() const { return server_->Address(); }

private:
  struct Active
  {
    std::uint32_t run = 0;
    std::int64_t cpu = 0;
    std::int64_t endsAtMs = 0;
    std::size_t number = 0;
  };
  struct Ended
  {
    std::uint64_t position = 0;
    std::string task;
    std::uint32_t run = 0;
    std::string how;
  };
  Response Handle(const Request& aRequest);
  Response HandleStart(const json& aBody);
  Response HandleStop(const json& aBody);
  Response HandleHold(const json& aBody);
  Response Reply(int aStatus, json aBody) const;
  Response Conflict(const char* aReason) const;
  std::int64_t ClockMs() const { return NowMs() - startedAtMs_ + 1000; }
  void End(const std::string& aTask, const std::string& aHow);
  void WriteEntry();
  void Work();
  void Extend(std::int64_t aDeadline);

  Description description_;
  Store& store_;
  RunLog& log_;
  Record& record_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::int64_t delayMs_ = 0;
  std::atomic<std::int64_t> delayedAtMs_{ -1 };
  std::thread network_;
  bool alive_ = false;
  bool quit_ = false;
  std::int64_t bornMs_ = 0;
  std::int64_t startedAtMs_ = 0;
  std::int64_t nextEntryMs_ = 0;
  std::uint64_t sequence_ = 0;
  std::uint64_t token_ = 0;
  std::int64_t leaseEnd_ = 0; //!< On the worker's clock.
  std::int64_t free_ = 0;
  std::uint64_t position_ = 0;
  std::map<std::string, Active> active_;
  std::map<std::string, std::uint32_t> highest_; //!< Stopped or ended runs.
  std::deque<Ended> ended_;
  bool reported_ = false; //!< Whether this lifetime has answered a hold.
  std::unique_ptr<Server> server_;
  std::thread worker_;
};

//! The platform's balancer for one channel: forwards it to a daemon. A channel
//! can be reset instead, before its bytes are passed on.
class Channel
{
public:
  //! Resets the channel once the request has been sent on it.
  static Response SendAndReset(const std::string& aIp,
                               const std::string& aMethod,
                               const std::string& aTarget,
                               const std::map<std::string, std::string>& aHeaders,
                               const std::string& aBody);
};

//! The whole stage: a network of loopback addresses, the store, workers and
//! the daemons of the deploy file.
class Stage
{
public:
  //! aCase: the folder review/N. Uses the repository's root as the working
  //! folder.
  explicit Stage(const std::string& aCase);
  ~Stage();

  bool HasTrouble() const { return hasTrouble_; }
  Record& Log() { return record_; }
  RunLog& Runs() { return runs_; }
  Store& TheStore() { return *store_; }

  Worker& AddWorker(const std::string& aService,
                    const std::string& aZone,
                    std::vector<std::string> aLabels,
                    std::int64_t aCpu);
  void PutManifest(const json& aManifest);
  //! Starts one daemon in each of these zones, and waits until all are ready.
  void StartDaemons(const std::vector<std::string>& aZones);
  //! The same for two daemons in two zones, with a link wherever something goes
  //! from one zone to the other, and between the first zone and the platform.
  void StartTwoZones(const std::string& aFirst, const std::string& aSecond);
  //! Cuts the first of the two zones off from the other and the platform.
  void CutFirstZone(bool aIsCut);
  //! The balancer's channel to the daemon of the first zone.
  Link& FirstZoneChannel() { return *links_.front(); }
  //! The address for clients of daemon number aNumber.
  std::string Entry(std::size_t aNumber) const;
  //! Asks a daemon whether it is ready for clients.
  bool IsReady(std::size_t aNumber) const;
  std::vector<std::unique_ptr<Worker>>& Workers() { return workers_; }
  //! Sends a client's request and records it and its answer.
  Response Send(const std::string& aNote,
                const std::string& aAddress,
                const std::string& aMethod,
                const std::string& aTarget,
                const std::string& aHost,
                const std::string& aBody,
                std::int64_t aDeadlineMs);
  //! Ends all processes that were started.
  void End();
  std::string FreeIp();

private:
  struct Daemon
  {
    std::string name;
    std::string ip;
    std::string zone;
    pid_t pid = -1;
    std::string store;       //!< Its address of the store.
    std::string announcedIp; //!< Where the others reach it, if not at its ip.
  };
  void Spawn(Daemon& aDaemon);
  void AwaitReady();

  bool hasTrouble_;
  Record record_;
  RunLog runs_;
  std::string folder_;
  std::string network_; //!< "127.x.y."
  int nextHost_ = 10;
  std::vector<std::unique_ptr<Link>> links_;
  std::unique_ptr<Store> store_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::vector<Daemon> daemons_;
  std::vector<std::string> seeds_;
};

//! Runs a case: 1 if it returns true (the rule was broken), 0 if not, 2 if it
//! cannot run.
int RunCase(const std::function<bool()>& aCase);

}
