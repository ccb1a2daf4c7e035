#include "World.hpp"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <iomanip>
#include <sstream>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr std::uint16_t kFrontPort = 8161;
constexpr std::uint16_t kReadyPort = 8167;
constexpr std::uint16_t kLinkPort = 7720;
constexpr std::uint16_t kMetricsPort = 9464;
constexpr std::uint16_t kStorePort = 8169;
constexpr std::uint16_t kWorkerPort = 8080;
//! Longest lease that a worker grants (hold_max_ms of the pages).
constexpr std::int64_t kHoldMaxMs = 1000;

std::string Base64(const std::string& aBytes)
{
  static const char* kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < aBytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group = (group << 8U) |
              (i + j < aBytes.size() ? static_cast<unsigned char>(aBytes[i + j])
                                     : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text +=
        i + j > aBytes.size() ? '=' : kDigits[(group >> (18U - 6U * j)) & 63U];
    }
  }
  return text;
}

std::string BigEndian(std::uint64_t aValue, unsigned aBytes)
{
  std::string text;
  for (unsigned i = aBytes; i > 0; --i) {
    text += static_cast<char>((aValue >> (8U * (i - 1))) & 255U);
  }
  return text;
}

std::map<std::string, std::string> Query(const std::string& aTarget)
{
  std::map<std::string, std::string> query;
  const auto mark = aTarget.find('?');
  if (mark == std::string::npos) {
    return query;
  }
  std::istringstream parts(aTarget.substr(mark + 1));
  std::string part;
  while (std::getline(parts, part, '&')) {
    const auto equals = part.find('=');
    query[part.substr(0, equals)] =
      equals == std::string::npos ? "" : part.substr(equals + 1);
  }
  return query;
}

}

std::int64_t NowMs()
{
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now() - start)
    .count();
}

bool IsTrouble()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

std::string JobId(int aNumber)
{
  std::ostringstream text;
  text << std::hex << std::setw(16) << std::setfill('0') << 0xa0000 + aNumber;
  return text.str();
}

struct Server::Session : std::enable_shared_from_this<Session>
{
  Session(tcp::socket aSocket, std::shared_ptr<Server> aServer)
    : stream(std::move(aSocket))
    , timer(stream.get_executor())
    , server(std::move(aServer))
  {
  }

  void Read()
  {
    request = {};
    http::async_read(
      stream,
      buffer,
      request,
      [self = shared_from_this()](beast::error_code aError, std::size_t) {
        if (aError) {
          return;
        }
        if (self->server->cut_ || self->lost) {
          self->lost = true;
          return; // What reaches a worker behind a cut is lost.
        }
        self->server->handler_(self->request,
                               [self](unsigned aStatus, std::string aBody) {
                                 self->Write(aStatus, std::move(aBody));
                               });
      });
  }

  void Write(unsigned aStatus, std::string aBody)
  {
    if (server->cut_ || lost) {
      lost = true;
      return;
    }
    http::response<http::string_body> response;
    response.result(aStatus);
    response.body() = std::move(aBody);
    response.prepare_payload();
    std::ostringstream text;
    text << response;
    outgoing = text.str();
    sent = 0;
    WriteChunk();
  }

  void WriteChunk()
  {
    constexpr std::size_t kChunkBytes = 2500;
    const std::size_t size = server->bytesPerSecond_ > 0
                               ? std::min(kChunkBytes, outgoing.size() - sent)
                               : outgoing.size() - sent;
    const std::int64_t wait = server->ReserveLink(size);
    if (wait == 0) {
      WriteNow(size);
      return;
    }
    timer.expires_after(std::chrono::milliseconds(wait));
    timer.async_wait([self = shared_from_this(), size](beast::error_code) {
      if (!self->lost) {
        self->WriteNow(size);
      }
    });
  }

  void WriteNow(std::size_t aSize)
  {
    net::async_write(stream,
                     net::buffer(outgoing.data() + sent, aSize),
                     [self = shared_from_this(),
                      aSize](beast::error_code aError, std::size_t) {
                       self->sent += aSize;
                       if (aError) {
                         return;
                       }
                       if (self->sent < self->outgoing.size()) {
                         self->WriteChunk();
                       } else {
                         self->Read();
                       }
                     });
  }

  beast::tcp_stream stream;
  net::steady_timer timer;
  std::string outgoing;
  std::size_t sent = 0;
  std::shared_ptr<Server> server;
  beast::flat_buffer buffer;
  Request request;
  bool lost = false; //!< Bytes of it were lost in a cut: it stays silent.
};

