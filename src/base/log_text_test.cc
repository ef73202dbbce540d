#include "base/log_text.h"

#include <gtest/gtest.h>

namespace redwingdock {
namespace {

struct quoted_row
{
  const char* mGuardsAgainst;
  std::string mText;
  std::string mQuoted;
};

class quoted_test : public testing::TestWithParam<quoted_row>
{};

TEST_P(quoted_test, IsEscaped)
{
  EXPECT_EQ(Quoted(GetParam().mText), GetParam().mQuoted) << GetParam().mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  quoted_test,
  testing::Values(
    quoted_row{ "the usual text is altered", "9c41 d=7", "\"9c41 d=7\"" },
    quoted_row{ "a text ends its field", "a\" outcome=\"b", "\"a\\\" outcome=\\\"b\"" },
    quoted_row{ "a backslash escapes the closing quote", "a\\", "\"a\\\\\"" },
    quoted_row{ "a text begins a new line", "a\nb\r", "\"a\\x0ab\\x0d\"" },
    quoted_row{ "bytes that are not ASCII are written", "\xff\x7f", "\"\\xff\\x7f\"" },
    quoted_row{ "a long text fills the log",
                std::string(1'000'000, 'x'),
                "\"" + std::string(300, 'x') + "...\"" }));

} // namespace
} // namespace redwingdock
