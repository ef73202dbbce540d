#ifndef REVIEW_RIG_2_H
#define REVIEW_RIG_2_H

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

// Stand-ins of the platform for the cases of the second review: a store that is only read, replicas,
// clients, and the daemons as processes. Blocking sockets, one thread a connection. Uses the C and
// C++ libraries only, no code of the project.

namespace rig {

// --- record -----------------------------------------------------------------------------------

// Opens the record file and starts the clock of its lines.
void OpenRecord(const std::string& aPath);
// Writes one line with the milliseconds since the start.
void Record(const std::string& aLine);
std::int64_t NowMs();
void SleepMs(std::int64_t aMs);
// Whether the disruption is played: true unless TROUBLE=0.
bool WithTrouble();

// --- HTTP/1.1 ---------------------------------------------------------------------------------

struct message
{
  std::string mFirst;  // "GET /path HTTP/1.1" or "HTTP/1.1 200 OK"
  std::vector<std::pair<std::string, std::string>> mFields;
  std::string mBody;

  std::string Field(const std::string& aName) const; // empty when there is none
  std::string Method() const;
  std::string Target() const;
  int Status() const;
};

// A connected socket with a read buffer.
class stream
{
public:
  explicit stream(int aSocket = -1) : mSocket(aSocket) {}
  ~stream() { Close(); }
  stream(const stream&) = delete;
  stream& operator=(const stream&) = delete;

  bool Connect(const std::string& aAddress, int aTimeoutMs);
  bool Send(const std::string& aBytes);
  // Reads one message with a length, in chunks, or without a body. False at the end, after an error
  // or after the timeout.
  bool Read(message& aMessage, int aTimeoutMs);
  // Whether the peer has closed, or sent bytes that were not read.
  bool HasInput() const;
  bool IsOpen() const { return mSocket >= 0; }
  int Socket() const { return mSocket; }
  void Close();
  void Shutdown(); // wakes a thread that reads

private:
  bool Fill(int aTimeoutMs);
  bool Line(std::string& aLine, int aTimeoutMs);
  bool Bytes(std::string& aBytes, std::size_t aCount, int aTimeoutMs);

  int mSocket;
  std::string mBuffer;
};

std::string FormatReply(int aStatus,
                        const std::vector<std::pair<std::string, std::string>>& aFields,
                        const std::string& aBody);

// The time of day as in the field Date.
std::string HttpDate();

// Accepts connections and runs the hook for each on a thread of its own.
class server
{
public:
  using hook = std::function<void(stream&)>;

  explicit server(hook aHook) : mHook(std::move(aHook)) {}
  ~server() { Stop(); }
  // "ip:port" with port 0 for a free one; returns the bound address, empty after an error.
  std::string Listen(const std::string& aAddress);
  void Stop();

private:
  void Accept();

  hook mHook;
  int mSocket = -1;
  std::atomic<bool> mStopped{ false };
  std::mutex mLock;
  std::vector<std::shared_ptr<stream>> mStreams;
  std::vector<std::thread> mThreads;
  std::thread mAcceptor;
};

// --- the platform's store ---------------------------------------------------------------------

class store
{
public:
  store();
  std::string Listen(const std::string& aAddress) { return mServer.Listen(aAddress); }
  void Put(const std::string& aKey, const std::string& aValue);
  void Delete(const std::string& aKey);
  void Stop();

private:
  struct item
  {
    std::string mValue;
    std::uint64_t mRevision = 0;
    bool mDeleted = false;
  };

  void Serve(stream& aStream);
  std::string Range(const std::string& aPrefix, const std::string& aAfter);
  std::string Events(const std::string& aPrefix, std::uint64_t aAfter, bool& aAny);

  std::mutex mLock;
  std::map<std::string, item> mItems;
  std::uint64_t mRevision = 100;
  std::atomic<bool> mStopped{ false };
  server mServer;
};

// Value of an entry under servers/ID.
std::string ReplicaEntry(const std::string& aService,
                         const std::string& aAddress,
                         const std::string& aZone,
                         int aSlots,
                         int aSequence,
                         std::int64_t aBorn);

// --- daemons ----------------------------------------------------------------------------------

// The program of deploy/system.toml with settings of the form of deploy/settings.yaml.
class daemon
{
public:
  daemon(std::string aFolder, std::string aName, std::string aZone, std::string aIp);
  ~daemon() { Kill(); }
  daemon(const daemon&) = delete;
  daemon& operator=(const daemon&) = delete;

  // limits.cores of the machine. Call before Start.
  void SetCores(int aCores) { mCores = aCores; }
  bool Start(const std::string& aStore, const std::vector<std::string>& aSeeds);
  // Writes the settings again. aEvacuationMs is bounds.evacuationMs as the platform fills it in.
  void WriteSettings(const std::string& aEvacuationMs);
  bool WaitReady(int aTimeoutMs);
  // Waits for the process to end by itself; its exit status, or -1 after the timeout.
  int WaitExit(int aTimeoutMs);
  void Signal(int aSignal);
  void Kill();
  const std::string& Callers() const { return mCallers; }
  const std::string& Seed() const { return mSeed; }
  const std::string& Name() const { return mName; }

private:
  const std::string mFolder;
  const std::string mName;
  const std::string mZone;
  const std::string mIp;
  std::string mCallers;
  std::string mReadiness;
  std::string mSeed;
  std::string mOthers[3];
  std::string mStore;
  std::vector<std::string> mSeeds;
  std::string mEvacuationMs = "5000";
  int mCores = 1;
  pid_t mProcess = -1;
};

// A loopback address that depends on the process, so that runs at the same time do not meet.
std::string LoopbackIp(int aHost);
// A temporary folder, removed by RemoveFolder.
std::string MakeFolder();
void RemoveFolder(const std::string& aFolder);

} // namespace rig

#endif
