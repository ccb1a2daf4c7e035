#include "Rig.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

namespace rig {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

namespace {

const Clock::time_point kStart = Clock::now();
std::mutex recordMutex;
std::ofstream recordFile;

sockaddr_in AddressOf(const std::string& aIp, int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
  return address;
}

bool SendAll(int aSocket, const std::string& aText)
{
  std::size_t sent = 0;
  while (sent < aText.size()) {
    const ssize_t count =
      ::send(aSocket, aText.data() + sent, aText.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

std::string Lower(std::string aText)
{
  for (char& c : aText) {
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  }
  return aText;
}

//! Splits the head of a message into its first line and fields.
std::string ParseHead(const std::string& aHead,
                      std::map<std::string, std::string>& aFields)
{
  std::istringstream lines(aHead);
  std::string first;
  std::getline(lines, first);
  std::string line;
  while (std::getline(lines, line)) {
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      std::size_t at = colon + 1;
      while (at < line.size() && line[at] == ' ') {
        ++at;
      }
      aFields[Lower(line.substr(0, colon))] = line.substr(at);
    }
  }
  if (!first.empty() && first.back() == '\r') {
    first.pop_back();
  }
  return first;
}

std::string QueryValue(const std::string& aTarget, const std::string& aName)
{
  const std::size_t at = aTarget.find('?');
  std::istringstream items(at == std::string::npos ? ""
                                                   : aTarget.substr(at + 1));
  std::string item;
  while (std::getline(items, item, '&')) {
    if (item.compare(0, aName.size() + 1, aName + "=") == 0) {
      return item.substr(aName.size() + 1);
    }
  }
  return {};
}

std::string Base64(const std::string& aBytes)
{
  static const char* const kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < aBytes.size(); i += 3) {
    unsigned value = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      value = value * 256 +
              (i + k < aBytes.size() ? static_cast<unsigned char>(aBytes[i + k])
                                     : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      text += i + k <= aBytes.size() ? kDigits[(value >> (18 - 6 * k)) & 63U]
                                     : '=';
    }
  }
  return text;
}

std::string BigEndian(std::uint64_t aValue, int aBytes)
{
  std::string text;
  for (int i = aBytes - 1; i >= 0; --i) {
    text += static_cast<char>((aValue >> (8 * i)) & 255U);
  }
  return text;
}

std::string SubnetPrefix()
{
  static const std::string prefix = [] {
    std::random_device random;
    return "127." + std::to_string(20 + random() % 200) + "." +
           std::to_string(1 + random() % 250) + ".";
  }();
  return prefix;
}

std::vector<pid_t>& Children()
{
  static std::vector<pid_t> children;
  return children;
}

}

double Now()
{
  return std::chrono::duration<double, std::milli>(Clock::now() - kStart)
    .count();
}

void SleepMs(double aMs)
{
  if (aMs > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(aMs));
  }
}

void SleepUntil(double aMs)
{
  SleepMs(aMs - Now());
}

void Record::Open(const std::string& aPath)
{
  recordFile.open(aPath, std::ios::trunc);
}

void Record::Line(const std::string& aText)
{
  char time[32];
  std::snprintf(time, sizeof time, "%9.1f ms  ", Now());
  const std::lock_guard<std::mutex> lock(recordMutex);
  recordFile << time << aText << std::endl;
}

Server::Server(const std::string& aIp, int aPort, Handler aHandler)
  : state_(std::make_shared<State>())
{
  state_->handler = std::move(aHandler);
  state_->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(state_->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = AddressOf(aIp, aPort);
  if (::bind(state_->listener,
             reinterpret_cast<const sockaddr*>(&address),
             sizeof address) != 0 ||
      ::listen(state_->listener, 512) != 0) {
    Finish(2, "cannot listen on " + aIp + ":" + std::to_string(aPort));
  }
  std::thread([state = state_] { Accept(state); }).detach();
}

Server::~Server()
{
  const std::lock_guard<std::mutex> lock(state_->mutex);
  state_->stopped = true;
  ::shutdown(state_->listener, SHUT_RDWR);
  ::close(state_->listener);
  for (const int channel : state_->channels) {
    ::shutdown(channel, SHUT_RDWR);
  }
}

void Server::Accept(const std::shared_ptr<State>& aState)
{
  for (;;) {
    const int client =
      ::accept4(aState->listener, nullptr, nullptr, SOCK_CLOEXEC);
    const std::lock_guard<std::mutex> lock(aState->mutex);
    if (aState->stopped) {
      if (client >= 0) {
        ::close(client);
      }
      return;
    }
    if (client < 0) {
      continue;
    }
    const int on = 1;
    ::setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    aState->channels.insert(client);
    std::thread([aState, client] {
      Serve(aState, client);
      const std::lock_guard<std::mutex> closing(aState->mutex);
      aState->channels.erase(client);
      ::close(client);
    }).detach();
  }
}

void Server::Serve(const std::shared_ptr<State>& aState, int aSocket)
{
  std::string buffer;
  char chunk[65536];
  for (;;) {
    std::size_t head = buffer.find("\r\n\r\n");
    while (head == std::string::npos) {
      const ssize_t count = ::recv(aSocket, chunk, sizeof chunk, 0);
      if (count <= 0) {
        return;
      }
      buffer.append(chunk, static_cast<std::size_t>(count));
      head = buffer.find("\r\n\r\n");
    }
    Request request;
    const std::string first =
      ParseHead(buffer.substr(0, head + 2), request.headers);
    std::istringstream words(first);
    words >> request.method >> request.target;
    buffer.erase(0, head + 4);
    const auto length = request.headers.find("content-length");
    const std::size_t wanted =
      length == request.headers.end() ? 0 : std::stoul(length->second);
    while (buffer.size() < wanted) {
      const ssize_t count = ::recv(aSocket, chunk, sizeof chunk, 0);
      if (count <= 0) {
        return;
      }
      buffer.append(chunk, static_cast<std::size_t>(count));
    }
    request.body = buffer.substr(0, wanted);
    buffer.erase(0, wanted);
    const Response response = aState->handler(request);
    if (response.status == 0) {
      while (::recv(aSocket, chunk, sizeof chunk, 0) > 0) {
      }
      return;
    }
    const std::string text = "HTTP/1.1 " + std::to_string(response.status) +
                             " X\r\nContent-Type: " + response.contentType +
                             "\r\nContent-Length: " +
                             std::to_string(response.body.size()) +
                             "\r\n\r\n" + response.body;
    if (!SendAll(aSocket, text)) {
      return;
    }
  }
}

Store::Store(const std::string& aIp, int aPort)
  : address_(aIp + ":" + std::to_string(aPort))
{
  server_ = std::make_unique<Server>(
    aIp, aPort, [this](const Request& aRequest) { return Handle(aRequest); });
}

void Store::Put(const std::string& aTopic,
                const std::string& aKey,
                const std::string& aValue)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  topics_[aTopic].push_back({ aKey, aValue });
  changed_.notify_all();
}

Response Store::Handle(const Request& aRequest)
{
  std::unique_lock<std::mutex> lock(mutex_);
  const std::string path = aRequest.target.substr(0, aRequest.target.find('?'));
  auto& rows = topics_[QueryValue(aRequest.target, "topic")];
  if (path == "/hemlockhaven/log-newest") {
    std::map<std::string, std::size_t> newest;
    for (std::size_t i = 0; i < rows.size(); ++i) {
      newest[rows[i].key] = i;
    }
    const std::string after = QueryValue(aRequest.target, "depends_on");
    json items = json::array();
    bool hasMore = false;
    std::size_t bytes = 0;
    for (auto item = newest.upper_bound(after); item != newest.end(); ++item) {
      const Row& row = rows[item->second];
      if (row.value.empty()) {
        continue;
      }
      if (items.size() >= 500 || bytes > 1000000) {
        hasMore = true;
        break;
      }
      bytes += row.value.size();
      items.push_back({ { "key", row.key },
                        { "value", Base64(row.value) },
                        { "offset", item->second } });
    }
    return { 200,
             json{ { "items", items },
                   { "has_more", hasMore },
                   { "end", rows.size() } }
               .dump(),
             "application/json" };
  }
  if (path == "/hemlockhaven/log-read") {
    const std::size_t from =
      std::strtoul(QueryValue(aRequest.target, "from").c_str(), nullptr, 10);
    const int wait =
      std::atoi(QueryValue(aRequest.target, "wait_ms").c_str());
    changed_.wait_for(lock, std::chrono::milliseconds(wait), [&rows, from] {
      return rows.size() > from;
    });
    std::string body = BigEndian(rows.size(), 8) + BigEndian(0, 8);
    for (std::size_t i = from; i < rows.size() && body.size() < 1000000; ++i) {
      const std::string record =
        static_cast<char>(rows[i].key.size()) + rows[i].key + rows[i].value;
      body += BigEndian(record.size(), 4) + record;
    }
    return { 200, body, "application/octet-stream" };
  }
  return { 404, "{}", "application/json" };
}

namespace {

std::mutex workersMutex;
std::vector<Worker*> allWorkers;

std::int64_t WallMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

//! One thread ends the runs of all workers.
void TickWorkers()
{
  for (;;) {
    SleepMs(1);
    std::vector<Worker*> workers;
    {
      const std::lock_guard<std::mutex> lock(workersMutex);
      workers = allWorkers;
    }
    for (Worker* worker : workers) {
      worker->Tick();
    }
  }
}

}

Worker::Worker(Store& aStore, Runs& aRuns, Description aDescription)
  : store_(aStore)
  , runs_(aRuns)
  , description_(std::move(aDescription))
  , startedAt_(Now())
  , bornMs_(WallMs())
{
  server_ = std::make_unique<Server>(
    description_.ip, description_.port, [this](const Request& aRequest) {
      return Handle(aRequest);
    });
  Register();
  registerAt_ = Now() + 1500;
  const std::lock_guard<std::mutex> lock(workersMutex);
  allWorkers.push_back(this);
  if (allWorkers.size() == 1) {
    std::thread(TickWorkers).detach();
  }
}

void Worker::Unregister()
{
  const std::lock_guard<std::mutex> lock(mutex_);
  registered_ = false;
  store_.Put("keyed.servers", description_.id, "");
}

void Worker::Crash()
{
  server_.reset();
  const std::lock_guard<std::mutex> lock(mutex_);
  ++lifetime_;
  registered_ = false;
  while (!running_.empty()) {
    Finish(running_.begin()->first, "lost with its worker");
  }
  ends_.clear();
  highest_.clear();
  lastEnd_ = 0;
  token_ = 0;
  leaseMs_ = 0;
  Record::Line("worker " + description_.id + " ends");
}

void Worker::Restart(const std::string& aKind)
{
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    startedAt_ = Now();
    bornMs_ = WallMs();
    sequence_ = 0;
    description_.kind = aKind;
    registered_ = true;
    registerAt_ = Now() + 1500;
    Record::Line("worker " + description_.id + " starts again as kind " +
                 aKind);
    Register();
  }
  server_ = std::make_unique<Server>(
    description_.ip, description_.port, [this](const Request& aRequest) {
      return Handle(aRequest);
    });
}

