#include "forward/gather.h"

#include <gtest/gtest.h>

namespace redwingdock {
namespace {

struct gather_row
{
  const char* mGuardsAgainst;
  std::vector<std::string> mParts;
  std::uint32_t mLimit;
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
  EXPECT_EQ(MergeGreatestRecords(parts, GetParam().mLimit), GetParam().mMerged)
    << GetParam().mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  gather_test,
  testing::Values(
    gather_row{ "records are merged in the order of the parts",
                { Record('b') + Record('a'), Record('c') },
                2,
                Record('c') + Record('b') },
    gather_row{ "fewer records than the limit are read out of bounds",
                { Record('a') },
                5,
                Record('a') },
    gather_row{ "duplicates are dropped",
                { Record('a'), Record('a') },
                2,
                Record('a') + Record('a') },
    gather_row{ "an incomplete record is merged", { Record('a') + "zzzz" }, 2, Record('a') },
    gather_row{ "bytes above 127 compare as negative",
                { Record('\x7f') + Record('\xff') },
                2,
                Record('\xff') + Record('\x7f') },
    gather_row{ "empty parts yield records", { "", "" }, 3, "" }));

} // namespace
} // namespace redwingdock
