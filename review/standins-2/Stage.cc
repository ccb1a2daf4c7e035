#include "Stage.hpp"

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <iostream>
#include <random>
#include <sstream>
#include <utility>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

const Clock::time_point kStart = Clock::now();

//! Ports as in a small deployment; every VM has its own loopback address.
constexpr std::uint16_t kCallerPort = 8161;
constexpr std::uint16_t kControlPort = 8166;
constexpr std::uint16_t kReadinessPort = 8167;
constexpr std::uint16_t kStorePort = 8169;
constexpr std::uint16_t kLinkPort = 7720;
constexpr std::uint16_t kWorkerPort = 8080;
constexpr std::int64_t kHoldMaxMs = 1000;
constexpr std::int64_t kHeartbeatMs = 1500;

std::int64_t WallMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

sockaddr_in SocketAddress(const std::string& aIp, std::uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  if (::inet_pton(AF_INET, aIp.c_str(), &address.sin_addr) != 1) {
    throw CannotRun{ "bad address " + aIp };
  }
  return address;
}

std::pair<std::string, std::uint16_t> Split(const std::string& aAddress)
{
  const auto colon = aAddress.rfind(':');
  return { aAddress.substr(0, colon),
           static_cast<std::uint16_t>(std::stoi(aAddress.substr(colon + 1))) };
}

int Listen(const std::string& aIp, std::uint16_t aPort)
{
  const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = SocketAddress(aIp, aPort);
  if (::bind(listener,
             reinterpret_cast<const sockaddr*>(&address),
             sizeof address) != 0 ||
      ::listen(listener, 512) != 0) {
    ::close(listener);
    throw CannotRun{ "cannot listen on " + aIp + ":" + std::to_string(aPort) };
  }
  return listener;
}

int Connect(const std::string& aAddress)
{
  const auto [ip, port] = Split(aAddress);
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = SocketAddress(ip, port);
  if (::connect(socket,
                reinterpret_cast<const sockaddr*>(&address),
                sizeof address) != 0) {
    ::close(socket);
    return -1;
  }
  const int on = 1;
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return socket;
}