void Worker::SetLateness(std::function<double(const Request&)> aLateness)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  lateness_ = std::move(aLateness);
}

void Worker::Register()
{
  json entry{ { "service", description_.service },
              { "address",
                description_.ip + ":" + std::to_string(description_.port) },
              { "zone", description_.zone },
              { "version", "v1" },
              { "slots", 8 },
              { "state", "ready" },
              { "cold_remaining_ms", 0 },
              { "capacity",
                { { "cpu", description_.cpu },
                  { "mem_mb", 65536 },
                  { "gpus", 0 } } },
              { "labels", { description_.kind, description_.rack } },
              { "clock_ms", ClockMs() },
              { "sequence", ++sequence_ },
              { "born", bornMs_ } };
  store_.Put("keyed.servers", description_.id, entry.dump());
}

std::int64_t Worker::ClockMs() const
{
  return static_cast<std::int64_t>(Now() - startedAt_) + 1;
}

void Worker::Tick()
{
  const std::lock_guard<std::mutex> lock(mutex_);
  if (registered_ && Now() >= registerAt_) {
    registerAt_ += 1500;
    Register();
  }
  if (running_.empty()) {
    return;
  }
  if (ClockMs() > leaseMs_) {
    while (!running_.empty()) {
      Finish(running_.begin()->first, "lapsed");
    }
  }
  std::vector<std::string> done;
  for (const auto& [task, run] : running_) {
    if (Now() >= run.endsAt) {
      done.push_back(task);
    }
  }
  for (const std::string& task : done) {
    Finish(task, "done");
  }
}

