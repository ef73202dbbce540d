#include "daemon/port_check.h"

#include <memory>
#include <mutex>
#include <utility>

namespace redwingdock {

namespace {

// The connection may open before Connect has returned, on another thread.
struct port_check
{
  std::mutex mLock;
  std::shared_ptr<tcp_connection> mConnection; // null after the end
  bool mOpened = false;

  void CloseIfOpen()
  {
    const std::lock_guard lock(mLock);
    if (mOpened && mConnection) {
      mConnection->Close("port checked");
    }
  }
};

} // namespace

void CheckPort(io_loop& aLoop,
               const std::string& aAddress,
               micros aTimeout,
               std::function<void(port_status)> aDone)
{
  auto check = std::make_shared<port_check>();
  tcp_hooks hooks;
  hooks.mOnOpen = [check] {
    {
      const std::lock_guard lock(check->mLock);
      check->mOpened = true;
    }
    check->CloseIfOpen();
  };
  hooks.mOnClosed = [check, done = std::move(aDone)](const tcp_close_info& aInfo) {
    bool opened = false;
    {
      const std::lock_guard lock(check->mLock);
      opened = check->mOpened;
      check->mConnection.reset(); // the hooks of the connection own the check
    }
    done(opened ? port_status::Open : aInfo.mRefused ? port_status::Closed : port_status::Unknown);
  };
  auto connection = Connect(aLoop, aAddress, aTimeout, std::move(hooks));
  {
    const std::lock_guard lock(check->mLock);
    check->mConnection = std::move(connection);
  }
  check->CloseIfOpen();
}

} // namespace redwingdock
