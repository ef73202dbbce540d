#ifndef REDWINGDOCK_STANDIN_FRONTEND_H
#define REDWINGDOCK_STANDIN_FRONTEND_H

#include "standin/board.h"
#include "standin/config.h"
#include "standin/http_server.h"
#include "standin/records.h"

// Connects the board of the stand-in to sockets and timers. Runs on one thread.
//
//   standin_front front(io, std::move(input));
//   result<bool> listening = front.Listen();
//   io.run();

namespace redwingdock::standin {

// Everything that is read from files before the start.
struct standin_input
{
  standin_config mConfig;
  published_table mRoutes;
  published_table mPools;
  published_table mVms;
  pools_table mParsedPools;
  std::map<std::string, std::shared_ptr<const record_store>> mRecords; // by pool
};

result<standin_input> ReadInput(const std::string& aConfigFile);

class standin_frontend
{
public:
  standin_frontend(boost::asio::io_context& aIo, standin_input aInput);

  result<bool> Listen();

private:
  void AddServer(const server_spec& aSpec, const pool_spec& aPool);
  void OnServerRequest(const std::string& aServer,
                       std::uint64_t aConnection,
                       const http_request& aRequest);
  void OnPlatformRequest(std::uint64_t aConnection, const http_request& aRequest);
  void OnAdminRequest(std::uint64_t aConnection, const http_request& aRequest);

  void Post(const std::string& aServer, server_event aEvent);
  void PostPlatform(platform_event aEvent);
  void DispatchCommands();
  void Execute(const std::string& aServer, const server_command& aCommand);
  void Execute(const platform_command& aCommand);
  void RunAfter(micros aDelay, std::function<void()> aAction);
  std::vector<record> FindRecords(const reply_records& aReply) const;
  std::string ZoneOf(const std::string& aVm) const;

  boost::asio::io_context& mIo;
  standin_input mInput;
  standin_board mBoard;
  std::map<std::string, std::unique_ptr<http_server>> mServers;
  std::unique_ptr<http_server> mPlatform;
  std::unique_ptr<http_server> mAdmin;
  std::map<std::string, std::string> mVmZones;
  published_table mZoneSource; // VM list that mVmZones was read from
  bool mDispatching = false;
};

} // namespace redwingdock::standin

#endif