Server::Server(net::io_context& aContext, std::string aIp, std::uint16_t aPort)
  : context_(aContext)
  , address_(net::ip::make_address(aIp), aPort)
{
}

void Server::Start(Handler aHandler)
{
  handler_ = std::move(aHandler);
  acceptor_ = std::make_unique<tcp::acceptor>(context_);
  acceptor_->open(address_.protocol());
  acceptor_->set_option(net::socket_base::reuse_address(true));
  acceptor_->bind(address_);
  acceptor_->listen();
  Accept();
}

void Server::Accept()
{
  acceptor_->async_accept(
    [self = shared_from_this()](beast::error_code aError, tcp::socket aSocket) {
      if (aError) {
        return;
      }
      beast::error_code ignored;
      aSocket.set_option(tcp::no_delay(true), ignored);
      auto session = std::make_shared<Session>(std::move(aSocket), self);
      self->sessions_.push_back(session);
      session->Read();
      self->Accept();
    });
}

void Server::Stop()
{
  beast::error_code ignored;
  if (acceptor_) {
    acceptor_->close(ignored);
  }
  for (const auto& weak : sessions_) {
    if (const auto session = weak.lock()) {
      session->lost = true;
      session->stream.socket().close(ignored);
    }
  }
  sessions_.clear();
}

std::int64_t Server::ReserveLink(std::size_t aBytes)
{
  if (bytesPerSecond_ == 0) {
    return 0;
  }
  constexpr double kMsPerSecond = 1000;
  const auto now = static_cast<double>(NowMs());
  linkFreeAtMs_ =
    std::max(linkFreeAtMs_, now) + kMsPerSecond * static_cast<double>(aBytes) /
                                     static_cast<double>(bytesPerSecond_);
  return static_cast<std::int64_t>(linkFreeAtMs_ - now);
}

void Server::SetCut(bool aCut)
{
  cut_ = aCut;
}

Store::Store(World& aWorld, const std::string& aIp, std::uint16_t aPort)
  : world_(aWorld)
{
  ServeOverLink(aIp, aPort, 0);
}

void Store::ServeOverLink(const std::string& aIp,
                          std::uint16_t aPort,
                          std::int64_t aBytesPerSecond)
{
  servers_.push_back(std::make_shared<Server>(world_.Context(), aIp, aPort));
  servers_.back()->SetRate(aBytesPerSecond);
  servers_.back()->Start([this](const Request& aRequest, Reply aReply) {
    Handle(aRequest, std::move(aReply));
  });
}

void Store::Put(const std::string& aTopic,
                const std::string& aKey,
                const json& aValue)
{
  topics_[aTopic].push_back({ aKey, aValue.dump() });
  constexpr std::size_t kMaxRecordedBytes = 400;
  world_.Record("store " + aTopic + " " + aKey + " = " +
                topics_[aTopic].back().value.substr(0, kMaxRecordedBytes));
}

void Store::Handle(const Request& aRequest, Reply aReply)
{
  const std::string target(aRequest.target());
  auto query = Query(target);
  const std::string path = target.substr(0, target.find('?'));
  const std::string topic = query["topic"];
  const auto& records = topics_[topic];
  if (path == "/hemlockhaven/log-newest") {
    std::map<std::string, std::size_t> newest;
    for (std::size_t i = 0; i < records.size(); ++i) {
      newest[records[i].key] = i;
    }
    json body{ { "items", json::array() },
               { "has_more", false },
               { "end", records.size() } };
    for (const auto& [key, offset] : newest) {
      body["items"].push_back({ { "key", key },
                                { "value", Base64(records[offset].value) },
                                { "offset", offset } });
    }
    aReply(200, body.dump());
  } else if (path == "/hemlockhaven/log-read") {
    const auto wait = query.count("wait_ms") ? std::stoll(query["wait_ms"]) : 0;
    ReadFrom(
      topic, std::stoull(query["from"]), NowMs() + wait, std::move(aReply));
  } else {
    aReply(404, "{}");
  }
}

