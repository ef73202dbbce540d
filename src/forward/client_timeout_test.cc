#include "forward/client_timeout.h"

#include <gtest/gtest.h>
#include <vector>

namespace redwingdock {
namespace {

using std::chrono::milliseconds;

struct client_timeout_row
{
  const char* mGuardsAgainst;
  std::vector<int> mBefore; // stated by earlier requests, ms
  int mStated;              // by this one, ms
  int mSpent;               // ms
};

class client_timeout_test : public testing::TestWithParam<client_timeout_row>
{};

TEST_P(client_timeout_test, EstimatesTimeBeforeArrival)
{
  client_timeout_record record;
  for (const int each : GetParam().mBefore) {
    record = WithClientTimeout(record, milliseconds(each));
  }
  EXPECT_EQ(TimeBeforeArrival(record, milliseconds(GetParam().mStated)),
            milliseconds(GetParam().mSpent))
    << GetParam().mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  client_timeout_test,
  testing::Values(
    client_timeout_row{ "the first request counts as late", {}, 785, 0 },
    client_timeout_row{ "a single sample is taken as the full timeout", { 800 }, 785, 0 },
    client_timeout_row{ "the time to open a connection is ignored", { 800, 800 }, 785, 15 },
    client_timeout_row{ "a second attempt gets the whole target",
                        { 800, 785, 800, 784 },
                        410,
                        390 },
    client_timeout_row{ "a request with all of its time counts as late",
                        { 800, 785, 800 },
                        800,
                        0 },
    client_timeout_row{ "one client with a long timeout makes all others late",
                        { 800, 9000, 800, 785, 800, 800, 786, 800 },
                        785,
                        15 },
    client_timeout_row{ "a client that states nothing counts as late", { 800, 800 }, 0, 0 },
    client_timeout_row{ "a timeout that clients no longer use still counts",
                        { 900, 900, 900, 900, 800, 800, 800, 800, 800, 800,
                          800, 800, 800, 800, 800, 800, 800, 800, 800, 800 },
                        785,
                        15 }));

} // namespace
} // namespace redwingdock
