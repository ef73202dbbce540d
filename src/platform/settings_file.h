#ifndef REDWINGDOCK_PLATFORM_SETTINGS_FILE_H
#define REDWINGDOCK_PLATFORM_SETTINGS_FILE_H

#include "daemon/tcp.h"
#include "platform/edge_settings.h"

#include <functional>
#include <mutex>
#include <string>

// Reads the settings file again after SIGHUP and when its text has changed without a signal.
//
//   settings_file file(loop, "boot.yaml", settings, [](const forward_config& aNew) { ... });
//   file.Start(); // looks at the file from time to time

namespace redwingdock::platform {

class settings_file
{
public:
  using changed_hook = std::function<void(const forward_config&)>;

  // aInForce are the settings that the file held at the start.
  settings_file(io_loop& aLoop, std::string aPath, edge_settings aInForce, changed_hook aOnChanged);
  settings_file(const settings_file&) = delete;
  settings_file& operator=(const settings_file&) = delete;

  void Start();

  // Calls the hook when the part that can change in a running daemon differs. Logs the outcome:
  // changed, unchanged, or refused with the line and key; settings that a running daemon cannot
  // change are named as such.
  void Reload();

private:
  void Look();
  void Apply(const std::string& aText);

  io_loop& mLoop;
  const std::string mPath;
  const changed_hook mOnChanged;

  std::mutex mLock;
  edge_settings mInForce;
  std::string mText; // that was read last
};

} // namespace redwingdock::platform

#endif