bool SendAll(int aSocket, const std::string& aBytes)
{
  std::size_t at = 0;
  while (at < aBytes.size()) {
    const auto sent =
      ::send(aSocket, aBytes.data() + at, aBytes.size() - at, MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    at += static_cast<std::size_t>(sent);
  }
  return true;
}

std::string Lower(std::string aText)
{
  std::transform(aText.begin(), aText.end(), aText.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return aText;
}

//! Reads one message with Content-Length. False at the end of the connection.
bool ReadMessage(int aSocket,
                 std::string& aBuffer,
                 std::string& aFirstLine,
                 std::map<std::string, std::string>& aHeaders,
                 std::string& aBody)
{
  char chunk[16384];
  std::size_t end;
  while ((end = aBuffer.find("\r\n\r\n")) == std::string::npos) {
    const auto count = ::recv(aSocket, chunk, sizeof chunk, 0);
    if (count <= 0) {
      return false;
    }
    aBuffer.append(chunk, static_cast<std::size_t>(count));
  }
  std::istringstream head(aBuffer.substr(0, end));
  std::getline(head, aFirstLine);
  while (!aFirstLine.empty() && aFirstLine.back() == '\r') {
    aFirstLine.pop_back();
  }
  aHeaders.clear();
  std::string line;
  while (std::getline(head, line)) {
    while (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    const auto colon = line.find(':');
    if (colon != std::string::npos) {
      auto value = line.substr(colon + 1);
      value.erase(0, value.find_first_not_of(' '));
      aHeaders[Lower(line.substr(0, colon))] = value;
    }
  }
  aBuffer.erase(0, end + 4);
  const auto length = aHeaders.find("content-length");
  const std::size_t bytes =
    length == aHeaders.end() ? 0 : std::stoul(length->second);
  while (aBuffer.size() < bytes) {
    const auto count = ::recv(aSocket, chunk, sizeof chunk, 0);
    if (count <= 0) {
      return false;
    }
    aBuffer.append(chunk, static_cast<std::size_t>(count));
  }
  aBody = aBuffer.substr(0, bytes);
  aBuffer.erase(0, bytes);
  return true;
}

std::string Encode(const std::string& aMethod,
                   const std::string& aTarget,
                   const std::map<std::string, std::string>& aHeaders,
                   const std::string& aBody)
{
  std::string bytes = aMethod + " " + aTarget + " HTTP/1.1\r\n";
  for (const auto& [name, value] : aHeaders) {
    bytes += name + ": " + value + "\r\n";
  }
  if (!aBody.empty()) {
    bytes += "Content-Type: application/json\r\n";
  }
  bytes += "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n";
  return bytes + aBody;
}

std::string Base64(const std::string& aBytes)
{
  static const char* const kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < aBytes.size(); i += 3) {
    unsigned value = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      value = value << 8U |
              (i + k < aBytes.size()
                 ? static_cast<unsigned char>(aBytes[i + k])
                 : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      text += i + k > aBytes.size() ? '='
                                    : kDigits[value >> (18 - 6 * k) & 63U];
    }
  }
  return text;
}

std::string BigEndian(std::uint64_t aValue, int aBytes)
{
  std::string bytes;
  for (int shift = 8 * (aBytes - 1); shift >= 0; shift -= 8) {
    bytes += static_cast<char>(aValue >> static_cast<unsigned>(shift) & 255U);
  }
  return bytes;
}

std::map<std::string, std::string> Query(const std::string& aTarget)
{
  std::map<std::string, std::string> query;
  const auto mark = aTarget.find('?');
  std::istringstream parts(
    mark == std::string::npos ? "" : aTarget.substr(mark + 1));
  std::string part;
  while (std::getline(parts, part, '&')) {
    const auto equals = part.find('=');
    query[part.substr(0, equals)] =
      equals == std::string::npos ? "" : part.substr(equals + 1);
  }
  return query;
}

std::string ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    throw CannotRun{ "cannot read " + aPath };
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

//! Fills the template of the settings: placeholders {{NAME|json}} only.
std::string Fill(std::string aText, const std::map<std::string, json>& aFields)
{
  for (std::size_t at; (at = aText.find("{{")) != std::string::npos;) {
    const auto end = aText.find("}}", at);
    std::string name = aText.substr(at + 2, end - at - 2);
    const auto bar = name.find("|json");
    if (end == std::string::npos || bar == std::string::npos) {
      throw CannotRun{ "a placeholder that this stand-in does not know" };
    }
    name.resize(bar);
    const auto field = aFields.find(name);
    if (field == aFields.end()) {
      throw CannotRun{ "no value for the placeholder " + name };
    }
    aText.replace(at, end + 2 - at, field->second.dump());
  }
  return aText;
}

//! The command of the deploy file's only role, and its template.
std::pair<std::string, std::string> DeployedRole()
{
  std::istringstream lines(ReadFile("deploy/system.toml"));
  std::string run;
  std::string settings;
  std::string line;
  while (std::getline(lines, line)) {
    const auto first = line.find('"');
    const auto last = line.rfind('"');
    if (first == std::string::npos || last <= first) {
      continue;
    }
    const auto value = line.substr(first + 1, last - first - 1);
    if (line.rfind("run = ", 0) == 0) {
      run = value;
    } else if (line.rfind("template = ", 0) == 0) {
      settings = value;
    }
  }
  if (run.empty() || settings.empty()) {
    throw CannotRun{ "deploy/system.toml has no role" };
  }
  return { run, settings };
}

}

std::int64_t NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               kStart)
    .count();
}

void SleepMs(std::int64_t aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

void SleepUntilMs(std::int64_t aMs)
{
  SleepMs(std::max<std::int64_t>(0, aMs - NowMs()));
}

// --- Record

Record::Record(const std::string& aPath)
  : file_(aPath)
{
  if (!file_) {
    throw CannotRun{ "cannot write " + aPath };
  }
}

void Record::Write(const std::string& aWhat, json aFields)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  file_ << NowMs() << " ms  " << aWhat;
  if (!aFields.empty()) {
    file_ << "  " << aFields.dump();
  }
  file_ << std::endl;
}

// --- Server

Server::Server(std::string aIp, std::uint16_t aPort, Handler aHandler)
  : ip_(std::move(aIp))
  , port_(aPort)
  , handler_(std::move(aHandler))
{
}

void Server::Start()
{
  listener_ = Listen(ip_, port_);
  running_ = true;
  acceptor_ = std::thread([this] {
    while (running_) {
      const int socket = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket < 0) {
        if (!running_) {
          return;
        }
        continue;
      }
      const int on = 1;
      ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        sockets_.insert(socket);
        ++serving_;
      }
      std::thread([this, socket] { Serve(socket); }).detach();
    }
  });
}

