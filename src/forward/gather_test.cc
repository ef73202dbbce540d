#include "forward/gather.h"

#include <gtest/gtest.h>

namespace redwingdock {
namespace {

struct gather_row
{
  const char* mGuardsAgainst;
  std::vector<std::string> mParts;
  std::uint32_t mMost;
  std::string mMerged;
};

std::string Record(char aFirst)
{
  std::string record(kRecordBytes, '0');
  record[0] = aFirst;
  return record;
}

class gather_test : public testing::TestWithParam<gather_row>
{};

TEST_P(gather_test, Merged)
{
  std::vector<reply_pointer> parts;
  for (const std::string& body : GetParam().mParts) {
    forward_reply part;
    part.mBody = body;
    parts.push_back(std::make_shared<const forward_reply>(part));
  }
  EXPECT_EQ(GreatestRecords(parts, GetParam().mMost), GetParam().mMerged)
    << GetParam().mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  gather_test,
  testing::Values(
    gather_row{ "parts in another order",
                { Record('b') + Record('a'), Record('c') },
                2,
                Record('c') + Record('b') },
    gather_row{ "fewer records than wanted", { Record('a') }, 5, Record('a') },
    gather_row{ "equal records count once",
                { Record('a'), Record('a') },
                2,
                Record('a') + Record('a') },
    gather_row{ "a remainder counts as a record", { Record('a') + "zzzz" }, 2, Record('a') },
    gather_row{ "bytes above 127 sort first",
                { Record('\x7f') + Record('\xff') },
                2,
                Record('\xff') + Record('\x7f') },
    gather_row{ "empty parts", { "", "" }, 3, "" }));

} // namespace
} // namespace redwingdock
