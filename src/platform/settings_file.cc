#include "platform/settings_file.h"

#include "base/command_line.h"
#include "daemon/logging.h"

#include <utility>

namespace redwingdock::platform {

namespace {

// Keeps a change without a signal within the limit for configuration changes to take effect (3 s).
constexpr micros kLookInterval = std::chrono::seconds(2);

void LogReload(log_level aLevel, const std::string& aOutcome)
{
  Log({ aLevel, "entry", "event=reload outcome=" + aOutcome });
}

} // namespace

settings_file::settings_file(io_loop& aLoop,
                             std::string aPath,
                             edge_settings aInForce,
                             changed_hook aOnChanged)
  : mLoop(aLoop)
  , mPath(std::move(aPath))
  , mOnChanged(std::move(aOnChanged))
  , mInForce(std::move(aInForce))
{
}

void settings_file::Start()
{
  const result<std::string> text = ReadFile(mPath);
  {
    const std::lock_guard lock(mLock);
    mText = text ? *text : "";
  }
  mLoop.After(kLookInterval, [this] { Look(); });
}

void settings_file::Look()
{
  const result<std::string> text = ReadFile(mPath);
  bool changed = false;
  {
    const std::lock_guard lock(mLock);
    changed = text && *text != mText;
  }
  if (changed) {
    Reload();
  }
  mLoop.After(kLookInterval, [this] { Look(); });
}

void settings_file::Reload()
{
  const result<std::string> text = ReadFile(mPath);
  if (!text) {
    LogReload(log_level::Warning, "refused reason=\"" + Describe(text.mReason) + "\"");
    return;
  }
  Apply(*text);
}

void settings_file::Apply(const std::string& aText)
{
  const result<edge_settings> read = ParseEdgeSettings(aText, mPath);
  const std::lock_guard lock(mLock);
  mText = aText;
  if (!read) {
    LogReload(log_level::Warning, "refused reason=\"" + Describe(read.mReason) + "\"");
    return;
  }
  edge_settings kept = *read;
  kept.mCore.mForward = mInForce.mCore.mForward;
  // The daemon chooses these two at its start; the file does not contain them.
  kept.mCore.mIncarnation = mInForce.mCore.mIncarnation;
  kept.mCore.mRandomSeed = mInForce.mCore.mRandomSeed;
  const char* restart = kept == mInForce ? "" : " rest=needs_restart";
  if (read->mCore.mForward == mInForce.mCore.mForward) {
    LogReload(log_level::Info, std::string("unchanged") + restart);
    return;
  }
  mInForce.mCore.mForward = read->mCore.mForward;
  LogReload(log_level::Info, std::string("changed") + restart);
  mOnChanged(mInForce.mCore.mForward);
}

} // namespace redwingdock::platform