void Server::Stop()
{
  if (!running_.exchange(false)) {
    return;
  }
  ::shutdown(listener_, SHUT_RDWR);
  acceptor_.join();
  ::close(listener_);
  std::unique_lock<std::mutex> lock(mutex_);
  for (const int socket : sockets_) {
    ::shutdown(socket, SHUT_RDWR);
  }
  ended_.wait(lock, [this] { return serving_ == 0; });
}

void Server::Serve(int aSocket)
{
  std::string buffer;
  std::string line;
  Request request;
  while (running_ &&
         ReadMessage(aSocket, buffer, line, request.headers, request.body)) {
    std::istringstream first(line);
    first >> request.method >> request.target;
    const Response response = handler_(request);
    if (response.status == 0 || !running_ ||
        !SendAll(aSocket,
                 "HTTP/1.1 " + std::to_string(response.status) +
                   " X\r\nContent-Type: " + response.contentType +
                   "\r\nContent-Length: " +
                   std::to_string(response.body.size()) + "\r\n\r\n" +
                   response.body)) {
      break;
    }
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  ::close(aSocket);
  sockets_.erase(aSocket);
  --serving_;
  ended_.notify_all();
}

Response Call(const std::string& aAddress,
              const std::string& aMethod,
              const std::string& aTarget,
              const std::map<std::string, std::string>& aHeaders,
              const std::string& aBody,
              std::int64_t aTimeoutMs)
{
  Response response;
  const int socket = Connect(aAddress);
  if (socket < 0) {
    return response;
  }
  const timeval limit{ aTimeoutMs / 1000, aTimeoutMs % 1000 * 1000 };
  ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  std::string buffer;
  std::string line;
  std::map<std::string, std::string> headers;
  if (SendAll(socket, Encode(aMethod, aTarget, aHeaders, aBody)) &&
      ReadMessage(socket, buffer, line, headers, response.body)) {
    std::istringstream first(line);
    std::string version;
    first >> version >> response.status;
  }
  ::close(socket);
  return response;
}

// --- Link

Link::Link(std::string aIp, std::uint16_t aPort, std::string aTarget)
  : ip_(std::move(aIp))
  , port_(aPort)
  , target_(std::move(aTarget))
  , listener_(Listen(ip_, port_))
  , acceptor_([this] {
    while (running_) {
      const int opener = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (opener >= 0) {
        ++forwarding_;
        std::thread([this, opener] {
          Forward(opener);
          --forwarding_;
        }).detach();
      }
    }
  })
{
}

Link::~Link()
{
  running_ = false;
  ::shutdown(listener_, SHUT_RDWR);
  acceptor_.join();
  ::close(listener_);
  while (forwarding_ > 0) {
    SleepMs(5);
  }
}

void Link::BreakOpeners()
{
  ++generation_;
}

void Link::Forward(int aOpener)
{
  const int generation = generation_;
  bool isOpenerBroken = false;
  int target = -1;
  bool isOpen = true;
  while (running_ && isOpen) {
    if (!isOpenerBroken && generation != generation_) {
      ::shutdown(aOpener, SHUT_RDWR);
      isOpenerBroken = true;
    }
    if (isCut_) {
      SleepMs(10);
      continue;
    }
    if (target < 0 && (isOpenerBroken || (target = Connect(target_)) < 0)) {
      break;
    }
    pollfd ready[2] = { { aOpener, POLLIN, 0 }, { target, POLLIN, 0 } };
    ::poll(ready, 2, 10);
    for (int side = 0; side < 2 && isOpen && !isCut_; ++side) {
      if (ready[side].revents != 0) {
        char bytes[16384];
        const auto count = ::recv(ready[side].fd, bytes, sizeof bytes, 0);
        isOpen = count > 0 &&
                 SendAll(ready[1 - side].fd,
                         std::string(bytes, static_cast<std::size_t>(count)));
      }
    }
  }
  ::close(aOpener);
  if (target >= 0) {
    ::close(target);
  }
}

// --- Store

Store::Store(const std::string& aIp, std::uint16_t aPort)
  : server_(aIp, aPort, [this](const Request& r) { return Handle(r, {}); })
{
  server_.Start();
}

std::string Store::AddView(const std::string& aIp,
                           std::map<std::string, std::string> aAddresses)
{
  views_.push_back(std::make_unique<Server>(
    aIp, kStorePort, [this, addresses = std::move(aAddresses)](const Request& r) {
      return Handle(r, addresses);
    }));
  views_.back()->Start();
  return views_.back()->Address();
}

void Store::Put(const std::string& aTopic,
                const std::string& aKey,
                const std::optional<std::string>& aValue)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  topics_[aTopic].push_back({ aKey, aValue });
  changed_.notify_all();
}

