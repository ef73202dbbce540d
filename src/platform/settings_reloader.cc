#include "platform/settings_reloader.h"

#include "base/command_line.h"
#include "daemon/logging.h"

#include <utility>

namespace redwingdock::platform {

namespace {

// Keeps a change without a signal within the limit for configuration changes to take effect (3 s).
constexpr micros kCheckInterval = std::chrono::seconds(2);

void LogReload(log_level aLevel, const std::string& aOutcome)
{
  Log({ aLevel, "entry", "event=reload outcome=" + aOutcome });
}

} // namespace

settings_reloader::settings_reloader(io_loop& aLoop,
                                     std::string aPath,
                                     edge_settings aCurrent,
                                     changed_hook aOnChanged)
  : mLoop(aLoop)
  , mPath(std::move(aPath))
  , mOnChanged(std::move(aOnChanged))
  , mGrace(aCurrent.mGrace)
  , mCurrent(std::move(aCurrent))
{
}

void settings_reloader::Start()
{
  const result<std::string> text = ReadFile(mPath);
  {
    const std::lock_guard lock(mLock);
    mLastContent = text ? *text : "";
  }
  mLoop.After(kCheckInterval, [this] { CheckForChange(); });
}

void settings_reloader::CheckForChange()
{
  const result<std::string> text = ReadFile(mPath);
  bool changed = false;
  {
    const std::lock_guard lock(mLock);
    changed = text && *text != mLastContent;
  }
  if (changed) {
    Reload();
  }
  mLoop.After(kCheckInterval, [this] { CheckForChange(); });
}

void settings_reloader::Reload()
{
  const result<std::string> text = ReadFile(mPath);
  if (!text) {
    LogReload(log_level::Warning, "refused reason=\"" + Describe(text.mReason) + "\"");
    return;
  }
  Apply(*text);
}

void settings_reloader::Apply(const std::string& aText)
{
  const result<edge_settings> read = ParseEdgeSettings(aText, mPath, mGrace);
  const std::lock_guard lock(mLock);
  mLastContent = aText;
  if (!read) {
    LogReload(log_level::Warning, "refused reason=\"" + Describe(read.mReason) + "\"");
    return;
  }
  edge_settings comparable = *read;
  comparable.mCore.mForward = mCurrent.mCore.mForward;
  // The daemon chooses these two at its start; the file does not contain them.
  comparable.mCore.mIncarnation = mCurrent.mCore.mIncarnation;
  comparable.mCore.mRandomSeed = mCurrent.mCore.mRandomSeed;
  const char* restart = comparable == mCurrent ? "" : " rest=needs_restart";
  if (read->mCore.mForward == mCurrent.mCore.mForward) {
    LogReload(log_level::Info, std::string("unchanged") + restart);
    return;
  }
  mCurrent.mCore.mForward = read->mCore.mForward;
  LogReload(log_level::Info, std::string("changed") + restart);
  mOnChanged(mCurrent.mCore.mForward);
}

} // namespace redwingdock::platform
