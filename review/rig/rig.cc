#include "rig.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace rig {

namespace {

const auto kStart = std::chrono::steady_clock::now();

sockaddr_in ParseAddress(const std::string& address)
{
  sockaddr_in parsed{};
  parsed.sin_family = AF_INET;
  const std::size_t colon = address.rfind(':');
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr);
  parsed.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  return parsed;
}

std::string Lower(std::string text)
{
  for (char& each : text) {
    each = static_cast<char>(std::tolower(static_cast<unsigned char>(each)));
  }
  return text;
}

std::string Base64(const std::string& bytes)
{
  static const char kDigits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    unsigned group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group = (group << 8U) | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text += i + j <= bytes.size() ? kDigits[(group >> (18 - 6 * j)) & 63U] : '=';
    }
  }
  return text;
}

std::string Parameter(const std::string& target, const std::string& name)
{
  std::size_t at = target.find('?');
  while (at != std::string::npos) {
    const std::size_t next = target.find('&', at + 1);
    const std::string pair = target.substr(at + 1, next - at - 1);
    if (pair.rfind(name + "=", 0) == 0) {
      std::string value;
      const std::string raw = pair.substr(name.size() + 1);
      for (std::size_t i = 0; i < raw.size(); ++i) {
        if (raw[i] == '%' && i + 2 < raw.size()) {
          value += static_cast<char>(std::stoi(raw.substr(i + 1, 2), nullptr, 16));
          i += 2;
        } else {
          value += raw[i];
        }
      }
      return value;
    }
    at = next;
  }
  return {};
}

std::string& FolderToRemove()
{
  static std::string folder;
  return folder;
}

// With KEEP set, the logs of the daemons stay.
void RemoveFolder()
{
  if (!FolderToRemove().empty() && std::getenv("KEEP") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(FolderToRemove(), ignored);
  }
}

std::string Reply(int status, const std::string& fields, const std::string& body)
{
  return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

double NowMs()
{
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - kStart)
    .count();
}

void SleepMs(double ms)
{
  if (ms > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
  }
}

void SleepUntil(double atMs) { SleepMs(atMs - NowMs()); }

std::int64_t UnixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

bool Trouble()
{
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

record::record(const std::string& path)
  : file_(std::fopen(path.c_str(), "w"))
{
  if (file_ == nullptr) {
    GiveUp("cannot write " + path);
  }
}

record::~record() { std::fclose(static_cast<FILE*>(file_)); }

void record::Add(const std::string& line)
{
  const std::lock_guard guard(lock_);
  std::fprintf(static_cast<FILE*>(file_), "%10.1f %s\n", NowMs(), line.c_str());
  std::fflush(static_cast<FILE*>(file_));
}

void GiveUp(const std::string& why)
{
  std::fprintf(stderr, "could not run: %s\n", why.c_str());
  RemoveFolder();
  ::_exit(kCouldNotRun); // ends the daemons too
}

void LimitRunTime()
{
  constexpr double kMaxRunMs = 115'000;
  std::thread([] {
    SleepMs(kMaxRunMs);
    GiveUp("the time is over");
  }).detach();
}

std::string message::Field(const std::string& name) const
{
  for (const auto& [each, value] : fields) {
    if (each == name) {
      return value;
    }
  }
  return {};
}

std::string message::Method() const { return first.substr(0, first.find(' ')); }

std::string message::Target() const
{
  const std::size_t begin = first.find(' ') + 1;
  return first.substr(begin, first.find(' ', begin) - begin);
}

int message::Status() const { return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0; }

stream::~stream() { ::close(fd_); }

void stream::Shutdown() { ::shutdown(fd_, SHUT_RDWR); }

void stream::Reset()
{
  const linger now{ 1, 0 };
  ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  // Disconnecting sends RST at once, also while another thread still holds the descriptor.
  sockaddr none{};
  none.sa_family = AF_UNSPEC;
  ::connect(fd_, &none, sizeof none);
}

bool stream::Fill(double untilMs)
{
  pollfd wait{ fd_, POLLIN, 0 };
  const double left = untilMs - NowMs();
  if (left <= 0 || ::poll(&wait, 1, static_cast<int>(left) + 1) <= 0) {
    return false;
  }
  char bytes[65536];
  const ssize_t size = ::recv(fd_, bytes, sizeof bytes, 0);
  if (size <= 0) {
    return false;
  }
  buffer_.append(bytes, static_cast<std::size_t>(size));
  return true;
}

bool stream::Read(message& out, double timeoutMs)
{
  const double until = NowMs() + timeoutMs;
  std::size_t end = std::string::npos;
  while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
    if (!Fill(until)) {
      return false;
    }
  }
  out = message{};
  std::istringstream head(buffer_.substr(0, end));
  std::string line;
  while (std::getline(head, line)) {
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    if (out.first.empty()) {
      out.first = line;
      continue;
    }
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      const std::size_t value = line.find_first_not_of(" \t", colon + 1);
      out.fields.emplace_back(Lower(line.substr(0, colon)),
                              value == std::string::npos ? "" : line.substr(value));
    }
  }
  const std::string length = out.Field("content-length");
  const std::size_t size = length.empty() ? 0 : std::stoul(length);
  while (buffer_.size() < end + 4 + size) {
    if (!Fill(until)) {
      return false;
    }
  }
  out.body = buffer_.substr(end + 4, size);
  buffer_.erase(0, end + 4 + size);
  return true;
}

