#include "daemon/port_check.h"

#include <future>
#include <gtest/gtest.h>

namespace redwingdock {
namespace {

struct port_row
{
  const char* mGuardsAgainst;
  // Returns the address to check. The listener, if any, is kept in the argument.
  std::function<std::string(io_loop&, std::shared_ptr<tcp_listener>&)> mPrepare;
  port_status mStatus;
};

class port_check_test : public testing::TestWithParam<port_row>
{};

std::shared_ptr<tcp_listener> ListenAnywhere(io_loop& aLoop)
{
  return *Listen(aLoop, "127.0.0.1:0", [](const std::shared_ptr<tcp_connection>& aConnection) {
    aConnection->Close("test");
  });
}

TEST_P(port_check_test, ReportsTheStatusOnce)
{
  io_loop loop(2);
  std::shared_ptr<tcp_listener> listener;
  const std::string address = GetParam().mPrepare(loop, listener);
  loop.Start();
  std::promise<port_status> done;
  CheckPort(loop, address, std::chrono::milliseconds(500), [&done](port_status aStatus) {
    done.set_value(aStatus);
  });
  EXPECT_EQ(done.get_future().get(), GetParam().mStatus) << GetParam().mGuardsAgainst;
  loop.Stop();
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  port_check_test,
  testing::Values(port_row{ "a running process counts as ended",
                            [](io_loop& aLoop, std::shared_ptr<tcp_listener>& aListener) {
                              aListener = ListenAnywhere(aLoop);
                              return aListener->Address();
                            },
                            port_status::Open },
                  port_row{ "an ended process counts as running",
                            [](io_loop& aLoop, std::shared_ptr<tcp_listener>&) {
                              return ListenAnywhere(aLoop)->Address();
                            },
                            port_status::Closed },
                  port_row{
                    "an address that cannot be read counts as an ended process",
                    [](io_loop&, std::shared_ptr<tcp_listener>&) { return std::string("nowhere"); },
                    port_status::Unknown }));

} // namespace
} // namespace redwingdock
