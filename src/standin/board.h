#ifndef REDWINGDOCK_STANDIN_BOARD_H
#define REDWINGDOCK_STANDIN_BOARD_H

#include "blackboard/blackboard.h"
#include "standin/platform.h"
#include "standin/server.h"

#include <mutex>

// The stand-in's blackboard. It holds the states of the servers, the state of the configuration
// service and run counts, and its controllers apply events to them. The front end posts the events
// and executes the resulting commands.
//
//   standin_board board;
//   board.AddServer(state);
//   board.Post("cw-03a", connection_opened{ 7 }, now);
//   for (board_command& command : board.TakeCommands()) { ... }

namespace redwingdock::standin {

// How often an attempt or a request key ran, over all servers. Entry keys: "attempt/<attempt>" and
// "key/<request key>".
struct run_count
{
  std::uint64_t mRuns = 0;

  auto operator<=>(const run_count&) const = default;
};

// A command for the front end.
struct board_command
{
  std::string mServer; // empty for the configuration service
  std::variant<server_command, platform_command> mCommand;

  auto operator<=>(const board_command&) const = default;
};

class standin_board
{
public:
  standin_board();

  // All states are added before the first event is posted.
  void AddServer(server_state aState);
  void SetPlatform(platform_state aState);

  void Post(const std::string& aServer, server_event aEvent, instant aNow);
  void PostPlatform(platform_event aEvent, instant aNow);

  // Processes the posted events and returns the commands that were issued since the last call.
  std::vector<board_command> TakeCommands();

  std::shared_ptr<const server_state> Server(const std::string& aName) const;
  std::map<std::string, std::shared_ptr<const server_state>> Servers() const;
  std::shared_ptr<const platform_state> Platform() const;

  // Number of runs by request key.
  std::map<std::string, std::uint64_t> KeyRuns() const;
  // Number of runs of each attempt that ran more than once. An attempt that ran once is forgotten
  // after kMaxRecordedAttempts newer runs.
  std::map<std::string, std::uint64_t> RepeatedAttempts() const;
  void ResetRuns();

private:
  struct posted_server_event
  {
    server_event mEvent;
    instant mNow;
  };

  struct posted_platform_event
  {
    platform_event mEvent;
    instant mNow;
  };

  void OnServerEvent(const std::string& aServer, const posted_server_event& aPosted);
  void OnPlatformEvent(const posted_platform_event& aPosted);
  void OnRun(const std::string& aKey, const report_run& aRun);

  blackboard mBoard;
  mutable std::mutex mLock; // guards mCommands and mRecordedAttempts
  std::vector<board_command> mCommands;
  std::deque<std::string> mRecordedAttempts; // entry keys, oldest first
};

// Attempts whose run counts are kept; they take about 20 MB.
inline constexpr std::size_t kMaxRecordedAttempts = 100'000;

} // namespace redwingdock::standin

#endif