bool stream::Write(const std::string& bytes)
{
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t size = ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

int Connect(const std::string& address, double timeoutMs)
{
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in to = ParseAddress(address);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
    pollfd wait{ fd, POLLOUT, 0 };
    int error = errno;
    if (error == EINPROGRESS && ::poll(&wait, 1, static_cast<int>(timeoutMs)) == 1) {
      socklen_t size = sizeof error;
      ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    }
    if (error != 0) {
      ::close(fd);
      return -1;
    }
  }
  ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

int Listen(const std::string& address, std::string& bound)
{
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in to = ParseAddress(address);
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0 || ::listen(fd, 512) != 0) {
    ::close(fd);
    return -1;
  }
  socklen_t size = sizeof to;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&to), &size);
  bound = address.substr(0, address.rfind(':')) + ":" + std::to_string(ntohs(to.sin_port));
  return fd;
}

bool server::Start(const std::string& address, handler serve)
{
  const int fd = Listen(address, address_);
  if (fd < 0) {
    return false;
  }
  listener_ = fd;
  accepter_ = std::thread([this, fd, serve = std::move(serve)] {
    for (;;) {
      const int accepted = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0 || stopped_) {
        if (accepted >= 0) {
          ::close(accepted);
        }
        return;
      }
      const int on = 1;
      ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      auto connection = std::make_shared<stream>(accepted);
      {
        const std::lock_guard guard(lock_);
        open_.remove_if([](const std::weak_ptr<stream>& each) { return each.expired(); });
        open_.push_back(connection);
      }
      std::thread([serve, connection] { serve(connection); }).detach();
    }
  });
  return true;
}

void server::Stop(bool reset)
{
  if (listener_ < 0) {
    return;
  }
  stopped_ = true;
  ::shutdown(listener_, SHUT_RDWR);
  accepter_.join();
  ::close(listener_);
  listener_ = -1;
  const std::lock_guard guard(lock_);
  for (const std::weak_ptr<stream>& each : open_) {
    if (const auto connection = each.lock()) {
      if (reset) {
        connection->Reset();
      } else {
        connection->Shutdown();
      }
    }
  }
  open_.clear();
}

bool store::Start(const std::string& address)
{
  return server_.Start(address,
                       [this](const std::shared_ptr<stream>& connection) { Serve(connection); });
}

void store::Put(const std::string& key, const std::string& value)
{
  {
    const std::lock_guard guard(lock_);
    item& each = items_[key];
    const std::uint64_t now = ++revision_;
    each = { value, now, each.deleted || each.created == 0 ? now : each.created, false };
  }
  changed_.notify_all();
}

void store::Delete(const std::string& key)
{
  {
    const std::lock_guard guard(lock_);
    items_[key] = { "", ++revision_, 0, true };
  }
  changed_.notify_all();
}

int store::CutWaitingWatches()
{
  int cut = 0;
  {
    const std::lock_guard guard(lock_);
    for (auto& [connection, isCut] : waiting_) {
      isCut = true;
      ++cut;
    }
  }
  changed_.notify_all();
  return cut;
}

int store::WaitingWatches()
{
  const std::lock_guard guard(lock_);
  return static_cast<int>(waiting_.size());
}