void Worker::Finish(std::string aTask, const char* aHow)
{
  const auto found = running_.find(aTask);
  const Run run = found->second;
  running_.erase(found);
  highest_[aTask] = std::max(highest_[aTask], run.number);
  ends_.push_back({ ++lastEnd_, aTask, run.number, aHow });
  {
    const std::lock_guard<std::mutex> lock(runs_.mutex);
    runs_.all[run.log].end = Now();
    runs_.all[run.log].how = aHow;
  }
  Record::Line("worker " + description_.id + ": run " +
               std::to_string(run.number) + " of " + aTask + " ends " + aHow);
  ended_.notify_all();
}

void Worker::Extend(std::int64_t aDeadline)
{
  constexpr std::int64_t kHoldMaxMs = 1000;
  leaseMs_ = std::max(leaseMs_, std::min(aDeadline, ClockMs() + kHoldMaxMs));
}

Response Worker::Handle(const Request& aRequest)
{
  double lateMs = 0;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    lateMs = lateness_ ? lateness_(aRequest) : 0;
  }
  if (lateMs <= 0) {
    return CarryOut(aRequest);
  }
  Record::Line("worker " + description_.id + " leaves " + aRequest.target +
               " unanswered: " + aRequest.body);
  std::thread([this, aRequest, lateMs] {
    SleepMs(lateMs);
    const Response response = CarryOut(aRequest);
    Record::Line("worker " + description_.id + " has carried out " +
                 aRequest.target + " late: " + aRequest.body + " -> " +
                 std::to_string(response.status));
  }).detach();
  return { 0, "", "" };
}