void Store::ReadFrom(const std::string& aTopic,
                     std::size_t aFrom,
                     std::int64_t aUntilMs,
                     Reply aReply)
{
  const auto& records = topics_[aTopic];
  if (records.size() <= aFrom && NowMs() < aUntilMs) {
    world_.After(10,
                 [this, aTopic, aFrom, aUntilMs, reply = std::move(aReply)] {
                   ReadFrom(aTopic, aFrom, aUntilMs, reply);
                 });
    return;
  }
  std::string body = BigEndian(records.size(), 8) + BigEndian(0, 8);
  for (std::size_t i = aFrom; i < records.size(); ++i) {
    const std::string content =
      BigEndian(records[i].key.size(), 1) + records[i].key + records[i].value;
    body += BigEndian(content.size(), 4) + content;
  }
  aReply(200, std::move(body));
}

Worker::Worker(World& aWorld,
               std::string aId,
               std::string aIp,
               std::uint16_t aPort,
               std::string aZone,
               std::string aLabel,
               std::int64_t aCpu)
  : world_(aWorld)
  , id_(std::move(aId))
  , address_(aIp + ":" + std::to_string(aPort))
  , zone_(std::move(aZone))
  , label_(std::move(aLabel))
  , cpu_(aCpu)
  , server_(std::make_shared<Server>(aWorld.Context(), aIp, aPort))
{
}

json Worker::Beat() const
{
  return { { "service", world_.service },
           { "address", address_ },
           { "zone", zone_ },
           { "version", "1" },
           { "slots", 8 },
           { "state", "ready" },
           { "cold_remaining_ms", 0 },
           { "sequence", sequence_ },
           { "born", bornMs_ },
           { "capacity",
             { { "cpu", cpu_ }, { "mem_mb", 65536 }, { "gpus", 0 } } },
           { "labels", { lifeLabel_, "r1-1" } } };
}

void Worker::Register()
{
  ++sequence_;
  world_.PlatformStore().Put("keyed.servers", id_, Beat());
}

void Worker::KeepRegistering()
{
  constexpr std::int64_t kHeartbeatMs = 1500;
  Register();
  world_.After(kHeartbeatMs, [this] { KeepRegistering(); });
}

void Worker::Boot()
{
  ++life_;
  up_ = true;
  lifeLabel_ = label_;
  bootedAt_ = NowMs();
  bornMs_ = std::chrono::duration_cast<std::chrono::milliseconds>(
              std::chrono::system_clock::now().time_since_epoch())
              .count();
  freeCpu_ = cpu_;
  world_.Record("worker " + id_ + " starts, kind " + lifeLabel_ + ", born " +
                std::to_string(bornMs_));
  server_->Start([this, life = life_](const Request& aRequest, Reply aReply) {
    if (life == life_ && up_) {
      Handle(aRequest, std::move(aReply));
    }
  });
  Register();
}

void Worker::Crash()
{
  world_.Record("worker " + id_ + " crashes");
  server_->Stop();
  up_ = false;
  while (!running_.empty()) {
    const std::string task = running_.begin()->first;
    running_.erase(running_.begin());
    world_.running[task].erase(id_);
    world_.Record("worker " + id_ + " " + task + " gone with the crash");
  }
  highest_.clear();
  ended_.clear();
  waiting_.clear();
  token_ = 0;
  leaseMs_ = 0;
  position_ = 0;
}

void Worker::SetCut(bool aCut)
{
  world_.Record("worker " + id_ +
                (aCut ? " is cut off" : " is reachable again"));
  server_->SetCut(aCut);
}

void Worker::Conflict(const Reply& aReply, const char* aReason) const
{
  aReply(409,
         json{ { "clock_ms", ClockMs() },
               { "born", bornMs_ },
               { "reason", aReason } }
           .dump());
}

void Worker::Handle(const Request& aRequest, Reply aReply)
{
  CheckLease();
  const std::string meant(aRequest["X-Hemlockhaven-Expect-Instance"]);
  const json body = json::parse(aRequest.body(), nullptr, false);
  const std::string path(aRequest.target());
  if (!meant.empty() && meant != id_) {
    aReply(421, json{ { "clock_ms", ClockMs() }, { "born", bornMs_ } }.dump());
    return;
  }
  if (!body.is_object()) {
    aReply(400, "{}");
    return;
  }
  const auto token = body.value("fencing_token", std::uint64_t{ 0 });
  if (token < token_) {
    Conflict(aReply, "fence");
    return;
  }
  if (token > token_) {
    world_.Record("worker " + id_ + " sees generation number " +
                  std::to_string(token) + " in " + path);
  }
  token_ = token;
  if (path == "/hemlockhaven/run-start") {
    RunStart(body, aReply);
  } else if (path == "/hemlockhaven/run-stop") {
    RunStop(body, aReply);
  } else if (path == "/hemlockhaven/hold") {
    Hold(body, std::move(aReply));
  } else {
    aReply(404, "{}");
  }
}

