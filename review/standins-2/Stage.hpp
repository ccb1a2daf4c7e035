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

//! The platform's store: a log with keyed topics.
class Store
{
public:
  Store(const std::string& aIp, std::uint16_t aPort);
  std::string Address() const { return server_.Address(); }
  void Put(const std::string& aTopic,
           const std::string& aKey,
           const std::optional<std::string>& aValue);

private:
  struct Entry
  {
    std::string key;
    std::optional<std::string> value;
  };
  Response Handle(const Request& aRequest);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::vector<Entry>> topics_;
  Server server_;
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

//! An order that a worker has carried out or refused.
struct Order
{
  std::string worker;
  std::int64_t atMs = 0;
  std::uint64_t token = 0;
  std::string what; //!< "run-start", "run-stop" or "hold".
  bool fenced = false;
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
  void Add(Order aOrder);
  std::vector<Order> Orders() const;

private:
  Record& record_;
  mutable std::mutex mutex_;
  std::vector<Run> runs_;
  std::vector<Order> orders_;
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
  void SetLabels(std::vector<std::string> aLabels);
  //! Writes this state ("ready", "draining") to the store at once.
  void SetState(const std::string& aState);
  std::string Id() const { return description_.id; }
  std::int64_t BornMs() const { return bornMs_; }
  //! Whether the present lifetime has answered a hold.
  bool HasReported() const { return reported_; }

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
  std::string state_ = "ready";
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
  std::atomic<bool> reported_{ false };
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
  //! The address for clients of daemon number aNumber.
  std::string Entry(std::size_t aNumber) const;
  //! Asks a daemon whether it is ready for clients.
  bool IsReady(std::size_t aNumber) const;
  //! Sends a signal to a daemon. After SIGKILL it has ended on return.
  void Signal(std::size_t aNumber, int aSignal);
  //! Starts a daemon again that has ended.
  void Restart(std::size_t aNumber);
  //! Starts a daemon on a new address, with the seeds as they are now.
  //! Returns its number.
  std::size_t AddDaemon(const std::string& aZone);
  //! The daemons whose addresses the settings files give as seeds; rewrites
  //! the file of daemon number aOf.
  void SetSeeds(std::size_t aOf, const std::vector<std::size_t>& aDaemons);
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
  };
  void WriteSettings(const Daemon& aDaemon);
  void Spawn(Daemon& aDaemon);

  bool hasTrouble_;
  Record record_;
  RunLog runs_;
  std::string folder_;
  std::string network_; //!< "127.x.y."
  int nextHost_ = 10;
  std::unique_ptr<Store> store_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::vector<Daemon> daemons_;
  std::vector<std::string> seeds_;
};

//! Runs a case: 1 if it returns true (the rule was broken), 0 if not, 2 if it
//! cannot run.
int RunCase(const std::function<bool()>& aCase);

}