Response Store::Handle(const Request& aRequest, const Addresses& aAddresses)
{
  const auto seen = [&aAddresses](const std::string& aValue) {
    json entry = json::parse(aValue, nullptr, false);
    const auto found = entry.is_object()
                         ? aAddresses.find(entry.value("address", ""))
                         : aAddresses.end();
    if (found == aAddresses.end()) {
      return aValue;
    }
    entry["address"] = found->second;
    return entry.dump();
  };
  const auto query = Query(aRequest.target);
  const auto path = aRequest.target.substr(0, aRequest.target.find('?'));
  const auto field = [&query](const char* aName) {
    const auto found = query.find(aName);
    return found == query.end() ? std::string() : found->second;
  };
  std::unique_lock<std::mutex> lock(mutex_);
  auto& entries = topics_[field("topic")];
  if (path == "/hemlockhaven/log-newest") {
    std::map<std::string, std::size_t> newest;
    for (std::size_t i = 0; i < entries.size(); ++i) {
      newest[entries[i].key] = i;
    }
    json items = json::array();
    for (const auto& [key, offset] : newest) {
      if (entries[offset].value && key > field("depends_on")) {
        items.push_back({ { "key", key },
                          { "value", Base64(seen(*entries[offset].value)) },
                          { "offset", offset } });
      }
    }
    const json body{ { "items", items },
                     { "has_more", false },
                     { "end", entries.size() } };
    return { 200, body.dump() };
  }
  if (path == "/hemlockhaven/log-read") {
    const std::size_t from = std::stoul(field("from"));
    const auto wait = field("wait_ms");
    if (!wait.empty()) {
      changed_.wait_for(lock, std::chrono::milliseconds(std::stol(wait)), [&] {
        return entries.size() > from;
      });
    }
    std::string body = BigEndian(entries.size(), 8) + BigEndian(0, 8);
    for (std::size_t i = from; i < entries.size(); ++i) {
      const auto& [key, value] = entries[i];
      const std::string record =
        BigEndian(key.size(), 1) + key + (value ? seen(*value) : "");
      body += BigEndian(record.size(), 4) + record;
    }
    return { 200, body, "application/octet-stream" };
  }
  return { 404, "{}" };
}

// --- RunLog

std::size_t RunLog::Begin(Run aRun)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  aRun.beginMs = NowMs();
  record_.Write("run begins",
                { { "task", aRun.task },
                  { "run", aRun.run },
                  { "worker", aRun.worker },
                  { "labels", aRun.labels },
                  { "born", aRun.bornMs } });
  runs_.push_back(std::move(aRun));
  return runs_.size() - 1;
}

void RunLog::End(std::size_t aNumber, const std::string& aHow)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  Run& run = runs_[aNumber];
  run.endMs = NowMs();
  run.how = aHow;
  record_.Write("run ends",
                { { "task", run.task },
                  { "run", run.run },
                  { "worker", run.worker },
                  { "how", aHow } });
}

std::vector<Run> RunLog::All() const
{
  const std::lock_guard<std::mutex> lock(mutex_);
  return runs_;
}

// --- Worker

Worker::Worker(Description aDescription,
               Store& aStore,
               RunLog& aLog,
               Record& aRecord)
  : description_(std::move(aDescription))
  , store_(aStore)
  , log_(aLog)
  , record_(aRecord)
{
  server_ = std::make_unique<Server>(
    description_.ip, description_.port, [this](const Request& aRequest) {
      return Handle(aRequest);
    });
  worker_ = std::thread([this] { Work(); });
}

Worker::~Worker()
{
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    alive_ = false;
    quit_ = true;
    changed_.notify_all();
  }
  server_->Stop();
  worker_.join();
  if (network_.joinable()) {
    network_.join();
  }
}

void Worker::DelayNextStart(std::int64_t aMs)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  delayMs_ = aMs;
}

void Worker::Start()
{
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    bornMs_ = WallMs();
    startedAtMs_ = NowMs();
    sequence_ = 0;
    token_ = 0;
    leaseEnd_ = 0;
    free_ = description_.cpu;
    position_ = 0;
    active_.clear();
    highest_.clear();
    ended_.clear();
    reported_ = false;
    record_.Write("worker starts",
                  { { "worker", description_.id },
                    { "labels", description_.labels },
                    { "born", bornMs_ } });
    WriteEntry();
    alive_ = true;
    changed_.notify_all();
  }
  server_->Start();
}