void Worker::RunStart(const json& aBody, const Reply& aReply)
{
  const std::string task = aBody.at("task");
  const std::uint32_t number = aBody.at("run");
  const std::int64_t deadline = aBody.at("deadline_ms");
  std::istringstream spec(aBody.at("spec").get<std::string>());
  std::int64_t workMs = 0;
  std::int64_t cpu = 0;
  spec >> workMs >> cpu;
  if (deadline < ClockMs()) {
    Conflict(aReply, "late");
    return;
  }
  const auto found = running_.find(task);
  if (found != running_.end() && found->second.number == number) {
    Extend(deadline);
    aReply(200, json{ { "clock_ms", ClockMs() }, { "born", bornMs_ } }.dump());
    return;
  }
  const auto highest = highest_.find(task);
  if (found != running_.end() ||
      (highest != highest_.end() && number <= highest->second)) {
    Extend(deadline);
    Conflict(aReply, "old");
    return;
  }
  Extend(deadline);
  if (cpu > freeCpu_) {
    Conflict(aReply, "room");
    return;
  }
  freeCpu_ -= cpu;
  const std::uint64_t serial = ++serial_;
  running_[task] = { number, cpu, serial };
  world_.running[task].insert(id_);
  world_.Record("worker " + id_ + " " + task + " run " +
                std::to_string(number) + " begins, generation number " +
                std::to_string(token_));
  if (world_.onBegin) {
    world_.onBegin(task, *this, lifeLabel_);
  }
  world_.After(workMs, [this, task, serial, life = life_] {
    if (life != life_) {
      return;
    }
    CheckLease();
    const auto run = running_.find(task);
    if (run != running_.end() && run->second.serial == serial) {
      End(task, "done");
    }
  });
  aReply(200, json{ { "clock_ms", ClockMs() }, { "born", bornMs_ } }.dump());
}

void Worker::RunStop(const json& aBody, const Reply& aReply)
{
  const std::string task = aBody.at("task");
  const std::uint32_t number = aBody.at("run");
  auto& highest = highest_[task];
  highest = std::max(highest, number);
  const auto run = running_.find(task);
  if (run != running_.end() && run->second.number == number) {
    End(task, "stopped");
  }
  aReply(200, json{ { "clock_ms", ClockMs() }, { "born", bornMs_ } }.dump());
}

void Worker::Hold(const json& aBody, Reply aReply)
{
  const auto acknowledged = aBody.value("ack_position", std::uint64_t{ 0 });
  while (!ended_.empty() && ended_.front().position <= acknowledged) {
    ended_.pop_front();
  }
  if (aBody.contains("deadline_ms")) {
    Extend(aBody.at("deadline_ms"));
  }
  const auto wait = aBody.value("wait_ms", std::int64_t{ 0 });
  if (wait <= 0 || !ended_.empty()) {
    AnswerHold(aReply);
    return;
  }
  const std::uint64_t serial = ++serial_;
  waiting_.push_back({ serial, std::move(aReply) });
  world_.After(wait, [this, serial] {
    const auto found = std::find_if(
      waiting_.begin(), waiting_.end(), [serial](const auto& aWait) {
        return aWait.serial == serial;
      });
    if (found != waiting_.end()) {
      const Reply reply = std::move(found->reply);
      waiting_.erase(found);
      AnswerHold(reply);
    }
  });
}

void Worker::AnswerHold(const Reply& aReply)
{
  CheckLease();
  json body{ { "clock_ms", ClockMs() },
             { "born", bornMs_ },
             { "running", json::array() },
             { "finished", json::array() } };
  for (const auto& [task, run] : running_) {
    body["running"].push_back({ task, run.number, "", 0, 0 });
  }
  for (const Ended& ended : ended_) {
    body["finished"].push_back(
      { ended.position, ended.task, ended.run, ended.how, "" });
  }
  aReply(200, body.dump());
}

void Worker::End(std::string aTask, const std::string& aHow)
{
  const auto run = running_.find(aTask);
  freeCpu_ += run->second.cpu;
  auto& highest = highest_[aTask];
  highest = std::max(highest, run->second.number);
  ended_.push_back({ ++position_, aTask, run->second.number, aHow });
  world_.Record("worker " + id_ + " " + aTask + " run " +
                std::to_string(run->second.number) + " ends: " + aHow);
  running_.erase(run);
  world_.running[aTask].erase(id_);
  std::vector<Waiting> waiting;
  waiting.swap(waiting_);
  for (const Waiting& wait : waiting) {
    AnswerHold(wait.reply);
  }
}