std::string store::Range(const std::string& prefix, const std::string& after)
{
  constexpr int kItemsPerPage = 500;
  std::string items;
  int count = 0;
  bool more = false;
  for (auto it = items_.upper_bound(after); it != items_.end(); ++it) {
    if (it->second.deleted || it->first.rfind(prefix, 0) != 0) {
      continue;
    }
    if (count == kItemsPerPage) {
      more = true;
      break;
    }
    items += std::string(count++ > 0 ? "," : "") + "{\"key\":\"" + it->first + "\",\"value\":\"" +
             Base64(it->second.value) + "\",\"revision\":" + std::to_string(it->second.revision) +
             ",\"created\":" + std::to_string(it->second.created) + ",\"lease\":0}";
  }
  return "{\"items\":[" + items + "],\"hasMore\":" + (more ? "true" : "false") +
         ",\"asOf\":" + std::to_string(revision_) + "}";
}

bool store::HasEvents(const std::string& prefix, std::uint64_t after)
{
  return std::any_of(items_.begin(), items_.end(), [&](const auto& each) {
    return each.second.revision > after && each.first.rfind(prefix, 0) == 0;
  });
}

std::string store::Events(const std::string& prefix, std::uint64_t after)
{
  std::map<std::uint64_t, std::string> events;
  for (const auto& [key, each] : items_) {
    if (each.revision <= after || key.rfind(prefix, 0) != 0) {
      continue;
    }
    const std::string revision = std::to_string(each.revision);
    events[each.revision] =
      each.deleted ? "{\"key\":\"" + key + "\",\"revision\":" + revision + ",\"deleted\":true}"
                   : "{\"key\":\"" + key + "\",\"value\":\"" + Base64(each.value) +
                       "\",\"revision\":" + revision +
                       ",\"created\":" + std::to_string(each.created) + ",\"lease\":0}";
  }
  std::string joined;
  for (const auto& [revision, text] : events) {
    joined += (joined.empty() ? "" : ",") + text;
  }
  return "{\"events\":[" + joined + "],\"asOf\":" + std::to_string(revision_) + "}";
}

void store::Serve(const std::shared_ptr<stream>& connection)
{
  constexpr double kIdleMs = 60'000;
  const std::string json = "Content-Type: application/json\r\n";
  message request;
  while (connection->Read(request, kIdleMs)) {
    const std::string target = request.Target();
    const std::string path = target.substr(0, target.find('?'));
    const std::string prefix = Parameter(target, "prefix");
    std::string body;
    if (path == "/kv-range") {
      const std::lock_guard guard(lock_);
      body = Range(prefix, Parameter(target, "after"));
    } else if (path == "/kv-watch") {
      const std::uint64_t after = std::stoull("0" + Parameter(target, "after"));
      const double waitMs = std::stod("0" + Parameter(target, "waitMs"));
      std::unique_lock guard(lock_);
      waiting_[connection.get()] = false;
      changed_.wait_for(guard, std::chrono::duration<double, std::milli>(waitMs), [&] {
        return waiting_[connection.get()] || HasEvents(prefix, after);
      });
      const bool cut = waiting_[connection.get()];
      waiting_.erase(connection.get());
      if (cut) {
        return;
      }
      body = Events(prefix, after);
    } else if (path == "/kv-key") {
      const std::lock_guard guard(lock_);
      const auto found = items_.find(Parameter(target, "key"));
      if (found != items_.end() && !found->second.deleted) {
        body = "{\"key\":\"" + found->first + "\",\"value\":\"" + Base64(found->second.value) +
               "\",\"revision\":" + std::to_string(found->second.revision) +
               ",\"created\":" + std::to_string(found->second.created) +
               ",\"lease\":0,\"asOf\":" + std::to_string(revision_) + "}";
      }
    }
    if (!connection->Write(body.empty() ? Reply(404, "", "") : Reply(200, json, body))) {
      return;
    }
  }
}

replica::replica(std::string service,
                 std::string zone,
                 std::string id,
                 double workMs,
                 run_hook onRun)
  : born(UnixMs())
  , service_(std::move(service))
  , zone_(std::move(zone))
  , id_(std::move(id))
  , workMs_(workMs)
  , onRun_(std::move(onRun))
{
}

bool replica::Start(const std::string& address)
{
  const std::uint64_t start = ++start_;
  sequence_ = 0;
  server_ = std::make_unique<server>();
  if (!server_->Start(address, [this, start](const std::shared_ptr<stream>& connection) {
        Serve(connection, start);
      })) {
    return false;
  }
  address_ = server_->Address();
  return true;
}

void replica::Crash()
{
  ++start_;
  server_->Stop(true);
  ended_.push_back(std::move(server_));
}

bool replica::Restart()
{
  born = UnixMs();
  return Start(address_);
}