Response Worker::CarryOut(const Request& aRequest)
{
  const auto expected =
    aRequest.headers.find("x-hemlockhaven-expect-instance");
  if (expected != aRequest.headers.end() &&
      expected->second != description_.id) {
    return { 421, "{}", "application/json" };
  }
  if (aRequest.target == "/health") {
    return { 200, "{}", "application/json" };
  }
  if (aRequest.target == "/hemlockhaven/run-start") {
    return Start(aRequest.body);
  }
  if (aRequest.target == "/hemlockhaven/run-stop") {
    return Stop(aRequest.body);
  }
  if (aRequest.target == "/hemlockhaven/hold") {
    return Hold(aRequest.body);
  }
  return { 404, "{}", "application/json" };
}

Response Worker::Start(const std::string& aBody)
{
  const json body = json::parse(aBody);
  const std::string task = body.at("task");
  const int number = body.at("run");
  const std::string spec = body.value("spec", "");
  const std::int64_t deadline = body.at("deadline_ms");
  const std::uint64_t token = body.value("fencing_token", std::uint64_t{ 0 });
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto refuse = [&](const char* aReason) {
    Record::Line("worker " + description_.id + ": start of run " +
                 std::to_string(number) + " of " + task + " rejected: " +
                 aReason);
    return Response{ 409,
                     json{ { "clock_ms", ClockMs() }, { "reason", aReason } }
                       .dump(),
                     "application/json" };
  };
  if (token < token_) {
    return refuse("fence");
  }
  token_ = token;
  if (deadline < ClockMs()) {
    return refuse("late");
  }
  const auto found = running_.find(task);
  if (found != running_.end() && found->second.number == number) {
    return { 200, json{ { "clock_ms", ClockMs() } }.dump(), "application/json" };
  }
  const auto highest = highest_.find(task);
  if (found != running_.end() ||
      (highest != highest_.end() && number <= highest->second)) {
    Extend(deadline);
    return refuse("old");
  }
  double work = 0;
  int cpu = 0;
  std::istringstream words(spec);
  words >> work >> cpu;
  int used = 0;
  for (const auto& [name, run] : running_) {
    used += run.cpu;
  }
  if (used + cpu > description_.cpu) {
    Extend(deadline);
    return refuse("room");
  }
  Extend(deadline);
  std::size_t log = 0;
  {
    const std::lock_guard<std::mutex> runsLock(runs_.mutex);
    log = runs_.all.size();
    runs_.all.push_back(
      { task, number, description_.id, description_.kind, spec, Now(), -1, "" });
  }
  running_[task] = { number, Now() + work, cpu, log };
  Record::Line("worker " + description_.id + ": run " + std::to_string(number) +
               " of " + task + " begins, token " + std::to_string(token) +
               ", spec '" + spec + "'");
  return { 200, json{ { "clock_ms", ClockMs() } }.dump(), "application/json" };
}