void Worker::Extend(std::int64_t aDeadlineMs)
{
  leaseMs_ = std::max(leaseMs_, std::min(aDeadlineMs, ClockMs() + kHoldMaxMs));
  world_.After(leaseMs_ - ClockMs() + 1, [this, life = life_] {
    if (life == life_ && up_) {
      CheckLease();
    }
  });
}

void Worker::CheckLease()
{
  while (ClockMs() > leaseMs_ && !running_.empty()) {
    End(running_.begin()->first, "lapsed");
  }
}

struct LinkProxy::Pipe : std::enable_shared_from_this<Pipe>
{
  Pipe(tcp::socket aIn, net::io_context& aContext)
    : in(std::move(aIn))
    , out(aContext)
  {
  }

  void Close()
  {
    beast::error_code ignored;
    in.close(ignored);
    out.close(ignored);
  }

  //! Reads what the sender writes; forwards it unless the pipe is silent.
  void ReadIn()
  {
    in.async_read_some(
      net::buffer(chunk),
      [self = shared_from_this()](beast::error_code aError, std::size_t aSize) {
        if (aError) {
          self->Close();
          return;
        }
        const std::string bytes(self->chunk.data(), aSize);
        if (self->from.empty()) {
          self->first += bytes;
          std::size_t earliest = std::string::npos;
          for (const std::string& name : *self->names) {
            const auto at = self->first.find(name);
            if (at < earliest) {
              earliest = at;
              self->from = name;
            }
          }
        }
        if (self->silent) {
          self->ReadIn();
          return;
        }
        self->pending = bytes;
        net::async_write(self->out,
                         net::buffer(self->pending),
                         [self](beast::error_code aWriteError, std::size_t) {
                           if (aWriteError) {
                             self->Close();
                           } else {
                             self->ReadIn();
                           }
                         });
      });
  }

  //! The receiver sends nothing on a link; only its end is passed on.
  void WatchOut()
  {
    out.async_read_some(
      net::buffer(&byte, 1),
      [self = shared_from_this()](beast::error_code, std::size_t) {
        if (!self->silent) {
          self->Close();
        }
      });
  }

  tcp::socket in;
  tcp::socket out;
  std::array<char, 16384> chunk{};
  std::string pending;
  std::string first;
  std::string from;
  const std::vector<std::string>* names = nullptr;
  char byte = 0;
  bool silent = false;
};

LinkProxy::LinkProxy(World& aWorld,
                     std::string aTo,
                     const tcp::endpoint& aListen,
                     const tcp::endpoint& aTarget)
  : world_(aWorld)
  , to_(std::move(aTo))
  , acceptor_(aWorld.Context())
  , target_(aTarget)
{
  acceptor_.open(aListen.protocol());
  acceptor_.set_option(net::socket_base::reuse_address(true));
  acceptor_.bind(aListen);
  acceptor_.listen();
  Accept();
}

void LinkProxy::Accept()
{
  acceptor_.async_accept([this](beast::error_code aError, tcp::socket aSocket) {
    if (aError) {
      return;
    }
    static std::vector<std::string> names;
    names.clear();
    for (const DaemonProcess& daemon : world_.Daemons()) {
      names.push_back(daemon.name);
    }
    auto pipe = std::make_shared<Pipe>(std::move(aSocket), world_.Context());
    pipe->names = &names;
    pipes_.push_back(pipe);
    pipe->out.async_connect(target_, [pipe](beast::error_code aConnectError) {
      if (aConnectError) {
        pipe->Close();
        return;
      }
      beast::error_code ignored;
      pipe->out.set_option(tcp::no_delay(true), ignored);
      pipe->ReadIn();
      pipe->WatchOut();
    });
    Accept();
  });
}

std::size_t LinkProxy::Silence(const std::string& aFrom)
{
  std::size_t count = 0;
  for (const auto& weak : pipes_) {
    const auto pipe = weak.lock();
    if (pipe && pipe->in.is_open() && !pipe->silent && pipe->from == aFrom) {
      pipe->silent = true;
      ++count;
    }
  }
  world_.Record("proxy: " + std::to_string(count) + " open channel(s) from " +
                aFrom + " to " + to_ + " go silent");
  return count;
}

