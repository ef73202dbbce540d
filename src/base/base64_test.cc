#include "base/base64.h"

#include <gtest/gtest.h>

namespace redwingdock {
namespace {

struct base64_row
{
  const char* mGuardsAgainst;
  std::string mText;
  std::optional<std::string> mBytes;
};

class base64_test : public testing::TestWithParam<base64_row>
{};

TEST_P(base64_test, BothWays)
{
  const base64_row& row = GetParam();
  EXPECT_EQ(FromBase64(row.mText), row.mBytes) << row.mGuardsAgainst;
  if (row.mBytes) {
    EXPECT_EQ(ToBase64(*row.mBytes), row.mText) << row.mGuardsAgainst;
  }
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  base64_test,
  testing::Values(base64_row{ "no bytes", "", "" },
                  base64_row{ "two characters of padding", "Zg==", "f" },
                  base64_row{ "one character of padding", "Zm8=", "fo" },
                  base64_row{ "no padding", "Zm9v", "foo" },
                  base64_row{ "bytes above 127 and zero", "AP8A", std::string("\0\xff\0", 3) },
                  base64_row{ "a character outside the alphabet", "Zm9!", std::nullopt },
                  base64_row{ "a truncated text", "Zm9", std::nullopt },
                  base64_row{ "padding inside the text", "Z=9v", std::nullopt },
                  base64_row{ "only padding", "====", std::nullopt }));

} // namespace
} // namespace redwingdock