Response Worker::Stop(const std::string& aBody)
{
  const json body = json::parse(aBody);
  const std::string task = body.at("task");
  const int number = body.at("run");
  const std::uint64_t token = body.value("fencing_token", std::uint64_t{ 0 });
  const std::lock_guard<std::mutex> lock(mutex_);
  if (token < token_) {
    return { 409,
             json{ { "clock_ms", ClockMs() }, { "reason", "fence" } }.dump(),
             "application/json" };
  }
  token_ = token;
  highest_[task] = std::max(highest_[task], number);
  const auto found = running_.find(task);
  if (found != running_.end() && found->second.number == number) {
    Finish(task, "stopped");
  }
  return { 200, json{ { "clock_ms", ClockMs() } }.dump(), "application/json" };
}

Response Worker::Hold(const std::string& aBody)
{
  const json body = json::parse(aBody);
  const std::uint64_t token = body.value("fencing_token", std::uint64_t{ 0 });
  const std::uint64_t acked = body.value("ack_position", std::uint64_t{ 0 });
  const std::int64_t deadline = body.value("deadline_ms", std::int64_t{ 0 });
  const int wait = body.value("wait_ms", 0);
  std::unique_lock<std::mutex> lock(mutex_);
  if (token < token_) {
    return { 409,
             json{ { "clock_ms", ClockMs() }, { "reason", "fence" } }.dump(),
             "application/json" };
  }
  token_ = token;
  if (deadline > 0) {
    Extend(deadline);
  }
  ends_.erase(
    std::remove_if(ends_.begin(),
                   ends_.end(),
                   [acked](const End& aEnd) { return aEnd.number <= acked; }),
    ends_.end());
  if (wait > 0) {
    ended_.wait_for(lock, std::chrono::milliseconds(wait), [this] {
      return !ends_.empty();
    });
  }
  json running = json::array();
  for (const auto& [task, run] : running_) {
    running.push_back({ task, run.number, "", 50, run.cpu });
  }
  json finished = json::array();
  for (const End& end : ends_) {
    if (finished.size() < 500) {
      finished.push_back({ end.number, end.task, end.run, end.how, "" });
    }
  }
  return { 200,
           json{ { "clock_ms", ClockMs() },
                 { "born", bornMs_ },
                 { "running", running },
                 { "finished", finished } }
             .dump(),
           "application/json" };
}

Daemon::Daemon(Settings aSettings)
  : settings_(std::move(aSettings))
{
}

Daemon::~Daemon()
{
  if (pid_ > 0) {
    Signal(SIGKILL);
    Signal(SIGCONT);
    WaitForEnd(2000);
  }
}

