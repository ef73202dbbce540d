#ifndef REDWINGDOCK_STANDIN_FRONTEND_H
#define REDWINGDOCK_STANDIN_FRONTEND_H

#include "standin/board.h"
#include "standin/config.h"
#include "standin/http_server.h"
#include "standin/records.h"

// Connects the blackboard of the stand-in to sockets and timers. All calls are made on one thread.
//
//   standin_frontend frontend(io, std::move(input));
//   result<bool> listening = frontend.Listen();
//   io.run();

namespace redwingdock::standin {

// Contents of the configuration file and of the files that it names.
struct standin_input
{
  standin_config mConfig;
  published_table mRoutes;
  published_table mPools;
  published_table mVms;
  pools_table mParsedPools;
  std::map<std::string, std::shared_ptr<const record_store>> mRecords; // by pool
};

// Reads and validates all files. Returns the first error.
result<standin_input> ReadInput(const std::string& aConfigFile);

class standin_frontend
{
public:
  standin_frontend(boost::asio::io_context& aIo, standin_input aInput);

  // Opens the ports of the configuration service, the admin interface and all servers.
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
  std::map<std::string, std::string> mVmZones; // zone by VM name
  published_table mZoneSource;                 // VM list from which mVmZones was read
  bool mDispatching = false;
};

} // namespace redwingdock::standin

#endif