World::World(std::string aFolder, std::size_t aDaemons, bool aLinkProxies)
  : record_(aFolder + "/record.txt")
{
  std::signal(SIGPIPE, SIG_IGN);
  NowMs();
  char folder[] = "/tmp/hemlockhaven-review-XXXXXX";
  scratch_ = ::mkdtemp(folder);
  ReserveAddresses();
  store_ = std::make_unique<Store>(*this, Ip(0, 7), kStorePort);
  PutManifest(7, 1);
  const char* zones[] = { "akl-otara", "akl-avondale", "akl-takapuna" };
  for (std::size_t i = 0; i < aDaemons; ++i) {
    DaemonProcess daemon;
    daemon.zone = zones[i % 3];
    daemon.name =
      "front-" + daemon.zone.substr(4) + "-" + std::to_string(i / 3 + 1);
    daemon.ip = Ip(1, static_cast<unsigned>(i + 1));
    daemons_.push_back(std::move(daemon));
  }
  if (aLinkProxies) {
    for (std::size_t i = 0; i < aDaemons; ++i) {
      daemons_[i].proxy = std::make_unique<LinkProxy>(
        *this,
        daemons_[i].name,
        tcp::endpoint(
          net::ip::make_address(Ip(2, static_cast<unsigned>(i + 1))),
          kLinkPort),
        tcp::endpoint(net::ip::make_address(daemons_[i].ip), kLinkPort));
    }
  }
}

void World::ReserveAddresses()
{
  // Addresses of this script alone, in 127.16.0.0 to 127.215.255.255. Another
  // script that runs holds the lock port of its own.
  constexpr unsigned kBases = 200;
  constexpr std::uint16_t kLockPort = 7999;
  const auto first = static_cast<unsigned>(::getpid());
  for (unsigned i = 0; i < kBases; ++i) {
    base_ = 16 + (first + i) % kBases;
    const tcp::endpoint address(net::ip::make_address(Ip(9, 9)), kLockPort);
    beast::error_code error;
    lock_.open(address.protocol(), error);
    lock_.bind(address, error);
    if (!error) {
      lock_.listen(1, error);
    }
    if (!error) {
      return;
    }
    lock_.close(error);
  }
}

World::~World()
{
  for (DaemonProcess& daemon : daemons_) {
    if (daemon.pid > 0) {
      ::kill(daemon.pid, SIGCONT);
      ::kill(daemon.pid, SIGKILL);
      ::waitpid(daemon.pid, nullptr, 0);
    }
  }
  for (const DaemonProcess& daemon : daemons_) {
    std::remove((scratch_ + "/" + daemon.name + ".json").c_str());
    if (std::getenv("KEEP_LOGS") == nullptr) {
      std::remove((scratch_ + "/" + daemon.name + ".log").c_str());
    }
  }
  if (std::getenv("KEEP_LOGS") == nullptr) {
    ::rmdir(scratch_.c_str());
  } else {
    std::printf("logs in %s\n", scratch_.c_str());
  }
}

std::string World::Ip(unsigned aNet, unsigned aHost) const
{
  return "127." + std::to_string(base_) + "." + std::to_string(aNet) + "." +
         std::to_string(aHost);
}

void World::Record(const std::string& aLine)
{
  record_ << NowMs() << " ms: " << aLine << '\n';
  record_.flush();
}

void World::After(std::int64_t aMs, std::function<void()> aCall)
{
  auto timer = std::make_shared<net::steady_timer>(
    context_, std::chrono::milliseconds(std::max<std::int64_t>(0, aMs)));
  timer->async_wait([timer, call = std::move(aCall)](beast::error_code aError) {
    if (!aError) {
      call();
    }
  });
}

int World::Run()
{
  constexpr std::int64_t kLimitMs = 110000;
  After(kLimitMs, [this] { Finish(2, "the script took too long"); });
  net::signal_set signals(context_, SIGTERM, SIGINT);
  signals.async_wait([this](beast::error_code aError, int) {
    if (!aError) {
      Finish(2, "the script was ended");
    }
  });
  try {
    context_.run();
  } catch (const std::exception& problem) {
    Finish(2, problem.what()); // The destructor ends the daemons.
  }
  return code_;
}

void World::Finish(int aCode, const std::string& aWhy)
{
  if (finished_) {
    return;
  }
  finished_ = true;
  code_ = aCode;
  Record("result " + std::to_string(aCode) + ": " + aWhy);
  std::printf("%d: %s\n", aCode, aWhy.c_str());
  context_.stop();
}