void Daemon::Start()
{
  json seeds = json::array();
  for (const std::string& ip : settings_.seeds) {
    seeds.push_back(ip + ":8166");
  }
  const std::map<std::string, json> values{
    { "node", settings_.name },
    { "zone", settings_.zone },
    { "ip", settings_.ip },
    { "limits.cpu_share", settings_.cores },
    { "limits.link_mbps", settings_.linkMbps },
    { "limits.memory_mb", settings_.memoryMb },
    { "listen.front", settings_.ip + ":8161" },
    { "listen.ready", settings_.ip + ":8167" },
    { "internal_ports.0", 7720 },
    { "seeds", seeds },
    { "platform.address", settings_.store },
    { "bounds.hold_max_ms", 1000 },
    { "bounds.grace_s", 6 },
    { "bounds.remote_factor", 2 }
  };
  std::ifstream file("deploy/settings.json");
  std::stringstream text;
  text << file.rdbuf();
  std::string rendered = text.str();
  for (std::size_t at = rendered.find("{{"); at != std::string::npos;
       at = rendered.find("{{", at)) {
    const std::size_t end = rendered.find("}}", at);
    std::string name = rendered.substr(at + 2, end - at - 2);
    name = name.substr(0, name.find('|'));
    const auto found = values.find(name);
    rendered.replace(at,
                     end + 2 - at,
                     found == values.end() ? "null" : found->second.dump());
  }
  const std::string path = Folder() + "/" + settings_.name + ".json";
  std::ofstream(path) << rendered;
  const std::string log = Folder() + "/" + settings_.name + ".log";
  const std::string variable = "HEMLOCKHAVEN_NODE_FILE=" + path;
  pid_ = ::fork();
  if (pid_ == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(out, 1);
    ::dup2(out, 2);
    char program[] = "target/platform/hemlockhaven-platform";
    char* arguments[] = { program, nullptr };
    char* environment[] = { const_cast<char*>(variable.c_str()), nullptr };
    ::execve(program, arguments, environment);
    ::_exit(127);
  }
  Children().push_back(pid_);
  Record::Line("process of " + settings_.name + " started");
}

void Daemon::Signal(int aSignal)
{
  if (pid_ > 0) {
    ::kill(pid_, aSignal);
    Record::Line("signal " + std::to_string(aSignal) + " to " + settings_.name);
  }
}

std::string Daemon::WaitForEnd(double aMs)
{
  const double until = Now() + aMs;
  while (pid_ > 0) {
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) == pid_) {
      Children().erase(
        std::remove(Children().begin(), Children().end(), pid_),
        Children().end());
      pid_ = -1;
      const std::string how =
        WIFSIGNALED(status)
          ? "by signal " + std::to_string(WTERMSIG(status))
          : "with exit code " + std::to_string(WEXITSTATUS(status));
      Record::Line("process of " + settings_.name + " ended " + how);
      return how;
    }
    if (Now() > until) {
      return "";
    }
    SleepMs(5);
  }
  return "not running";
}

bool Daemon::IsAlive()
{
  return pid_ > 0 && WaitForEnd(0).empty();
}