void Worker::Crash()
{
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    alive_ = false;
    record_.Write("worker crashes", { { "worker", description_.id } });
    for (const auto& [task, run] : active_) {
      log_.End(run.number, "crash");
    }
    active_.clear();
    changed_.notify_all();
  }
  server_->Stop();
}

void Worker::WriteEntry()
{
  nextEntryMs_ = NowMs() + kHeartbeatMs;
  const json entry{ { "service", description_.service },
                    { "address", server_->Address() },
                    { "zone", description_.zone },
                    { "version", "v1" },
                    { "slots", 8 },
                    { "state", "ready" },
                    { "cold_remaining_ms", 0 },
                    { "capacity",
                      { { "cpu", description_.cpu },
                        { "mem_mb", 65536 },
                        { "gpus", 0 } } },
                    { "labels", description_.labels },
                    { "clock_ms", ClockMs() },
                    { "born", bornMs_ },
                    { "sequence", ++sequence_ } };
  store_.Put("keyed.servers", description_.id, entry.dump());
}

void Worker::End(const std::string& aTask, const std::string& aHow)
{
  const auto found = active_.find(aTask);
  const Active run = found->second;
  active_.erase(found);
  free_ += run.cpu;
  auto& highest = highest_[aTask];
  highest = std::max(highest, run.run);
  ended_.push_back({ ++position_, aTask, run.run, aHow });
  log_.End(run.number, aHow);
  changed_.notify_all();
}

//! Ends runs at their time or when the lease expires, and writes the entry.
void Worker::Work()
{
  std::unique_lock<std::mutex> lock(mutex_);
  while (!quit_) {
    if (!alive_) {
      changed_.wait(lock);
      continue;
    }
    const std::int64_t now = NowMs();
    if (now >= nextEntryMs_) {
      WriteEntry();
    }
    std::int64_t next = nextEntryMs_;
    std::vector<std::pair<std::string, const char*>> ends;
    const std::int64_t leaseEndMs = leaseEnd_ + startedAtMs_ - 1000;
    for (const auto& [task, run] : active_) {
      if (now > leaseEndMs) {
        ends.emplace_back(task, "lapsed");
      } else if (now >= run.endsAtMs) {
        ends.emplace_back(task, "done");
      } else {
        next = std::min({ next, run.endsAtMs, leaseEndMs + 1 });
      }
    }
    for (const auto& [task, how] : ends) {
      End(task, how);
    }
    changed_.wait_for(
      lock, std::chrono::milliseconds(std::max<std::int64_t>(1, next - NowMs())));
  }
}

void Worker::Extend(std::int64_t aDeadline)
{
  leaseEnd_ =
    std::max(leaseEnd_, std::min(aDeadline, ClockMs() + kHoldMaxMs));
  changed_.notify_all();
}

Response Worker::Reply(int aStatus, json aBody) const
{
  aBody["clock_ms"] = ClockMs();
  aBody["born"] = bornMs_;
  return { aStatus, aBody.dump() };
}

Response Worker::Conflict(const char* aReason) const
{
  return Reply(409, { { "reason", aReason } });
}

Response Worker::Handle(const Request& aRequest)
{
  const auto meant = aRequest.headers.find("x-hemlockhaven-expect-instance");
  if (aRequest.target == "/health") {
    return { 200, "" };
  }
  const json body = json::parse(aRequest.body, nullptr, false);
  if (!body.is_object()) {
    return { 400, "{}" };
  }
  const std::uint64_t token = body.value("fencing_token", std::uint64_t{ 0 });
  std::unique_lock<std::mutex> lock(mutex_);
  if (!alive_) {
    return {};
  }
  if (meant != aRequest.headers.end() && meant->second != description_.id) {
    return Reply(421, json::object());
  }
  const bool isStart = aRequest.target == "/hemlockhaven/run-start";
  if (isStart && delayMs_ > 0) {
    delayedAtMs_ = NowMs();
    record_.Write("start is delayed on its way",
                  { { "worker", description_.id },
                    { "task", body.at("task") },
                    { "run", body.at("run") },
                    { "by ms", delayMs_ } });
    const std::int64_t at = NowMs() + std::exchange(delayMs_, 0);
    network_ = std::thread([this, at, request = aRequest] {
      SleepUntilMs(at);
      const Response late = Handle(request);
      record_.Write("delayed start is carried out",
                    { { "worker", description_.id },
                      { "status", late.status },
                      { "body", late.body } });
    });
    // The daemon gets no answer, and gives up by itself.
    const std::int64_t until = NowMs() + 1000;
    while (alive_ && NowMs() < until) {
      changed_.wait_for(lock, std::chrono::milliseconds(20));
    }
    return {};
  }
  if (token < token_) {
    return Conflict("fence");
  }
  token_ = token;
  if (isStart) {
    return HandleStart(body);
  }
  if (aRequest.target == "/hemlockhaven/run-stop") {
    return HandleStop(body);
  }
  if (aRequest.target == "/hemlockhaven/hold") {
    if (body.contains("deadline_ms")) {
      Extend(body["deadline_ms"]);
    }
    const std::uint64_t acked = body.value("ack_position", std::uint64_t{ 0 });
    while (!ended_.empty() && ended_.front().position <= acked) {
      ended_.pop_front();
    }
    const std::int64_t born = bornMs_;
    const std::uint64_t before = position_;
    const int waitMs = body.value("wait_ms", 0);
    if (waitMs > 0 && ended_.empty()) {
      const auto until = Clock::now() + std::chrono::milliseconds(waitMs);
      while (alive_ && born == bornMs_ && position_ == before &&
             changed_.wait_until(lock, until) != std::cv_status::timeout) {
      }
    }
    if (!alive_ || born != bornMs_) {
      return {};
    }
    return HandleHold(body);
  }
  return { 404, "{}" };
}