Worker& World::AddWorker(const std::string& aId,
                         const std::string& aZone,
                         const std::string& aLabel,
                         std::int64_t aCpu)
{
  workers_.push_back(
    std::make_unique<Worker>(*this,
                             aId,
                             Ip(3, static_cast<unsigned>(workers_.size() + 1)),
                             kWorkerPort,
                             aZone,
                             aLabel,
                             aCpu));
  workers_.back()->Boot();
  return *workers_.back();
}

void World::StartDaemon(DaemonProcess& aDaemon)
{
  const std::string settingsPath = scratch_ + "/" + aDaemon.name + ".json";
  const auto host = static_cast<unsigned>(&aDaemon - daemons_.data() + 1);
  // As deploy/settings.json renders them for the smaller standard deployments.
  json settings{ { "name", aDaemon.name },
                 { "zone", aDaemon.zone },
                 { "ip", aDaemon.proxy ? Ip(2, host) : aDaemon.ip },
                 { "cores", 0.25 },
                 { "linkMbps", linkMbps_ },
                 { "callers", aDaemon.ip + ":" + std::to_string(kFrontPort) },
                 { "readiness", aDaemon.ip + ":" + std::to_string(kReadyPort) },
                 { "linkPort", kLinkPort },
                 { "seeds", json::array() },
                 { "log",
                   (linkMbps_ < 1000 ? Ip(4, host) : Ip(0, 7)) + ":" +
                     std::to_string(kStorePort) },
                 { "endpointLeaseMs", 1000 },
                 { "stopGraceS", 6 },
                 { "metricsPort", kMetricsPort },
                 { "logLevel", "info" } };
  if (aDaemon.proxy) {
    settings["listenIp"] = aDaemon.ip;
  }
  for (std::size_t i = 0; i < std::min<std::size_t>(3, daemons_.size()); ++i) {
    const std::string ip =
      daemons_[i].proxy ? Ip(2, static_cast<unsigned>(i + 1)) : daemons_[i].ip;
    settings["seeds"].push_back(ip + ":8166");
  }
  std::ofstream(settingsPath) << settings.dump(2) << '\n';
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  const std::string logPath = scratch_ + "/" + aDaemon.name + ".log";
  posix_spawn_file_actions_addopen(
    &actions, 1, logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&actions, 1, 2);
  // A daemon must not hold this process's sockets open.
  posix_spawn_file_actions_addclosefrom_np(&actions, 3);
  const std::string variable = "HEMLOCKHAVEN_NODE_FILE=" + settingsPath;
  const std::string path =
    std::string("PATH=") + (std::getenv("PATH") ? std::getenv("PATH") : "");
  char program[] = "target/platform/hemlockhaven-platform";
  char* const arguments[] = { program, nullptr };
  char* const environment[] = { const_cast<char*>(variable.c_str()),
                                const_cast<char*>(path.c_str()),
                                nullptr };
  pid_t pid = 0;
  const int result =
    ::posix_spawn(&pid, program, &actions, nullptr, arguments, environment);
  posix_spawn_file_actions_destroy(&actions);
  if (result != 0) {
    Finish(2, "the daemon could not be started");
    return;
  }
  aDaemon.pid = pid;
  Record("daemon " + aDaemon.name + " starts");
}

void World::LimitLinks(double aMbps)
{
  // Of each packet of 1,500 bytes, 52 are headers.
  constexpr double kBytesPerMbit = 125000.0 * 1448 / 1500;
  linkMbps_ = aMbps;
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    store_->ServeOverLink(Ip(4, static_cast<unsigned>(i + 1)),
                          kStorePort,
                          static_cast<std::int64_t>(aMbps * kBytesPerMbit));
  }
}

void World::PutManifest(std::uint64_t aVersion, int aRoutes)
{
  json routes = json::array();
  for (int i = 0; i < aRoutes; ++i) {
    const std::string number = std::to_string(i);
    routes.push_back(
      { { "name", i == 0 ? "callout" : "r-" + number },
        { "host", i == 0 ? host : "host" + number + ".example" },
        { "path_prefix", i == 0 ? prefix : "/queue" + number + "/" },
        { "kind", "non_idempotent" },
        { "timeout_ms", 1500 },
        { "target_latency_ms", 2000 },
        { "priority", 1 },
        { "service", service },
        { "attempts", 3 },
        { "stretch", 4.0 } });
  }
  const json manifest{
    { "version", aVersion },
    { "routes", std::move(routes) },
    { "services", { { { "name", service }, { "admission_control", true } } } },
    { "limits", json::object() }
  };
  Record("the manifest has " + std::to_string(manifest.dump().size()) +
         " bytes");
  store_->Put("keyed.op", "config", manifest);
}

