#include "standin/frontend.h"

#include "standin/admin.h"
#include "standin/json_codec.h"
#include "tables/parse.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

namespace redwingdock::standin {

namespace {

instant Now()
{
  return instant(
    std::chrono::duration_cast<micros>(std::chrono::steady_clock::now().time_since_epoch()));
}

result<std::string> ReadFile(const std::string& aFile)
{
  std::ifstream file(aFile, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    return Failure<std::string>("read file", aFile, "cannot read the file");
  }
  return Success(text.str());
}

template<typename T>
result<standin_input> PropagateFailure(const result<T>& aResult)
{
  return { std::nullopt, aResult.mReason };
}

// Returns the integer value of a query parameter, or nothing when it is absent or invalid.
std::optional<std::uint64_t> QueryParameter(const std::string& aTarget, const std::string& aName)
{
  std::istringstream query(aTarget.substr(std::min(aTarget.find('?'), aTarget.size())));
  query.get();
  for (std::string item; std::getline(query, item, '&');) {
    if (item.starts_with(aName + "=")) {
      return ParseInteger(item.substr(aName.size() + 1), 0, 1'000'000'000'000'000'000ULL);
    }
  }
  return std::nullopt;
}

std::optional<table_kind> ParseTableKind(const std::string& aTarget)
{
  const std::string path = aTarget.substr(0, aTarget.find('?'));
  if (path == "/v1/tables/routes") {
    return table_kind::Routes;
  }
  if (path == "/v1/tables/pools") {
    return table_kind::Pools;
  }
  if (path == "/v1/vms") {
    return table_kind::Vms;
  }
  return std::nullopt;
}

http_reply TextReply(unsigned aStatus, const std::string& aText)
{
  http_reply reply;
  reply.mStatus = aStatus;
  reply.mContentType = "text/plain";
  reply.mBody = aText + "\n";
  return reply;
}

http_reply JsonReply(unsigned aStatus, std::string aBody)
{
  http_reply reply;
  reply.mStatus = aStatus;
  reply.mBody = std::move(aBody);
  return reply;
}

} // namespace

result<standin_input> ReadInput(const std::string& aConfigFile)
{
  const std::filesystem::path directory = std::filesystem::path(aConfigFile).parent_path();
  const auto text = ReadFile(aConfigFile);
  if (!text) {
    return PropagateFailure(text);
  }
  const auto config = ParseConfig(*text, aConfigFile);
  if (!config) {
    return PropagateFailure(config);
  }
  standin_input input;
  input.mConfig = *config;
  const auto routes = ReadFile(directory / config->mRoutesFile);
  const auto pools = ReadFile(directory / config->mPoolsFile);
  const auto vms = ReadFile(directory / config->mVmsFile);
  if (!routes || !pools || !vms) {
    return PropagateFailure(!routes ? routes : !pools ? pools : vms);
  }
  const auto parsedRoutes = ParseRoutes(*routes, config->mRoutesFile);
  const auto parsedPools = ParsePools(*pools, config->mPoolsFile);
  const auto parsedVms = ParseVmList(*vms, config->mVmsFile);
  if (!parsedRoutes || !parsedPools || !parsedVms) {
    return !parsedRoutes  ? PropagateFailure(parsedRoutes)
           : !parsedPools ? PropagateFailure(parsedPools)
                          : PropagateFailure(parsedVms);
  }
  if (const auto failure = CheckConsistency(*parsedRoutes, *parsedPools)) {
    return { std::nullopt, *failure };
  }
  if (const auto failure = CheckPools(*config, *parsedPools)) {
    return { std::nullopt, *failure };
  }
  input.mRoutes = { parsedRoutes->mRevision.mNumber, std::make_shared<const std::string>(*routes) };
  input.mPools = { parsedPools->mRevision.mNumber, std::make_shared<const std::string>(*pools) };
  input.mVms = { parsedVms->mRevision.mNumber, std::make_shared<const std::string>(*vms) };
  input.mParsedPools = *parsedPools;
  for (const dataset_config& dataset : config->mDatasets) {
    const auto lines = ReadFile(directory / dataset.mFile);
    if (!lines) {
      return PropagateFailure(lines);
    }
    const auto records = ReadRecords(*lines, dataset.mFile);
    if (!records) {
      return PropagateFailure(records);
    }
    const auto shared = std::make_shared<const record_store>(*records);
    for (const std::string& pool : dataset.mPools) {
      input.mRecords[pool] = shared;
    }
  }
  return Success(std::move(input));
}

standin_frontend::standin_frontend(boost::asio::io_context& aIo, standin_input aInput)
  : mIo(aIo)
  , mInput(std::move(aInput))
{
  platform_state platform;
  platform.mTables = { { table_kind::Routes, mInput.mRoutes },
                       { table_kind::Pools, mInput.mPools },
                       { table_kind::Vms, mInput.mVms } };
  platform.mServed = platform.mTables;
  mBoard.SetPlatform(std::move(platform));
  mPlatform = std::make_unique<http_server>(
    mIo,
    mInput.mConfig.mPlatformAddress,
    http_hooks{
      [this](std::uint64_t aConnection) { mPlatform->Serve(aConnection, micros(0)); },
      [this](std::uint64_t aConnection, const http_request& aRequest) {
        OnPlatformRequest(aConnection, aRequest);
      },
      [this](std::uint64_t aConnection) { PostPlatform(reader_disconnected{ aConnection }); } });
  mAdmin = std::make_unique<http_server>(
    mIo,
    mInput.mConfig.mAdminAddress,
    http_hooks{ [this](std::uint64_t aConnection) { mAdmin->Serve(aConnection, micros(0)); },
                [this](std::uint64_t aConnection, const http_request& aRequest) {
                  OnAdminRequest(aConnection, aRequest);
                },
                [](std::uint64_t /*aConnection*/) {} });
  for (const pool_spec& pool : mInput.mParsedPools.mPools) {
    for (const server_spec& server : pool.mServers) {
      AddServer(server, pool);
    }
  }
}

void standin_frontend::AddServer(const server_spec& aSpec, const pool_spec& aPool)
{
  server_state state;
  state.mSpec = aSpec;
  for (const shard_spec& shard : aPool.mShards) {
    if (shard.mName == aSpec.mShard) {
      state.mShard = shard;
    }
  }
  const auto configured = mInput.mConfig.mPools.find(aPool.mName);
  state.mBehaviour =
    configured == mInput.mConfig.mPools.end() ? mInput.mConfig.mDefaults : configured->second;
  state.mBehaviour.mSlots = aPool.mSlots;
  state.mBehaviour.mConnectionLimit = aPool.mConnections;
  state.mBehaviour.mConnectCost = aPool.mConnectCost;
  state.mWarm = mInput.mConfig.mStartWarm;
  state.mColdSince = Now();
  state.mRandomState = mInput.mConfig.mSeed * 1'000'003 + mServers.size();
  mBoard.AddServer(std::move(state));
  const std::string name = aSpec.mName;
  mServers[name] = std::make_unique<http_server>(
    mIo,
    aSpec.mAddress,
    http_hooks{
      [this, name](std::uint64_t aConnection) { Post(name, connection_opened{ aConnection }); },
      [this, name](std::uint64_t aConnection, const http_request& aRequest) {
        OnServerRequest(name, aConnection, aRequest);
      },
      [this, name](std::uint64_t aConnection) { Post(name, connection_closed{ aConnection }); } });
}

result<bool> standin_frontend::Listen()
{
  for (http_server* server : { mPlatform.get(), mAdmin.get() }) {
    if (result<bool> listening = server->Listen(); !listening) {
      return listening;
    }
  }
  for (const auto& [name, server] : mServers) {
    if (result<bool> listening = server->Listen(); !listening) {
      return listening;
    }
  }
  return Success(true);
}

void standin_frontend::Post(const std::string& aServer, server_event aEvent)
{
  mBoard.Post(aServer, std::move(aEvent), Now());
  DispatchCommands();
}

void standin_frontend::PostPlatform(platform_event aEvent)
{
  mBoard.PostPlatform(std::move(aEvent), Now());
  DispatchCommands();
}

// A command can post further events. The nested call returns at once, and the loop of the outer
// call executes the commands of those events.
void standin_frontend::DispatchCommands()
{
  if (mDispatching) {
    return;
  }
  mDispatching = true;
  for (std::vector<board_command> commands = mBoard.TakeCommands(); !commands.empty();
       commands = mBoard.TakeCommands()) {
    for (const board_command& command : commands) {
      if (const auto* serverCommand = std::get_if<server_command>(&command.mCommand)) {
        Execute(command.mServer, *serverCommand);
      } else {
        Execute(std::get<platform_command>(command.mCommand));
      }
    }
  }
  mDispatching = false;
}

void standin_frontend::RunAfter(micros aDelay, std::function<void()> aAction)
{
  const auto timer = std::make_shared<boost::asio::steady_timer>(mIo, aDelay);
  timer->async_wait([timer, action = std::move(aAction)](const boost::system::error_code& aError) {
    if (!aError) {
      action();
    }
  });
}

std::vector<record> standin_frontend::FindRecords(const reply_records& aReply) const
{
  if (aReply.mCall.mOperation == operation::Submit) {
    const auto id = aReply.mCall.mFilter.find("id");
    return { { id == aReply.mCall.mFilter.end() ? "" : id->second,
               { { "request_key", aReply.mCall.mRequestKey } } } };
  }
  const auto store = mInput.mRecords.find(aReply.mCall.mPool);
  return store == mInput.mRecords.end()
           ? std::vector<record>()
           : Search(*store->second, aReply.mVersion.mVersion, aReply.mRanges, aReply.mCall.mFilter);
}

void standin_frontend::Execute(const std::string& aServer, const server_command& aCommand)
{
  http_server& server = *mServers.at(aServer);
  if (const auto* serve = std::get_if<serve_connection>(&aCommand)) {
    server.Serve(serve->mConnection, serve->mDelay);
  } else if (const auto* drop = std::get_if<drop_connection>(&aCommand)) {
    server.Drop(drop->mConnection);
  } else if (const auto* stop = std::get_if<stop_listening>(&aCommand)) {
    std::clog << "standin: " << stop->mInstance << " " << stop->mCause << std::endl;
    server.Close();
  } else if (std::holds_alternative<start_listening>(aCommand)) {
    if (!server.Listen()) {
      RunAfter(std::chrono::milliseconds(100),
               [this, aServer] { Execute(aServer, server_command(start_listening{})); });
    }
  } else if (const auto* schedule = std::get_if<schedule_event>(&aCommand)) {
    RunAfter(schedule->mDelay, [this, aServer, event = schedule->mEvent] {
      std::visit([&](const auto& aEvent) { Post(aServer, aEvent); }, event);
    });
  } else if (const auto* records = std::get_if<reply_records>(&aCommand)) {
    http_reply reply = JsonReply(200, WriteRecords(*records, FindRecords(*records)));
    reply.mTruncated = records->mFault == bad_reply::Truncated;
    server.Reply(records->mConnection, std::move(reply));
  } else if (const auto* refusal = std::get_if<reply_refusal>(&aCommand)) {
    server.Reply(refusal->mConnection, JsonReply(503, WriteRefusal(*refusal)));
  } else if (const auto* cancel = std::get_if<reply_cancel>(&aCommand)) {
    server.Reply(cancel->mConnection, JsonReply(200, "{}"));
  } else if (const auto* health = std::get_if<reply_health>(&aCommand)) {
    server.Reply(health->mConnection, JsonReply(200, WriteHealth(*health)));
  }
}

void standin_frontend::Execute(const platform_command& aCommand)
{
  if (const auto* table = std::get_if<reply_table>(&aCommand)) {
    http_reply reply = TextReply(table->mStatus, "simulated error");
    if (table->mStatus != 500) {
      reply.mContentType = "application/yaml";
      reply.mBody = table->mTable.mText ? *table->mTable.mText : "";
      reply.mHeaders["Table-Revision"] = std::to_string(table->mTable.mRevision);
    }
    RunAfter(table->mDelay, [this, request = table->mRequest, reply = std::move(reply)] {
      mPlatform->Reply(request, reply);
    });
  } else if (const auto* watch = std::get_if<schedule_watch_timeout>(&aCommand)) {
    RunAfter(watch->mDelay,
             [this, event = watch_timed_out{ watch->mRequest }] { PostPlatform(event); });
  } else if (const auto* setListening = std::get_if<set_platform_listening>(&aCommand)) {
    if (!setListening->mOpen) {
      mPlatform->Close();
    } else if (!mPlatform->Listen()) {
      RunAfter(std::chrono::milliseconds(100),
               [this, command = *setListening] { Execute(platform_command(command)); });
    }
  }
}

std::string standin_frontend::ZoneOf(const std::string& aVm) const
{
  const auto found = mVmZones.find(aVm);
  return found == mVmZones.end() ? "" : found->second;
}

void standin_frontend::OnServerRequest(const std::string& aServer,
                                       std::uint64_t aConnection,
                                       const http_request& aRequest)
{
  http_server& server = *mServers.at(aServer);
  if (aRequest.mMethod == "POST" && aRequest.mTarget == "/v1/part") {
    result<received_part_request> call = ReadPart(aRequest.mBody);
    if (!call) {
      server.Reply(aConnection, TextReply(400, Describe(call.mReason)));
      return;
    }
    // VMs are added at run time, so the zones are read again from each newly published list.
    const published_table& vms = mBoard.Platform()->mTables.at(table_kind::Vms);
    if (vms != mZoneSource) {
      mZoneSource = vms;
      if (const auto list = ParseVmList(*vms.mText, "")) {
        for (const vm_spec& vm : list->mVms) {
          mVmZones[vm.mName] = vm.mZone;
        }
      }
    }
    call.mValue->mCallerZone = ZoneOf(CallerVm(call->mAttempt));
    Post(aServer, part_arrived{ aConnection, *call });
  } else if (aRequest.mMethod == "POST" && aRequest.mTarget == "/v1/cancel") {
    const result<std::string> attempt = ReadCancel(aRequest.mBody);
    if (!attempt) {
      server.Reply(aConnection, TextReply(400, Describe(attempt.mReason)));
      return;
    }
    Post(aServer, cancel_arrived{ aConnection, *attempt });
  } else if (aRequest.mMethod == "GET" && aRequest.mTarget == "/v1/health") {
    Post(aServer, health_requested{ aConnection });
  } else {
    server.Reply(aConnection, TextReply(404, aRequest.mTarget + " not found"));
  }
}

void standin_frontend::OnPlatformRequest(std::uint64_t aConnection, const http_request& aRequest)
{
  const auto kind = ParseTableKind(aRequest.mTarget);
  if (!kind) {
    mPlatform->Reply(aConnection, TextReply(404, aRequest.mTarget + " not found"));
  } else if (aRequest.mMethod != "GET") {
    mPlatform->Reply(aConnection, TextReply(405, "the configuration service is read-only"));
  } else {
    // A watch waits at most one minute.
    const auto wait =
      std::min<std::uint64_t>(QueryParameter(aRequest.mTarget, "wait_ms").value_or(0), 60'000);
    PostPlatform(table_requested{ aConnection,
                                  *kind,
                                  QueryParameter(aRequest.mTarget, "after"),
                                  std::chrono::milliseconds(wait) });
  }
}

void standin_frontend::OnAdminRequest(std::uint64_t aConnection, const http_request& aRequest)
{
  if (aRequest.mMethod == "GET" && aRequest.mTarget == "/admin/state") {
    mAdmin->Reply(aConnection, JsonReply(200, WriteState(mBoard, Now())));
    return;
  }
  if (aRequest.mMethod != "POST") {
    mAdmin->Reply(aConnection, TextReply(404, aRequest.mTarget + " not found"));
    return;
  }
  const result<admin_change> change = ReadAdminRequest(aRequest.mTarget, aRequest.mBody, mBoard);
  if (!change) {
    mAdmin->Reply(aConnection, TextReply(400, Describe(change.mReason)));
    return;
  }
  for (const auto& [name, event] : change->mServers) {
    Post(name, event);
  }
  for (const platform_event& event : change->mPlatform) {
    PostPlatform(event);
  }
  if (change->mResetRuns) {
    mBoard.ResetRuns();
  }
  mAdmin->Reply(aConnection, JsonReply(200, "{}"));
}

} // namespace redwingdock::standin