std::string replica::Entry(const std::string& state)
{
  return "{\"service\":\"" + service_ + "\",\"address\":\"" + address_ + "\",\"zone\":\"" + zone_ +
         "\",\"version\":\"v1\",\"slots\":3,\"state\":\"" + state +
         "\",\"warmupRemainingMs\":0,\"sequence\":" + std::to_string(++sequence_) +
         ",\"born\":" + std::to_string(born) + "}";
}

void replica::Serve(const std::shared_ptr<stream>& connection, std::uint64_t start)
{
  constexpr double kIdleMs = 20'000;
  message request;
  while (start == start_ && connection->Read(request, kIdleMs)) {
    const std::string attempt = request.Field("x-attempt-id");
    const std::string echo = attempt.empty() ? "" : "X-Attempt-Id: " + attempt + "\r\n";
    const std::string expected = request.Field("x-expected-instance");
    if (request.Target() == "/health") {
      connection->Write(Reply(200, "X-Instance: " + id_ + "\r\n", ""));
      continue;
    }
    run made{ attempt, request.Target(), NowMs(), expected.empty() || expected == id_ };
    onRun_(*this, made);
    if (!made.ran) {
      connection->Write(
        Reply(421, echo + "X-Instance: " + id_ + "\r\nX-Not-Executed: 1\r\n", ""));
      continue;
    }
    SleepMs(workMs_);
    if (start != start_) {
      return;
    }
    const std::string stamp = "X-Response-Stamp: " + id_ + "." + attempt + "\r\n";
    if (!connection->Write(Reply(200, echo + stamp + "Keep-Alive: timeout=20\r\n", body))) {
      return;
    }
  }
}

bool proxy::Start(const std::string& address, const std::string& target)
{
  target_ = target;
  return server_.Start(address, [this](const std::shared_ptr<stream>& from) {
    const int generation = generation_;
    const int fd = Connect(target_, 1000);
    if (fd < 0) {
      return;
    }
    stream to(fd);
    pollfd ends[2] = { { from->Fd(), POLLIN, 0 }, { fd, POLLIN, 0 } };
    char bytes[65536];
    for (;;) {
      ::poll(ends, 2, 20);
      if (generation != generation_) {
        // Keeps both sockets open and reads nothing, as on a path that drops all packets.
        for (;;) {
          SleepMs(1000);
        }
      }
      for (int i = 0; i < 2; ++i) {
        if ((ends[i].revents & (POLLIN | POLLHUP | POLLERR)) == 0) {
          continue;
        }
        const ssize_t size = ::recv(ends[i].fd, bytes, sizeof bytes, 0);
        if (size <= 0) {
          return;
        }
        const std::string part(bytes, static_cast<std::size_t>(size));
        if (!(i == 0 ? to.Write(part) : from->Write(part))) {
          return;
        }
      }
    }
  });
}

void proxy::Silence() { ++generation_; }

daemon_process::daemon_process(std::string name,
               std::string zone,
               std::string ip,
               std::string storeAddress,
               std::vector<std::string> seeds,
               std::string folder)
  : name_(std::move(name))
  , zone_(std::move(zone))
  , ip_(std::move(ip))
  , store_(std::move(storeAddress))
  , folder_(std::move(folder))
  , seeds_(std::move(seeds))
{
}

namespace {

void ReplaceAll(std::string& text, const std::string& from, const std::string& to)
{
  for (std::size_t at = 0; (at = text.find(from, at)) != std::string::npos; at += to.size()) {
    text.replace(at, from.size(), to);
  }
}

} // namespace

// Fills the template of the deploy file with the settings of a small deployment.
void daemon_process::Start()
{
  std::ifstream file("deploy/settings.yaml");
  std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  if (text.empty()) {
    GiveUp("deploy/settings.yaml is missing");
  }
  std::string seeds;
  for (const std::string& each : seeds_) {
    seeds += (seeds.empty() ? "\"" : ",\"") + each + "\"";
  }
  const std::map<std::string, std::string> values = {
    { "nodeName", name_ },
    { "zone", zone_ },
    { "ipAddress", ip_ },
    { "listenAddresses.front", ip_ + ":8104" },
    { "listenAddresses.readiness", ip_ + ":8108" },
    { "listenAddresses.directory", ip_ + ":8100" },
    { "internalPortRange.0", "7380" },
    { "platform.address", store_ },
    { "limits.cores", "1" },
    { "bounds.retryBudgetRatio", "0.2" },
    { "bounds.retryBudgetSlack", std::to_string(repeatSlack_) },
    { "bounds.configurationApplyMs", "3000" },
    { "bounds.drainMs", "3000" },
    { "bounds.evacuationMs", "5000" },
    { "bounds.stabilityWindowMs", "4000" },
    { "bounds.warmupOverage", "1.5" },
    { "bounds.warmupSlack", "5" },
  };
  ReplaceAll(text, "{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", seeds);
  for (const auto& [key, value] : values) {
    ReplaceAll(text, "{{" + key + "}}", value);
  }
  if (text.find("{{") != std::string::npos) {
    GiveUp("deploy/settings.yaml has a placeholder that the rig does not know");
  }
  const std::string settings = folder_ + "/" + name_ + ".yaml";
  std::ofstream(settings) << text;
  const std::string log = folder_ + "/" + name_ + ".log";
  const char* program = "target/bin/redwingdock_edge"; // as in deploy/system.toml
  pid_ = ::fork();
  if (pid_ == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL); // no daemon outlives the case
    const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(fd, 1);
    ::dup2(fd, 2);
    ::execl(program, program, "--settings", settings.c_str(), nullptr);
    ::_exit(127);
  }
}