Response Worker::HandleStart(const json& aBody)
{
  const std::string task = aBody.at("task");
  const std::uint32_t run = aBody.at("run");
  const std::int64_t deadline = aBody.at("deadline_ms");
  std::istringstream spec(aBody.at("spec").get<std::string>());
  std::int64_t workMs = 0;
  std::int64_t cpu = 0;
  spec >> workMs >> cpu;
  if (deadline < ClockMs()) {
    return Conflict("late");
  }
  const auto found = active_.find(task);
  if (found != active_.end() && found->second.run == run) {
    return Reply(200, json::object());
  }
  Extend(deadline);
  const auto highest = highest_.find(task);
  if (found != active_.end() ||
      (highest != highest_.end() && run <= highest->second)) {
    return Conflict("old");
  }
  if (cpu > free_) {
    return Conflict("room");
  }
  free_ -= cpu;
  const std::size_t number = log_.Begin(
    { description_.id, bornMs_, description_.labels, task, run, 0, -1, "" });
  active_[task] = { run, cpu, NowMs() + workMs, number };
  changed_.notify_all();
  return Reply(200, json::object());
}

Response Worker::HandleStop(const json& aBody)
{
  const std::string task = aBody.at("task");
  const std::uint32_t run = aBody.at("run");
  const auto found = active_.find(task);
  if (found != active_.end() && found->second.run == run) {
    End(task, "stopped");
  }
  auto& highest = highest_[task];
  highest = std::max(highest, run);
  return Reply(200, json::object());
}

Response Worker::HandleHold(const json&)
{
  json running = json::array();
  for (const auto& [task, run] : active_) {
    running.push_back({ task, run.run, "", 100, run.cpu });
  }
  json finished = json::array();
  for (const Ended& ended : ended_) {
    finished.push_back(
      { ended.position, ended.task, ended.run, ended.how, "" });
  }
  if (!std::exchange(reported_, true)) {
    record_.Write("worker's first report of this lifetime",
                  { { "worker", description_.id }, { "born", bornMs_ } });
  }
  return Reply(200, { { "running", running }, { "finished", finished } });
}

// --- Channel

Response Channel::SendAndReset(const std::string& aIp,
                               const std::string& aMethod,
                               const std::string& aTarget,
                               const std::map<std::string, std::string>& aHeaders,
                               const std::string& aBody)
{
  // The balancer has accepted the channel; the network resets it.
  const int listener = Listen(aIp, 0);
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
  std::thread balancer([listener] {
    const int socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    char byte = 0;
    ::recv(socket, &byte, 1, 0);
    const linger reset{ 1, 0 };
    ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    ::close(socket);
  });
  const Response response =
    Call(aIp + ":" + std::to_string(ntohs(address.sin_port)),
         aMethod,
         aTarget,
         aHeaders,
         aBody,
         2000);
  balancer.join();
  ::close(listener);
  return response;
}

// --- Stage

