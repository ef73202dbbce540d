#include "rig.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace rig {

namespace {

std::mutex gRecordLock;
std::ofstream gRecord;
const auto gStart = std::chrono::steady_clock::now();

bool ParseAddress(const std::string& aAddress, sockaddr_in& aParsed)
{
  const std::size_t colon = aAddress.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  aParsed = {};
  aParsed.sin_family = AF_INET;
  aParsed.sin_port = htons(static_cast<std::uint16_t>(std::stoi(aAddress.substr(colon + 1))));
  return inet_pton(AF_INET, aAddress.substr(0, colon).c_str(), &aParsed.sin_addr) == 1;
}

std::string AddressOf(int aSocket)
{
  sockaddr_in bound{};
  socklen_t size = sizeof(bound);
  getsockname(aSocket, reinterpret_cast<sockaddr*>(&bound), &size);
  char text[INET_ADDRSTRLEN];
  inet_ntop(AF_INET, &bound.sin_addr, text, sizeof(text));
  return std::string(text) + ":" + std::to_string(ntohs(bound.sin_port));
}

std::string Base64(const std::string& aText)
{
  static const char kDigits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < aText.size(); i += 3) {
    unsigned bits = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      bits = (bits << 8U) | (i + j < aText.size() ? static_cast<unsigned char>(aText[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      out += i + j <= aText.size() ? kDigits[(bits >> (18 - 6 * j)) & 63U] : '=';
    }
  }
  return out;
}

std::string Query(const std::string& aTarget, const std::string& aName)
{
  std::size_t at = aTarget.find('?');
  while (at != std::string::npos) {
    const std::size_t next = aTarget.find('&', at + 1);
    const std::string pair = aTarget.substr(at + 1, next - at - 1);
    if (pair.rfind(aName + "=", 0) == 0) {
      std::string value;
      for (std::size_t i = aName.size() + 1; i < pair.size(); ++i) {
        if (pair[i] == '%' && i + 2 < pair.size()) {
          value += static_cast<char>(std::stoi(pair.substr(i + 1, 2), nullptr, 16));
          i += 2;
        } else {
          value += pair[i];
        }
      }
      return value;
    }
    at = next;
  }
  return {};
}

std::vector<int> FreePorts(const std::string& aIp, std::size_t aCount)
{
  std::vector<int> probes;
  std::vector<int> ports;
  for (std::size_t i = 0; i < aCount; ++i) {
    const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    ParseAddress(aIp + ":0", address);
    bind(probe, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    const std::string bound = AddressOf(probe);
    ports.push_back(std::stoi(bound.substr(bound.rfind(':') + 1)));
    probes.push_back(probe);
  }
  for (const int each : probes) {
    close(each);
  }
  return ports;
}

} // namespace

void OpenRecord(const std::string& aPath)
{
  signal(SIGPIPE, SIG_IGN);
  gRecord.open(aPath, std::ios::trunc);
}

std::int64_t NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                               gStart)
    .count();
}

void Record(const std::string& aLine)
{
  const std::lock_guard lock(gRecordLock);
  gRecord << NowMs() << " " << aLine << "\n" << std::flush;
}

