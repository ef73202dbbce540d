#include "standin/board.h"

namespace redwingdock::standin {

namespace {

constexpr std::size_t kBoardShards = 16;
constexpr char kPlatformKey[] = "platform";
constexpr char kAttemptPrefix[] = "attempt/";
constexpr char kRequestKeyPrefix[] = "key/";

// Returns the counts of the entries that start with the prefix, keyed by the rest of the entry key.
std::map<std::string, std::uint64_t> ListRuns(const blackboard& aBoard,
                                              const std::string& aPrefix,
                                              std::uint64_t aMinRuns)
{
  std::map<std::string, std::uint64_t> runs;
  for (const auto& [key, count] : aBoard.List<run_count>()) {
    if (key.starts_with(aPrefix) && count->mRuns >= aMinRuns) {
      runs[key.substr(aPrefix.size())] = count->mRuns;
    }
  }
  return runs;
}

} // namespace

standin_board::standin_board()
  : mBoard(kBoardShards)
{
  mBoard.OnFact<posted_server_event>(
    [this](const std::string& aKey, const auto& aPosted) { OnServerEvent(aKey, aPosted); });
  mBoard.OnFact<posted_platform_event>(
    [this](const std::string& /*aKey*/, const auto& aPosted) { OnPlatformEvent(aPosted); });
  mBoard.OnFact<report_run>(
    [this](const std::string& aKey, const report_run& aRun) { OnRun(aKey, aRun); });
}

void standin_board::AddServer(server_state aState)
{
  const std::string name = aState.mSpec.mName;
  mBoard.Write(name, std::move(aState));
}

void standin_board::SetPlatform(platform_state aState)
{
  mBoard.Write(kPlatformKey, std::move(aState));
}

void standin_board::Post(const std::string& aServer, server_event aEvent, instant aNow)
{
  mBoard.Post(aServer, posted_server_event{ std::move(aEvent), aNow });
}

void standin_board::PostPlatform(platform_event aEvent, instant aNow)
{
  mBoard.Post(kPlatformKey, posted_platform_event{ std::move(aEvent), aNow });
}

void standin_board::OnServerEvent(const std::string& aServer, const posted_server_event& aPosted)
{
  std::vector<server_command> commands;
  mBoard.Update<server_state>(aServer, [&](const server_state* aState) {
    if (aState == nullptr) {
      return std::optional<server_state>();
    }
    server_step step = Step(*aState, aPosted.mEvent, aPosted.mNow);
    commands = std::move(step.mCommands);
    return std::optional(std::move(step.mState));
  });
  for (server_command& command : commands) {
    if (const auto* run = std::get_if<report_run>(&command)) {
      mBoard.Post(kAttemptPrefix + run->mAttempt, *run);
      if (!run->mRequestKey.empty()) {
        mBoard.Post(kRequestKeyPrefix + run->mRequestKey, *run);
      }
      continue;
    }
    const std::lock_guard<std::mutex> guard(mLock);
    mCommands.push_back({ aServer, std::move(command) });
  }
}

void standin_board::OnPlatformEvent(const posted_platform_event& aPosted)
{
  std::vector<platform_command> commands;
  mBoard.Update<platform_state>(kPlatformKey, [&](const platform_state* aState) {
    platform_step step =
      Step(aState == nullptr ? platform_state{} : *aState, aPosted.mEvent, aPosted.mNow);
    commands = std::move(step.mCommands);
    return std::optional(std::move(step.mState));
  });
  const std::lock_guard<std::mutex> guard(mLock);
  for (platform_command& command : commands) {
    mCommands.push_back({ "", std::move(command) });
  }
}

void standin_board::OnRun(const std::string& aKey, const report_run& /*aRun*/)
{
  mBoard.Update<run_count>(aKey, [](const run_count* aCount) {
    return std::optional(run_count{ aCount == nullptr ? 1 : aCount->mRuns + 1 });
  });
  if (!aKey.starts_with(kAttemptPrefix)) {
    return;
  }
  std::string oldest;
  {
    const std::lock_guard<std::mutex> guard(mLock);
    mRecordedAttempts.push_back(aKey);
    if (mRecordedAttempts.size() > kMaxRecordedAttempts) {
      oldest = std::move(mRecordedAttempts.front());
      mRecordedAttempts.pop_front();
    }
  }
  // Repeated attempts are kept, because only a faulty daemon causes many of them.
  if (!oldest.empty()) {
    const auto count = mBoard.Read<run_count>(oldest);
    if (count && count->mRuns == 1) {
      mBoard.Erase<run_count>(oldest);
    }
  }
}

std::vector<board_command> standin_board::TakeCommands()
{
  mBoard.RunUntilIdle();
  const std::lock_guard<std::mutex> guard(mLock);
  return std::exchange(mCommands, {});
}

std::shared_ptr<const server_state> standin_board::Server(const std::string& aName) const
{
  return mBoard.Read<server_state>(aName);
}

std::map<std::string, std::shared_ptr<const server_state>> standin_board::Servers() const
{
  return mBoard.List<server_state>();
}

std::shared_ptr<const platform_state> standin_board::Platform() const
{
  return mBoard.Read<platform_state>(kPlatformKey);
}

std::map<std::string, std::uint64_t> standin_board::KeyRuns() const
{
  return ListRuns(mBoard, kRequestKeyPrefix, 1);
}

std::map<std::string, std::uint64_t> standin_board::RepeatedAttempts() const
{
  return ListRuns(mBoard, kAttemptPrefix, 2);
}

void standin_board::ResetRuns()
{
  for (const auto& [key, count] : mBoard.List<run_count>()) {
    mBoard.Erase<run_count>(key);
  }
}

} // namespace redwingdock::standin
