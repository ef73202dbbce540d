#ifndef REDWINGDOCK_REVIEW_RIG_H
#define REDWINGDOCK_REVIEW_RIG_H

// Test rig of the review: stand-ins for the platform's store, replicas and clients on loopback, a
// TCP proxy, and the daemons as separate processes. Uses only POSIX and the standard library.

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace rig {

// Milliseconds since the start of the process, on the steady clock.
double NowMs();
void SleepMs(double ms);
// Sleeps until NowMs() reaches the time.
void SleepUntil(double atMs);
std::int64_t UnixMs();
// Whether the disruption of the case is to be made: false with TROUBLE=0.
bool Trouble();

// Lines of record.txt: "<ms> <text>".
class record {
public:
  explicit record(const std::string& path);
  ~record();
  void Add(const std::string& line);

private:
  std::mutex lock_;
  void* file_;
};

// Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;
// Ends the process with kCouldNotRun.
[[noreturn]] void GiveUp(const std::string& why);
// Gives up after 115 s.
void LimitRunTime();

struct message {
  std::string first;                                       // request line or status line
  std::vector<std::pair<std::string, std::string>> fields; // names in lower case
  std::string body;
  std::string Field(const std::string& name) const; // empty when missing
  std::string Method() const;
  std::string Target() const;
  int Status() const;
};

// A connected stream socket with buffered reads of HTTP/1.1 messages.
class stream {
public:
  explicit stream(int fd) : fd_(fd) {}
  ~stream();
  stream(const stream&) = delete;
  stream& operator=(const stream&) = delete;

  // False at the end of the stream, after an error, or after the time.
  bool Read(message& out, double timeoutMs);
  bool Write(const std::string& bytes);
  int Fd() const { return fd_; }
  void Shutdown(); // wakes a reader in another thread
  void Reset();    // the next close sends RST

private:
  bool Fill(double untilMs);
  int fd_;
  std::string buffer_;
};

int Connect(const std::string& address, double timeoutMs); // -1 when it fails
// Listens on "ip:port"; port 0 takes a free one. Returns the address in bound; -1 when it fails.
int Listen(const std::string& address, std::string& bound);

// Accepts connections and serves each in its own thread until stopped.
class server {
public:
  using handler = std::function<void(const std::shared_ptr<stream>&)>;
  bool Start(const std::string& address, handler serve);
  // Closes the listener and all connections; with reset, open connections get RST.
  void Stop(bool reset);
  const std::string& Address() const { return address_; }
  ~server() { Stop(false); }

private:
  std::string address_;
  std::atomic<int> listener_{ -1 };
  std::atomic<bool> stopped_{ false };
  std::mutex lock_;
  std::list<std::weak_ptr<stream>> open_;
  std::thread accepter_;
};

// The platform's store: /kv-key, /kv-range and /kv-watch over all items.
class store {
public:
  bool Start(const std::string& address);
  const std::string& Address() const { return server_.Address(); }
  // Returns after the change is in force, which is its acknowledgement.
  void Put(const std::string& key, const std::string& value);
  void Delete(const std::string& key);
  // Closes the connections of the watches that are waiting.
  int CutWaitingWatches();
  int WaitingWatches();

private:
  struct item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    bool deleted = false;
  };
  void Serve(const std::shared_ptr<stream>& connection);
  std::string Range(const std::string& prefix, const std::string& after);
  std::string Events(const std::string& prefix, std::uint64_t after);
  bool HasEvents(const std::string& prefix, std::uint64_t after);

  std::mutex lock_;
  std::condition_variable changed_;
  std::map<std::string, item> items_;
  std::uint64_t revision_ = 100;
  std::map<stream*, bool> waiting_; // value: cut
  server server_;
};

// A replica: one process of a service. Each start has an id and a start time.
class replica {
public:
  struct run {
    std::string attempt;
    std::string target;
    double arrivedMs = 0;
    bool ran = false;
  };
  using run_hook = std::function<void(const replica&, const run&)>;

  replica(std::string service, std::string zone, std::string id, double workMs, run_hook onRun);
  bool Start(const std::string& address);
  // Ends the process: open connections are reset and new ones refused.
  void Crash();
  // Starts again at the same address, with the id that it had.
  bool Restart();
  std::string Entry(const std::string& state = "ready");
  const std::string& Id() const { return id_; }
  const std::string& Service() const { return service_; }
  const std::string& Address() const { return address_; }
  std::string body; // of its answers
  std::int64_t born;

private:
  void Serve(const std::shared_ptr<stream>& connection, std::uint64_t start);

  std::string service_, zone_, id_, address_;
  double workMs_;
  run_hook onRun_;
  std::atomic<std::uint64_t> start_{ 0 };
  std::atomic<std::uint64_t> sequence_{ 0 };
  std::unique_ptr<server> server_;
  std::vector<std::unique_ptr<server>> ended_;
};

// Forwards connections to a target. Silence() makes all connections that are open now deliver
// nothing more in either direction, without closing them; later ones work.
class proxy {
public:
  bool Start(const std::string& address, const std::string& target);
  void Silence();
  const std::string& Address() const { return server_.Address(); }

private:
  std::string target_;
  std::atomic<int> generation_{ 0 };
  server server_;
};

// One daemon of the deploy file, with settings from the template that the deploy file names.
class daemon_process {
public:
  daemon_process(std::string name, std::string zone, std::string ip, std::string storeAddress,
         std::vector<std::string> seeds, std::string folder);
  void SetRepeatSlack(int slack) { repeatSlack_ = slack; }
  void Start();
  void Signal(int number);
  // Waits for the end of the process.
  void Wait();
  bool Running();
  // Whether GET /readiness answers 200.
  bool Ready() const;
  std::string Front() const { return ip_ + ":8104"; }
  const std::string& Name() const { return name_; }
  ~daemon_process();

private:
  std::string name_, zone_, ip_, store_, folder_;
  std::vector<std::string> seeds_;
  int pid_ = -1;
  int repeatSlack_ = 56; // retryBudgetSlack of bdc-stitchfind
};

struct answer {
  int status = 0; // 0: the connection ended or the time was over without an answer
  message content;
};

// A client with one kept connection to a daemon.
class client {
public:
  explicit client(std::string front) : front_(std::move(front)) {}
  answer Ask(const std::string& method, const std::string& host, const std::string& target,
             const std::string& attempt, double deadlineMs, const std::string& body = "");
  void Close() { connection_.reset(); }

private:
  std::string front_;
  std::unique_ptr<stream> connection_;
};

std::string NewAttemptId();

// Addresses of one run: a /24 of the loopback network on which the daemons' ports are free.
std::string ChooseNetwork();
// A temporary folder, which Finish() and GiveUp() remove.
std::string TemporaryFolder();
// Waits until the daemons are ready; gives up after 20 s.
void WaitReady(const std::vector<std::unique_ptr<daemon_process>>& daemons);

// Ends the daemons and the process.
[[noreturn]] void Finish(std::vector<std::unique_ptr<daemon_process>>& daemons, int code);

} // namespace rig

#endif