void SleepMs(std::int64_t aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

bool WithTrouble()
{
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

std::string message::Field(const std::string& aName) const
{
  for (const auto& [name, value] : mFields) {
    if (strcasecmp(name.c_str(), aName.c_str()) == 0) {
      return value;
    }
  }
  return {};
}

std::string message::Method() const
{
  return mFirst.substr(0, mFirst.find(' '));
}

std::string message::Target() const
{
  const std::size_t begin = mFirst.find(' ');
  return begin == std::string::npos
           ? std::string()
           : mFirst.substr(begin + 1, mFirst.find(' ', begin + 1) - begin - 1);
}

int message::Status() const
{
  return mFirst.rfind("HTTP/1.1 ", 0) == 0 ? std::atoi(mFirst.c_str() + 9) : 0;
}

bool stream::Connect(const std::string& aAddress, int aTimeoutMs)
{
  Close();
  mBuffer.clear();
  sockaddr_in address{};
  if (!ParseAddress(aAddress, address)) {
    return false;
  }
  mSocket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (connect(mSocket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
    pollfd ready{ mSocket, POLLOUT, 0 };
    int error = errno;
    if (error == EINPROGRESS && poll(&ready, 1, aTimeoutMs) == 1) {
      socklen_t size = sizeof(error);
      getsockopt(mSocket, SOL_SOCKET, SO_ERROR, &error, &size);
    }
    if (error != 0) {
      Close();
      return false;
    }
  }
  fcntl(mSocket, F_SETFL, 0);
  const int on = 1;
  setsockopt(mSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return true;
}

bool stream::Send(const std::string& aBytes)
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const ssize_t size = send(mSocket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

bool stream::Fill(int aTimeoutMs)
{
  pollfd ready{ mSocket, POLLIN, 0 };
  if (mSocket < 0 || poll(&ready, 1, aTimeoutMs) != 1) {
    return false;
  }
  char bytes[16 * 1024];
  const ssize_t size = recv(mSocket, bytes, sizeof(bytes), 0);
  if (size <= 0) {
    return false;
  }
  mBuffer.append(bytes, static_cast<std::size_t>(size));
  return true;
}

bool stream::Line(std::string& aLine, int aTimeoutMs)
{
  std::size_t end = 0;
  while ((end = mBuffer.find("\r\n")) == std::string::npos) {
    if (!Fill(aTimeoutMs)) {
      return false;
    }
  }
  aLine = mBuffer.substr(0, end);
  mBuffer.erase(0, end + 2);
  return true;
}

bool stream::Bytes(std::string& aBytes, std::size_t aCount, int aTimeoutMs)
{
  while (mBuffer.size() < aCount) {
    if (!Fill(aTimeoutMs)) {
      return false;
    }
  }
  aBytes += mBuffer.substr(0, aCount);
  mBuffer.erase(0, aCount);
  return true;
}

bool stream::Read(message& aMessage, int aTimeoutMs)
{
  aMessage = {};
  if (!Line(aMessage.mFirst, aTimeoutMs)) {
    return false;
  }
  std::string line;
  while (Line(line, aTimeoutMs) && !line.empty()) {
    const std::size_t colon = line.find(':');
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    aMessage.mFields.emplace_back(line.substr(0, colon),
                                  value == std::string::npos ? "" : line.substr(value));
  }
  if (!line.empty()) {
    return false;
  }
  if (strcasecmp(aMessage.Field("Transfer-Encoding").c_str(), "chunked") == 0) {
    for (;;) {
      if (!Line(line, aTimeoutMs)) {
        return false;
      }
      const std::size_t size = std::stoul(line, nullptr, 16);
      std::string end;
      if (!Bytes(aMessage.mBody, size, aTimeoutMs) || !Bytes(end, 2, aTimeoutMs)) {
        return false;
      }
      if (size == 0) {
        return true;
      }
    }
  }
  const std::string length = aMessage.Field("Content-Length");
  return length.empty() || Bytes(aMessage.mBody, std::stoul(length), aTimeoutMs);
}

bool stream::HasInput() const
{
  pollfd ready{ mSocket, POLLIN, 0 };
  return !mBuffer.empty() || mSocket < 0 || poll(&ready, 1, 0) != 0;
}

void stream::Close()
{
  if (mSocket >= 0) {
    close(mSocket);
    mSocket = -1;
  }
}

void stream::Shutdown()
{
  if (mSocket >= 0) {
    shutdown(mSocket, SHUT_RDWR);
  }
}

std::string HttpDate()
{
  const std::time_t now = std::time(nullptr);
  std::tm parts{};
  gmtime_r(&now, &parts);
  char text[40];
  std::strftime(text, sizeof(text), "%a, %d %b %Y %H:%M:%S GMT", &parts);
  return text;
}

namespace {

const char* PhraseOf(int aStatus)
{
  switch (aStatus) {
    case 200:
      return "OK";
    case 421:
      return "Misdirected Request";
    case 503:
      return "Service Unavailable";
    default:
      return "Not Found";
  }
}

} // namespace

std::string FormatReply(int aStatus,
                        const std::vector<std::pair<std::string, std::string>>& aFields,
                        const std::string& aBody)
{
  std::string text = "HTTP/1.1 " + std::to_string(aStatus) + " " + PhraseOf(aStatus) + "\r\n";
  for (const auto& [name, value] : aFields) {
    text += name + ": " + value + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

std::string server::Listen(const std::string& aAddress)
{
  sockaddr_in address{};
  ParseAddress(aAddress, address);
  mSocket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(mSocket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (bind(mSocket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(mSocket, 1024) != 0) {
    return {};
  }
  mAcceptor = std::thread([this] { Accept(); });
  return AddressOf(mSocket);
}

void server::Accept()
{
  for (;;) {
    const int accepted = accept4(mSocket, nullptr, nullptr, SOCK_CLOEXEC);
    if (accepted < 0) {
      if (mStopped) {
        return;
      }
      continue;
    }
    const int on = 1;
    setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    auto added = std::make_shared<stream>(accepted);
    const std::lock_guard lock(mLock);
    mStreams.push_back(added);
    mThreads.emplace_back([this, added] {
      mHook(*added);
      added->Shutdown();
    });
  }
}

void server::Stop()
{
  if (mSocket < 0 || mStopped.exchange(true)) {
    return;
  }
  shutdown(mSocket, SHUT_RDWR);
  mAcceptor.join();
  close(mSocket);
  {
    const std::lock_guard lock(mLock);
    for (const auto& each : mStreams) {
      each->Shutdown();
    }
  }
  for (std::thread& each : mThreads) {
    each.join();
  }
}

store::store()
  : mServer([this](stream& aStream) { Serve(aStream); })
{
}

void store::Put(const std::string& aKey, const std::string& aValue)
{
  const std::lock_guard lock(mLock);
  mItems[aKey] = { aValue, ++mRevision, false };
}

void store::Delete(const std::string& aKey)
{
  const std::lock_guard lock(mLock);
  mItems[aKey] = { "", ++mRevision, true };
}

void store::Stop()
{
  mStopped = true;
  mServer.Stop();
}

std::string store::Range(const std::string& aPrefix, const std::string& aAfter)
{
  const std::lock_guard lock(mLock);
  std::string items;
  for (const auto& [key, each] : mItems) {
    if (each.mDeleted || key.rfind(aPrefix, 0) != 0 || key <= aAfter) {
      continue;
    }
    items += (items.empty() ? "" : ",") + std::string(R"({"key":")") + key + R"(","value":")" +
             Base64(each.mValue) + R"(","revision":)" + std::to_string(each.mRevision) +
             R"(,"created":)" + std::to_string(each.mRevision) + R"(,"lease":0})";
  }
  return R"({"items":[)" + items + R"(],"hasMore":false,"asOf":)" + std::to_string(mRevision) + "}";
}

std::string store::Events(const std::string& aPrefix, std::uint64_t aAfter, bool& aAny)
{
  const std::lock_guard lock(mLock);
  std::string events;
  for (const auto& [key, each] : mItems) {
    if (each.mRevision <= aAfter || key.rfind(aPrefix, 0) != 0) {
      continue;
    }
    events += (events.empty() ? "" : ",") + std::string(R"({"key":")") + key + R"(","revision":)" +
              std::to_string(each.mRevision);
    events += each.mDeleted ? std::string(R"(,"deleted":true})")
                            : R"(,"value":")" + Base64(each.mValue) + R"(","lease":0})";
  }
  aAny = !events.empty();
  return R"({"events":[)" + events + R"(],"asOf":)" + std::to_string(mRevision) + "}";
}

void store::Serve(stream& aStream)
{
  message request;
  while (!mStopped && aStream.Read(request, -1)) {
    const std::string target = request.Target();
    const std::string path = target.substr(0, target.find('?'));
    std::string body;
    if (path == "/kv-range") {
      body = Range(Query(target, "prefix"), Query(target, "after"));
    } else if (path == "/kv-watch") {
      const std::uint64_t after = std::stoull("0" + Query(target, "after"));
      const std::int64_t until = NowMs() + std::stoll("0" + Query(target, "waitMs"));
      bool any = false;
      for (;;) {
        body = Events(Query(target, "prefix"), after, any);
        if (any || NowMs() >= until || mStopped || aStream.HasInput()) {
          break;
        }
        SleepMs(4);
      }
    }
    SleepMs(4); // an answer of the store takes 4 ms
    if (!aStream.Send(FormatReply(
          body.empty() ? 404 : 200, { { "Content-Type", "application/json" } }, body))) {
      return;
    }
  }
}

std::string ReplicaEntry(const std::string& aService,
                         const std::string& aAddress,
                         const std::string& aZone,
                         int aSlots,
                         int aSequence,
                         std::int64_t aBorn)
{
  return R"({"service":")" + aService + R"(","address":")" + aAddress + R"(","zone":")" + aZone +
         R"(","version":"v1","slots":)" + std::to_string(aSlots) +
         R"(,"state":"ready","warmupRemainingMs":0,"sequence":)" + std::to_string(aSequence) +
         R"(,"born":)" + std::to_string(aBorn) + "}";
}

daemon::daemon(std::string aFolder, std::string aName, std::string aZone, std::string aIp)
  : mFolder(std::move(aFolder))
  , mName(std::move(aName))
  , mZone(std::move(aZone))
  , mIp(std::move(aIp))
{
  // Ports are the same on all machines of a day.
  static const std::vector<int> ports = FreePorts(mIp, 5);
  const auto address = [this](std::size_t aIndex) {
    return mIp + ":" + std::to_string(ports[aIndex]);
  };
  mCallers = address(0);
  mReadiness = address(1);
  for (std::size_t i = 0; i < 3; ++i) {
    mOthers[i] = address(2 + i);
  }
  mSeed = mOthers[1];
}

void daemon::WriteSettings(const std::string& aEvacuationMs)
{
  mEvacuationMs = aEvacuationMs;
  const std::string file = mFolder + "/" + mName + ".yaml";
  {
    // deploy/settings.yaml with the figures of the small deployments.
    std::ofstream settings(file + ".new", std::ios::trunc);
    settings << "vm: " << mName << "\nzone: " << mZone << "\nlisten:\n  callers: \"" << mCallers
             << "\"\n  readiness: \"" << mReadiness << "\"\n  addresses: \"" << mOthers[0]
             << "\"\n  peers: \"" << mOthers[1] << "\"\n  metrics: \"" << mOthers[2]
             << "\"\nstore: \"" << mStore << "\"\nseeds: [";
    for (std::size_t i = 0; i < mSeeds.size(); ++i) {
      settings << (i > 0 ? "," : "") << "\"" << mSeeds[i] << "\"";
    }
    settings << "]\nworkers: " << mCores << "\nlimits:\n  memory_mb: 260\n  descriptors: 4100\nforwarding:\n"
             << "  repeat_ratio: 0.2\n  repeat_slack: 56\n  change_bound_ms: 3000\n"
             << "  drain_bound_ms: 3000\n  closed_zone_bound_ms: " << mEvacuationMs
             << "\n  disturbance_ms: 4000\n  cold_overage: 1.5\n  cold_slack: 5\n";
  }
  std::filesystem::rename(file + ".new", file);
}

bool daemon::Start(const std::string& aStore, const std::vector<std::string>& aSeeds)
{
  mStore = aStore;
  mSeeds = aSeeds;
  WriteSettings(mEvacuationMs);
  const std::string file = mFolder + "/" + mName + ".yaml";
  const char* root = std::getenv("REVIEW_ROOT");
  const std::string program =
    std::string(root != nullptr ? root : ".") + "/target/bin/redwingdock_edge";
  const std::string log = mFolder + "/" + mName + ".log";
  mProcess = fork();
  if (mProcess == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    execl(program.c_str(),
          program.c_str(),
          "--settings",
          file.c_str(),
          "--grace",
          "6",
          static_cast<char*>(nullptr));
    _exit(127);
  }
  return mProcess > 0;
}

bool daemon::WaitReady(int aTimeoutMs)
{
  const std::int64_t until = NowMs() + aTimeoutMs;
  while (NowMs() < until) {
    stream probe;
    message reply;
    if (probe.Connect(mReadiness, 500) &&
        probe.Send("GET /readiness HTTP/1.1\r\nHost: readiness\r\n\r\n") && probe.Read(reply, 500) &&
        reply.Status() == 200) {
      return true;
    }
    SleepMs(50);
  }
  return false;
}

int daemon::WaitExit(int aTimeoutMs)
{
  const std::int64_t until = NowMs() + aTimeoutMs;
  while (mProcess > 0 && NowMs() < until) {
    int status = 0;
    if (waitpid(mProcess, &status, WNOHANG) == mProcess) {
      mProcess = -1;
      return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    }
    SleepMs(20);
  }
  return -1;
}

void daemon::Signal(int aSignal)
{
  if (mProcess > 0) {
    kill(mProcess, aSignal);
  }
}

void daemon::Kill()
{
  if (mProcess > 0) {
    kill(mProcess, SIGKILL);
    waitpid(mProcess, nullptr, 0);
    mProcess = -1;
  }
}

std::string LoopbackIp(int aHost)
{
  const int id = static_cast<int>(getpid());
  return "127." + std::to_string(20 + id % 200) + "." + std::to_string(1 + id / 200 % 250) + "." +
         std::to_string(aHost);
}

std::string MakeFolder()
{
  std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  return mkdtemp(pattern.data()) != nullptr ? pattern : std::string();
}

void RemoveFolder(const std::string& aFolder)
{
  std::error_code ignored;
  std::filesystem::remove_all(aFolder, ignored);
}

} // namespace rig