Stage::Stage(const std::string& aCase)
  : hasTrouble_(std::getenv("TROUBLE") == nullptr ||
                std::string(std::getenv("TROUBLE")) != "0")
  , record_(aCase + "/record.txt")
  , runs_(record_)
{
  std::signal(SIGPIPE, SIG_IGN);
  const char* temporary = std::getenv("TMPDIR");
  std::string pattern =
    std::string(temporary != nullptr ? temporary : "/tmp") + "/review-XXXXXX";
  if (::mkdtemp(pattern.data()) == nullptr) {
    throw CannotRun{ "no temporary folder" };
  }
  folder_ = pattern;
  // A part of the loopback range whose ports are free.
  std::random_device random;
  for (int attempt = 0; attempt < 50 && !store_; ++attempt) {
    network_ = "127." + std::to_string(20 + random() % 200) + "." +
               std::to_string(1 + random() % 250) + ".";
    try {
      store_ = std::make_unique<Store>(network_ + "2", kStorePort);
    } catch (const CannotRun&) {
      continue;
    }
  }
  if (!store_) {
    throw CannotRun{ "no free loopback address" };
  }
  record_.Write("case begins",
                { { "trouble", hasTrouble_ }, { "store", store_->Address() } });
}

Stage::~Stage()
{
  End();
}

std::string Stage::FreeIp()
{
  return network_ + std::to_string(nextHost_++);
}

Worker& Stage::AddWorker(const std::string& aService,
                         const std::string& aZone,
                         std::vector<std::string> aLabels,
                         std::int64_t aCpu)
{
  Worker::Description description;
  description.id = "i-" + std::to_string(1000 + workers_.size());
  description.ip = FreeIp();
  description.port = kWorkerPort;
  description.service = aService;
  description.zone = aZone;
  description.labels = std::move(aLabels);
  description.cpu = aCpu;
  workers_.push_back(std::make_unique<Worker>(
    std::move(description), *store_, runs_, record_));
  workers_.back()->Start();
  return *workers_.back();
}

void Stage::PutManifest(const json& aManifest)
{
  store_->Put("keyed.op", "config", aManifest.dump());
  record_.Write("manifest is in the store",
                { { "version", aManifest.at("version") } });
}

void Stage::Spawn(Daemon& aDaemon)
{
  const auto [run, settings] = DeployedRole();
  const std::string path = folder_ + "/" + aDaemon.name + ".json";
  const std::map<std::string, json> fields{
    { "node", aDaemon.name },
    { "zone", aDaemon.zone },
    { "ip", aDaemon.ip },
    { "limits.cpu_share", 0.25 },
    { "limits.link_mbps", 1000.0 },
    { "listen.front", aDaemon.ip + ":" + std::to_string(kCallerPort) },
    { "listen.ready", aDaemon.ip + ":" + std::to_string(kReadinessPort) },
    { "internal_ports.0", kLinkPort },
    { "seeds", seeds_ },
    { "platform.address",
      aDaemon.store.empty() ? store_->Address() : aDaemon.store },
    { "bounds.hold_max_ms", kHoldMaxMs },
    { "bounds.grace_s", 6 },
  };
  json filled = json::parse(Fill(ReadFile(settings), fields));
  if (!aDaemon.announcedIp.empty()) {
    filled["ip"] = aDaemon.announcedIp;
    filled["listenIp"] = aDaemon.ip;
  }
  std::ofstream(path) << filled.dump();
  const std::string logPath = folder_ + "/" + aDaemon.name + ".log";
  std::vector<std::string> words;
  std::istringstream split(run);
  for (std::string word; split >> word;) {
    words.push_back(word);
  }
  if (::access(words.front().c_str(), X_OK) != 0) {
    throw CannotRun{ words.front() + " is not built" };
  }
  std::vector<char*> arguments;
  for (std::string& word : words) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  std::string variable = "HEMLOCKHAVEN_NODE_FILE=" + path;
  char* const environment[] = { variable.data(), nullptr };
  aDaemon.pid = ::fork();
  if (aDaemon.pid == 0) {
    const int log =
      ::open(logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    ::execve(arguments.front(), arguments.data(), environment);
    ::_exit(127);
  }
  record_.Write("daemon starts",
                { { "daemon", aDaemon.name }, { "ip", aDaemon.ip } });
}

void Stage::StartDaemons(const std::vector<std::string>& aZones)
{
  for (std::size_t i = 0; i < aZones.size(); ++i) {
    daemons_.push_back(
      { "front-" + aZones[i] + "-" + std::to_string(i + 1), FreeIp(), aZones[i], -1, "", "" });
    if (i < 3) {
      seeds_.push_back(daemons_.back().ip + ":" + std::to_string(kControlPort));
    }
  }
  for (std::size_t i = 0; i < aZones.size(); ++i) {
    Spawn(daemons_[i]);
  }
  AwaitReady();
}

void Stage::AwaitReady()
{
  const std::int64_t limit = NowMs() + 15000;
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    while (!IsReady(i)) {
      if (NowMs() > limit) {
        throw CannotRun{ daemons_[i].name + " is not ready" };
      }
      SleepMs(50);
    }
  }
  record_.Write("all daemons are ready");
  SleepMs(2000);
}