void daemon_process::Signal(int number)
{
  if (pid_ > 0) {
    ::kill(pid_, number);
  }
}

void daemon_process::Wait()
{
  if (pid_ > 0) {
    ::waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
}

bool daemon_process::Running()
{
  if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_) {
    pid_ = -1;
  }
  return pid_ > 0;
}

bool daemon_process::Ready() const
{
  const int fd = Connect(ip_ + ":8108", 300);
  if (fd < 0) {
    return false;
  }
  stream connection(fd);
  message reply;
  return connection.Write("GET /readiness HTTP/1.1\r\nHost: " + ip_ + "\r\n\r\n") &&
         connection.Read(reply, 500) && reply.Status() == 200;
}

daemon_process::~daemon_process()
{
  Signal(SIGCONT);
  Signal(SIGKILL);
  Wait();
}

answer client::Ask(const std::string& method,
                   const std::string& host,
                   const std::string& target,
                   const std::string& attempt,
                   double deadlineMs,
                   const std::string& body)
{
  answer got;
  const double until = NowMs() + deadlineMs;
  if (!connection_) {
    const int fd = Connect(front_, std::min(1000.0, deadlineMs));
    if (fd < 0) {
      return got;
    }
    connection_ = std::make_unique<stream>(fd);
  }
  std::string text = method + " " + target + " HTTP/1.1\r\nHost: " + host +
                     "\r\nX-Attempt-Id: " + attempt + "\r\nX-Deadline-Remaining: " +
                     std::to_string(static_cast<int>(deadlineMs)) + "\r\n";
  if (!body.empty()) {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  if (!connection_->Write(text + "\r\n" + body) ||
      !connection_->Read(got.content, until - NowMs())) {
    connection_.reset();
    return got;
  }
  got.status = got.content.Status();
  if (Lower(got.content.Field("connection")) == "close") {
    connection_.reset();
  }
  return got;
}

std::string NewAttemptId()
{
  static std::mutex lock;
  static std::mt19937_64 random(std::random_device{}());
  const std::lock_guard guard(lock);
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
  return text;
}

void Finish(std::vector<std::unique_ptr<daemon_process>>& daemons, int code)
{
  daemons.clear();
  RemoveFolder();
  std::fflush(nullptr);
  ::_exit(code); // threads of the stand-ins still run
}

std::string ChooseNetwork()
{
  std::mt19937 random(std::random_device{}());
  for (int i = 0; i < 50; ++i) {
    const std::string net = "127." + std::to_string(20 + random() % 200) + "." +
                            std::to_string(1 + random() % 250);
    std::string bound;
    const int fd = Listen(net + ".11:8104", bound);
    if (fd >= 0) {
      ::close(fd);
      return net;
    }
  }
  GiveUp("no free loopback network");
}

std::string TemporaryFolder()
{
  std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (::mkdtemp(pattern.data()) == nullptr) {
    GiveUp("cannot make a temporary folder");
  }
  FolderToRemove() = pattern;
  if (std::getenv("KEEP") != nullptr) {
    std::fprintf(stderr, "logs: %s\n", pattern.c_str());
  }
  return pattern;
}

void WaitReady(const std::vector<std::unique_ptr<daemon_process>>& daemons)
{
  const double until = NowMs() + 20'000;
  for (const auto& each : daemons) {
    while (!each->Ready()) {
      if (NowMs() > until || !each->Running()) {
        GiveUp("daemon " + each->Name() + " is not ready");
      }
      SleepMs(50);
    }
  }
}

} // namespace rig