double Daemon::CpuSeconds() const
{
  std::ifstream file("/proc/" + std::to_string(pid_) + "/stat");
  std::string line;
  std::getline(file, line);
  std::istringstream words(line.substr(line.rfind(')') + 2));
  std::string word;
  double ticks = 0;
  for (int i = 0; i < 13 && words >> word; ++i) {
    if (i >= 11) {
      ticks += std::stod(word);
    }
  }
  return ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

Answer Send(const Call& aCall)
{
  Answer answer;
  const double sentAt = Now();
  const double until =
    sentAt + (aCall.waitMs > 0 ? aCall.waitMs : aCall.deadlineMs + 500);
  const std::size_t colon = aCall.address.rfind(':');
  const sockaddr_in address = AddressOf(
    aCall.address.substr(0, colon), std::stoi(aCall.address.substr(colon + 1)));
  const int channel = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto end = [&](int aStatus, const std::string& aReason) {
    ::close(channel);
    answer.status = aStatus;
    answer.reason = aReason;
    answer.ms = Now() - sentAt;
    if (aCall.log) {
      Record::Line("client: " + aCall.method + " " + aCall.host +
                   aCall.target + " at " + aCall.address + " -> " +
                   (aStatus != 0 ? std::to_string(aStatus) + " " + answer.body
                                 : aReason) +
                   " after " + std::to_string(static_cast<int>(answer.ms)) +
                   " ms");
    }
    return answer;
  };
  if (::connect(channel,
                reinterpret_cast<const sockaddr*>(&address),
                sizeof address) != 0) {
    return end(0, std::string("cannot connect: ") + std::strerror(errno));
  }
  std::string text = aCall.method + " " + aCall.target +
                     " HTTP/1.1\r\nHost: " + aCall.host +
                     "\r\nX-Hemlockhaven-Deadline-Ms: " +
                     std::to_string(aCall.deadlineMs) + "\r\n";
  if (aCall.method == "POST") {
    text += "Content-Type: application/json\r\nContent-Length: " +
            std::to_string(aCall.body.size()) + "\r\n";
  }
  if (aCall.log) {
    Record::Line("client: " + aCall.method + " " + aCall.host + aCall.target +
                 " sent to " + aCall.address +
                 (aCall.body.empty() || aCall.body.size() > 400
                    ? ""
                    : " " + aCall.body));
  }
  if (!SendAll(channel, text + "\r\n" + aCall.body)) {
    return end(0, "channel broken");
  }
  if (aCall.onSent) {
    aCall.onSent(channel);
  }
  std::string received;
  char chunk[16384];
  for (;;) {
    const std::size_t head = received.find("\r\n\r\n");
    if (head != std::string::npos) {
      std::map<std::string, std::string> fields;
      const std::string first =
        ParseHead(received.substr(0, head + 2), fields);
      const std::size_t length =
        std::strtoul(fields["content-length"].c_str(), nullptr, 10);
      if (received.size() >= head + 4 + length) {
        answer.body = received.substr(head + 4, length);
        return end(std::atoi(first.c_str() + 9), "");
      }
    }
    pollfd wait{ channel, POLLIN, 0 };
    const double left = until - Now();
    if (left <= 0 || ::poll(&wait, 1, static_cast<int>(left) + 1) == 0) {
      return end(0, "no response");
    }
    const ssize_t count = ::recv(channel, chunk, sizeof chunk, 0);
    if (count <= 0) {
      return end(0, "channel broken");
    }
    received.append(chunk, static_cast<std::size_t>(count));
  }
}

std::string Ip(int aLast)
{
  return SubnetPrefix() + std::to_string(aLast);
}

std::string Folder()
{
  static const std::string folder = [] {
    std::string path = "/tmp/review-3-XXXXXX";
    if (::mkdtemp(path.data()) == nullptr) {
      Finish(2, "no temporary folder");
    }
    return path;
  }();
  return folder;
}

std::string RandomId()
{
  static std::mutex mutex;
  static std::mt19937_64 random(std::random_device{}());
  const std::lock_guard<std::mutex> lock(mutex);
  char text[17];
  std::snprintf(text,
                sizeof text,
                "%016llx",
                static_cast<unsigned long long>(random()));
  return text;
}

std::string ZoneName(int aZone)
{
  static const char* const kNames[] = { "north", "mid", "south" };
  return kNames[aZone % 3];
}

std::string JobBody(int aCount,
                    int aWorkMs,
                    int aCpu,
                    const std::string& aMark,
                    const std::string& aLabel)
{
  json step{ { "count", aCount },
             { "cpu", aCpu },
             { "mem_mb", 64 },
             { "estimate_ms", aWorkMs } };
  if (!aLabel.empty()) {
    step["requirements"] = aLabel;
  }
  return json{ { "spec",
                 std::to_string(aWorkMs) + " " + std::to_string(aCpu) + " " +
                   aMark },
               { "best_effort", true },
               { "steps", { step } } }
    .dump();
}

Site::Site(const Plan& aPlan)
{
  store = std::make_unique<Store>(Ip(1), 8169);
  PutManifest(
    json{ { "version", 7 },
          { "routes",
            { { { "name", "r-one" },
                { "host", "one.example" },
                { "path_prefix", "/one/" },
                { "kind", "non_idempotent" },
                { "timeout_ms", 1500 },
                { "target_latency_ms", 60 },
                { "priority", 0 },
                { "service", "desk" },
                { "attempts", 2 },
                { "stretch", 1.6 } } } },
          { "services",
            { { { "name", "desk" },
                { "health_path", "/health" },
                { "max_connections", 64 },
                { "protocol", "h1" },
                { "tls", false },
                { "admission_control", true },
                { "standby", false } } } },
          { "limits",
            { { "max_header_bytes", 16384 },
              { "max_body_bytes", 262144 },
              { "header_timeout_ms", 3000 },
              { "idle_timeout_ms", 15000 } } } }
      .dump());
  for (int i = 0; i < aPlan.workers; ++i) {
    AddWorker("i-" + std::to_string(1000 + i), i % 3, 9000 + i);
  }
  for (int i = 0; i < aPlan.daemons; ++i) {
    Daemon::Settings settings;
    settings.zone = ZoneName(i);
    settings.name = "front-" + settings.zone + "-" + std::to_string(1 + i / 3);
    settings.ip = Ip(11 + i);
    settings.cores = aPlan.cores;
    settings.linkMbps = aPlan.linkMbps;
    settings.store = store->Address();
    for (int seed = 0; seed < std::min(3, aPlan.daemons); ++seed) {
      settings.seeds.push_back(Ip(11 + seed));
    }
    daemons.push_back(std::make_unique<Daemon>(settings));
  }
}

Worker& Site::AddWorker(const std::string& aId,
                        int aZone,
                        int aPort,
                        const std::string& aKind,
                        const std::string& aService)
{
  workers.push_back(
    new Worker(*store,
               runs,
               Worker::Description{ aId,
                                    Ip(2),
                                    aPort,
                                    aService,
                                    ZoneName(aZone),
                                    "r" + std::to_string(aZone) + "-1",
                                    aKind,
                                    16000 }));
  return *workers.back();
}

void Site::Begin()
{
  for (const auto& daemon : daemons) {
    daemon->Start();
  }
  for (const auto& daemon : daemons) {
    for (int attempt = 0;; ++attempt) {
      Call call;
      call.address = daemon->Ready();
      call.target = "/hemlockhaven/readiness";
      call.deadlineMs = 500;
      call.log = false;
      if (Send(call).status == 200) {
        break;
      }
      if (attempt > 100) {
        Finish(2, daemon->About().name + " is not ready");
      }
      SleepMs(100);
    }
  }
  SleepMs(1500);
  Record::Line("all daemons are ready");
}

std::vector<std::string> Overlaps(Runs& aRuns, double aSlackMs)
{
  const std::lock_guard<std::mutex> lock(aRuns.mutex);
  std::map<std::string, std::vector<const RunLog*>> byTask;
  for (const RunLog& run : aRuns.all) {
    byTask[run.task].push_back(&run);
  }
  std::vector<std::string> found;
  for (const auto& [task, runs] : byTask) {
    for (std::size_t i = 0; i < runs.size(); ++i) {
      for (std::size_t k = i + 1; k < runs.size(); ++k) {
        const double endI = runs[i]->end < 0 ? Now() : runs[i]->end;
        const double endK = runs[k]->end < 0 ? Now() : runs[k]->end;
        const double both =
          std::min(endI, endK) - std::max(runs[i]->begin, runs[k]->begin);
        if (both > aSlackMs) {
          found.push_back(
            task + ": run " + std::to_string(runs[i]->run) + " on " +
            runs[i]->worker + " and run " + std::to_string(runs[k]->run) +
            " on " + runs[k]->worker + " at the same time for " +
            std::to_string(static_cast<int>(both)) + " ms");
        }
      }
    }
  }
  return found;
}

bool Trouble()
{
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

void Finish(int aCode, const std::string& aWhy)
{
  Record::Line("verdict " + std::to_string(aCode) + ": " + aWhy);
  std::cout << (aCode == 0   ? "held: "
                : aCode == 1 ? "broken: "
                             : "could not run: ")
            << aWhy << std::endl;
  for (const pid_t child : Children()) {
    ::kill(child, SIGKILL);
    ::kill(child, SIGCONT);
    ::waitpid(child, nullptr, 0);
  }
  if (std::getenv("KEEP") == nullptr) {
    const std::string folder = Folder();
    const std::string command = "rm -rf " + folder;
    if (std::system(command.c_str()) != 0) {
      std::cerr << "cannot remove " << folder << std::endl;
    }
  } else {
    std::cout << Folder() << std::endl;
  }
  std::_Exit(aCode);
}

}
