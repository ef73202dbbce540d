#include "daemon/client_choice.h"

#include <gtest/gtest.h>

namespace redwingdock {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kKilobyte = 1000;
constexpr std::size_t kMegabyte = 1000 * kKilobyte;

struct holding_row
{
  const char* mGuardsAgainst;
  std::vector<client_holding> mHoldings; // with the session as their number
  std::size_t mBytes;
  std::vector<std::uint64_t> mChosen;
};

class holding_test : public testing::TestWithParam<holding_row>
{};

TEST_P(holding_test, GivesUpWhatIsHeldLongest)
{
  const holding_row& row = GetParam();
  std::vector<std::uint64_t> chosen;
  for (const client_holding& each : ChooseHoldings(row.mHoldings, row.mBytes)) {
    chosen.push_back(each.mSession);
  }
  EXPECT_EQ(chosen, row.mChosen) << row.mGuardsAgainst;
}

client_holding Holding(std::uint64_t aSession, std::size_t aBytes, std::size_t aMoved, micros aAge)
{
  return { 0, aSession, aBytes, aMoved, aAge };
}

INSTANTIATE_TEST_SUITE_P(
  rows,
  holding_test,
  testing::Values(holding_row{ "a client is chosen although nothing has to be freed",
                               { Holding(1, kMegabyte, 0, seconds(9)) },
                               0,
                               {} },
                  holding_row{ "a steady reader of a long reply goes before one that stalls",
                               { Holding(1, 2 * kMegabyte, kMegabyte, seconds(5)),
                                 Holding(2, 300 * kKilobyte, 0, seconds(5)) },
                               1,
                               { 2 } },
                  holding_row{ "a steady reader goes before one that takes a byte now and then",
                               { Holding(1, 2 * kMegabyte, 4 * kMegabyte, seconds(20)),
                                 Holding(2, 300 * kKilobyte, 20, seconds(20)) },
                               1,
                               { 2 } },
                  holding_row{ "of clients that have just begun a small one is chosen",
                               { Holding(1, 10 * kKilobyte, 0, milliseconds(0)),
                                 Holding(2, kMegabyte, 0, milliseconds(0)) },
                               1,
                               { 2 } },
                  holding_row{
                    "the newest of equal clients is chosen, not the one that has moved least",
                    { Holding(1, kMegabyte, 0, milliseconds(10)),
                      Holding(2, kMegabyte, 0, seconds(3)) },
                    1,
                    { 2 } },
                  holding_row{ "more is given up than needed",
                               { Holding(1, kMegabyte, 0, seconds(1)),
                                 Holding(2, kMegabyte, 0, seconds(2)),
                                 Holding(3, kMegabyte, 0, seconds(3)) },
                               kMegabyte + 1,
                               { 3, 2 } },
                  holding_row{ "too few holdings are taken for enough",
                               { Holding(1, kKilobyte, 0, seconds(1)) },
                               kMegabyte,
                               { 1 } }));

struct connection_row
{
  const char* mGuardsAgainst;
  std::vector<client_connection> mConnections;
  std::size_t mCount;
  std::vector<std::uint64_t> mChosen;
};

class connection_test : public testing::TestWithParam<connection_row>
{};

TEST_P(connection_test, ClosesWhatIsMissedLeast)
{
  const connection_row& row = GetParam();
  std::vector<std::uint64_t> chosen;
  for (const client_connection& each : ChooseConnections(row.mConnections, row.mCount)) {
    chosen.push_back(each.mSession);
  }
  EXPECT_EQ(chosen, row.mChosen) << row.mGuardsAgainst;
}

client_connection Connection(std::uint64_t aSession, connection_use aUse, seconds aLastActive)
{
  return { aUse, instant(aLastActive), aSession };
}

INSTANTIATE_TEST_SUITE_P(
  rows,
  connection_test,
  testing::Values(
    connection_row{ "a client that says nothing outlives one that has been served",
                    { Connection(1, connection_use::Idle, seconds(1)),
                      Connection(2, connection_use::Unused, seconds(9)) },
                    1,
                    { 2 } },
    connection_row{ "a recently used connection goes before one that was idle longest",
                    { Connection(1, connection_use::Idle, seconds(8)),
                      Connection(2, connection_use::Idle, seconds(1)),
                      Connection(3, connection_use::Idle, seconds(9)) },
                    2,
                    { 2, 1 } },
    connection_row{ "a request that arrives in parts goes before an idle connection",
                    { Connection(1, connection_use::Partial, seconds(1)),
                      Connection(2, connection_use::Idle, seconds(9)) },
                    1,
                    { 2 } },
    connection_row{ "a reply on its way goes before a request that is not answered yet",
                    { Connection(1, connection_use::Sending, seconds(1)),
                      Connection(2, connection_use::Partial, seconds(9)) },
                    1,
                    { 2 } },
    connection_row{ "an answer that is owed is not given",
                    { Connection(1, connection_use::Open, seconds(1)) },
                    1,
                    {} }));

} // namespace
} // namespace redwingdock