bool Stage::IsReady(std::size_t aNumber) const
{
  return Call(daemons_[aNumber].ip + ":" + std::to_string(kReadinessPort),
              "GET",
              "/hemlockhaven/readiness",
              { { "Host", "ready" } },
              "",
              1000)
           .status == 200;
}

void Stage::StartTwoZones(const std::string& aFirst, const std::string& aSecond)
{
  const std::string zones[] = { aFirst, aSecond };
  for (const std::string& zone : zones) {
    daemons_.push_back({ "front-" + zone + "-1", FreeIp(), zone, -1, "", FreeIp() });
    seeds_.push_back(daemons_.back().announcedIp + ":" +
                     std::to_string(kControlPort));
  }
  const auto add = [this](const std::string& aIp,
                          std::uint16_t aPort,
                          const std::string& aTarget) {
    links_.push_back(std::make_unique<Link>(aIp, aPort, aTarget));
    return links_.back()->Address();
  };
  add(FreeIp(), kCallerPort, Entry(0));
  for (std::size_t i = 0; i < 2; ++i) {
    add(daemons_[i].announcedIp, kLinkPort, daemons_[i].ip + ":" + std::to_string(kLinkPort));
    std::map<std::string, std::string> addresses;
    for (const auto& worker : workers_) {
      if (worker->Zone() != zones[i]) {
        addresses[worker->Address()] =
          add(FreeIp(), kWorkerPort, worker->Address());
      }
    }
    daemons_[i].store = store_->AddView(FreeIp(), std::move(addresses));
  }
  daemons_[0].store = add(FreeIp(), kStorePort, daemons_[0].store);
  for (Daemon& daemon : daemons_) {
    Spawn(daemon);
  }
  AwaitReady();
}

void Stage::CutFirstZone(bool aIsCut)
{
  record_.Write(aIsCut ? "the first zone is cut off" : "the cut ends");
  for (const auto& link : links_) {
    link->Cut(aIsCut);
  }
}

std::string Stage::Entry(std::size_t aNumber) const
{
  return daemons_[aNumber].ip + ":" + std::to_string(kCallerPort);
}

Response Stage::Send(const std::string& aNote,
                     const std::string& aAddress,
                     const std::string& aMethod,
                     const std::string& aTarget,
                     const std::string& aHost,
                     const std::string& aBody,
                     std::int64_t aDeadlineMs)
{
  record_.Write("client sends",
                { { "note", aNote },
                  { "to", aAddress },
                  { "request", aMethod + " " + aTarget } });
  const Response response =
    Call(aAddress,
         aMethod,
         aTarget,
         { { "Host", aHost },
           { "X-Hemlockhaven-Deadline-Ms", std::to_string(aDeadlineMs) } },
         aBody,
         aDeadlineMs + 1000);
  record_.Write("client gets",
                { { "note", aNote },
                  { "status", response.status },
                  { "body", response.body } });
  return response;
}

void Stage::End()
{
  for (Daemon& daemon : daemons_) {
    if (daemon.pid > 0) {
      ::kill(daemon.pid, SIGKILL);
      ::waitpid(daemon.pid, nullptr, 0);
      daemon.pid = -1;
    }
  }
  links_.clear();
  workers_.clear();
  if (!folder_.empty()) {
    const char* keep = std::getenv("KEEP_LOGS");
    if (keep != nullptr) {
      std::cerr << "logs: " << folder_ << '\n';
    } else {
      for (const Daemon& daemon : daemons_) {
        std::remove((folder_ + "/" + daemon.name + ".json").c_str());
        std::remove((folder_ + "/" + daemon.name + ".log").c_str());
      }
      ::rmdir(folder_.c_str());
    }
    folder_.clear();
  }
}

int RunCase(const std::function<bool()>& aCase)
{
  try {
    return aCase() ? 1 : 0;
  } catch (const CannotRun& problem) {
    std::cerr << "cannot run: " << problem.why << '\n';
  } catch (const std::exception& problem) {
    std::cerr << "cannot run: " << problem.what() << '\n';
  }
  return 2;
}

}