void World::StartDaemons()
{
  for (DaemonProcess& daemon : daemons_) {
    StartDaemon(daemon);
  }
}

void World::Kill(DaemonProcess& aDaemon, int aSignal)
{
  Record("daemon " + aDaemon.name + " gets signal " + std::to_string(aSignal));
  ::kill(aDaemon.pid, aSignal);
  if (aSignal == SIGKILL) {
    ::waitpid(aDaemon.pid, nullptr, 0);
    aDaemon.pid = 0;
  }
}

void World::Ask(const tcp::endpoint& aAddress,
                const std::string& aMethod,
                const std::string& aPath,
                const std::string& aBody,
                std::int64_t aTimeoutMs,
                std::function<void(Answer)> aDone)
{
  struct Call
  {
    explicit Call(net::io_context& aContext)
      : stream(aContext)
    {
    }
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    Request request;
    http::response<http::string_body> response;
    std::function<void(Answer)> done;
  };
  auto call = std::make_shared<Call>(context_);
  call->done = std::move(aDone);
  call->request.version(11);
  call->request.method(http::string_to_verb(aMethod));
  call->request.target(aPath);
  call->request.set("Host", host);
  call->request.set("Content-Type", "application/json");
  call->request.set("X-Hemlockhaven-Deadline-Ms", std::to_string(aTimeoutMs));
  call->request.body() = aBody;
  call->request.prepare_payload();
  call->stream.expires_after(std::chrono::milliseconds(aTimeoutMs));
  call->stream.async_connect(aAddress, [call](beast::error_code aError) {
    if (aError) {
      call->done({});
      return;
    }
    http::async_write(call->stream,
                      call->request,
                      [call](beast::error_code aWriteError, std::size_t) {
                        if (aWriteError) {
                          call->done({});
                          return;
                        }
                        http::async_read(
                          call->stream,
                          call->buffer,
                          call->response,
                          [call](beast::error_code aReadError, std::size_t) {
                            beast::error_code ignored;
                            call->stream.socket().close(ignored);
                            if (aReadError) {
                              call->done({});
                            } else {
                              call->done({ call->response.result_int(),
                                           call->response.body() });
                            }
                          });
                      });
  });
}

void World::Send(DaemonProcess& aDaemon,
                 const std::string& aMethod,
                 const std::string& aPath,
                 const std::string& aBody,
                 std::int64_t aTimeoutMs,
                 std::function<void(Answer)> aDone)
{
  Record("client " + aMethod + " " + aPath + " to " + aDaemon.name +
         (aBody.empty() ? "" : " " + aBody));
  Ask({ net::ip::make_address(aDaemon.ip), kFrontPort },
      aMethod,
      aPath,
      aBody,
      aTimeoutMs,
      [this, aMethod, aPath, name = aDaemon.name, done = std::move(aDone)](
        const Answer& aAnswer) {
        Record("client " + aMethod + " " + aPath + " to " + name + " gets " +
               (aAnswer.status == 0
                  ? std::string("no answer")
                  : std::to_string(aAnswer.status) + " " + aAnswer.body));
        done(aAnswer);
      });
}

void World::WhenReady(std::function<void()> aThen)
{
  auto left = std::make_shared<std::size_t>(daemons_.size());
  auto ready = std::make_shared<std::size_t>(0);
  for (const DaemonProcess& daemon : daemons_) {
    Ask({ net::ip::make_address(daemon.ip), kReadyPort },
        "GET",
        "/hemlockhaven/readiness",
        "",
        500,
        [this, left, ready, then = aThen](const Answer& aAnswer) {
          *ready += aAnswer.status == 200 ? 1 : 0;
          if (--*left > 0) {
            return;
          }
          if (*ready == daemons_.size()) {
            Record("all daemons are ready");
            then();
          } else {
            After(100, [this, then] { WhenReady(then); });
          }
        });
  }
}

void World::AskLeading(DaemonProcess& aDaemon, std::function<void(bool)> aThen)
{
  Ask({ net::ip::make_address(aDaemon.ip), kMetricsPort },
      "GET",
      "/metrics",
      "",
      500,
      [then = std::move(aThen)](const Answer& aAnswer) {
        then(aAnswer.body.find("hemlockhaven_leading 1") != std::string::npos);
      });
}

}
