#include "daemon/http_text.h"
#include "testing/fuzz_settings.h"

#include <algorithm>
#include <cctype>
#include <gtest/gtest.h>
#include <optional>
#include <random>

// Compares the reader with a strict one of this file, which shares no code with it, on mutated
// heads.

namespace redwingdock {
namespace {

constexpr char kDigits[] = "0123456789";
constexpr char kTokenBytes[] = "!#$%&'*+-.^_`|~0123456789"
                               "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ";

bool Consists(std::string_view aText, const char* aOf)
{
  return !aText.empty() && aText.find_first_not_of(aOf) == std::string_view::npos;
}

// Whether each byte may stand in the value of a field or in the reason of a status.
bool IsText(std::string_view aText)
{
  return std::all_of(aText.begin(), aText.end(), [](unsigned char aByte) {
    return aByte == '\t' || (aByte >= ' ' && aByte != 0x7f);
  });
}

std::string_view WithoutBlanks(std::string_view aText)
{
  const std::size_t first = aText.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(" \t") - first + 1);
}

struct strict_head
{
  unsigned mStatus = 0;
  bool mIsVersion11 = false;
  std::vector<http_field> mFields;
};

// Takes the line up to the next CRLF off the text; nullopt if there is none.
std::optional<std::string_view> TakeLine(std::string_view& aText)
{
  const std::size_t end = aText.find("\r\n");
  if (end == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view line = aText.substr(0, end);
  aText.remove_prefix(end + 2);
  return line;
}

std::optional<http_field> StrictField(std::string_view aLine)
{
  const std::size_t colon = aLine.find(':');
  if (colon == std::string_view::npos || !Consists(aLine.substr(0, colon), kTokenBytes)) {
    return std::nullopt;
  }
  const std::string_view value = WithoutBlanks(aLine.substr(colon + 1));
  if (!IsText(value)) {
    return std::nullopt;
  }
  return http_field{ std::string(aLine.substr(0, colon)), std::string(value) };
}

// Takes a head off the text by the grammar of RFC 9112, without any of its allowances for broken
// senders.
std::optional<strict_head> TakeStrictHead(std::string_view& aText)
{
  const std::optional<std::string_view> first = TakeLine(aText);
  constexpr std::size_t kReasonAt = 13; // behind "HTTP/1.1 200 "
  if (!first || first->size() < kReasonAt || (*first)[8] != ' ' || (*first)[12] != ' ' ||
      !(first->starts_with("HTTP/1.1") || first->starts_with("HTTP/1.0")) ||
      !Consists(first->substr(9, 3), kDigits) || !IsText(first->substr(kReasonAt))) {
    return std::nullopt;
  }
  strict_head head;
  head.mStatus = static_cast<unsigned>(std::stoul(std::string(first->substr(9, 3))));
  head.mIsVersion11 = first->starts_with("HTTP/1.1");
  while (const std::optional<std::string_view> line = TakeLine(aText)) {
    if (line->empty()) {
      return head;
    }
    const std::optional<http_field> field = StrictField(*line);
    if (!field) {
      return std::nullopt;
    }
    head.mFields.push_back(*field);
  }
  return std::nullopt;
}

std::vector<std::string> ValuesOf(const strict_head& aHead, std::string_view aName)
{
  std::vector<std::string> values;
  for (const http_field& field : aHead.mFields) {
    if (EqualFieldNames(field.mName, aName)) {
      values.push_back(field.mValue);
    }
  }
  return values;
}

// The one length that all fields state; nullopt if they differ or are no numbers.
std::optional<std::size_t> StrictLength(const std::vector<std::string>& aValues)
{
  std::optional<std::size_t> length;
  for (const std::string& value : aValues) {
    std::size_t at = 0;
    while (at <= value.size()) {
      const std::size_t comma = std::min(value.find(',', at), value.size());
      const std::string each(WithoutBlanks(std::string_view(value).substr(at, comma - at)));
      if (!Consists(each, kDigits) || each.size() > 9) {
        return std::nullopt;
      }
      const std::size_t parsed = std::stoul(each);
      if (length && *length != parsed) {
        return std::nullopt;
      }
      length = parsed;
      at = comma + 1;
    }
  }
  return length;
}

bool StatesNoBody(const strict_head& aHead)
{
  const std::vector<std::string> lengths = ValuesOf(aHead, "Content-Length");
  return lengths.empty() || StrictLength(lengths) == 0U;
}

// The body in chunks, if the text is exactly its framing, up to a trailer of any fields.
std::optional<std::string> StrictChunks(std::string_view aText)
{
  std::string body;
  while (const std::optional<std::string_view> line = TakeLine(aText)) {
    const std::string digits(line->substr(0, line->find_first_of("; \t")));
    if (!Consists(digits, "0123456789abcdefABCDEF") || digits.size() > 8 || !IsText(*line)) {
      return std::nullopt;
    }
    const std::size_t size = std::stoul(digits, nullptr, 16);
    if (size == 0) {
      const bool ends = aText == "\r\n" || aText.ends_with("\r\n\r\n");
      return ends ? std::optional(body) : std::nullopt;
    }
    if (aText.size() < size + 2 || aText.substr(size, 2) != "\r\n") {
      return std::nullopt;
    }
    body += aText.substr(0, size);
    aText.remove_prefix(size + 2);
  }
  return std::nullopt;
}

// Reads the text as exactly one reply, with the interim ones before it.
std::optional<http_message> StrictReply(std::string_view aText)
{
  std::optional<strict_head> head = TakeStrictHead(aText);
  while (head && head->mStatus >= 100 && head->mStatus <= 199 && head->mStatus != 101 &&
         ValuesOf(*head, "Transfer-Encoding").empty() && StatesNoBody(*head)) {
    head = TakeStrictHead(aText);
  }
  if (!head || head->mStatus < 200 || head->mStatus > 599) {
    return std::nullopt;
  }
  http_message message;
  message.mStatus = head->mStatus;
  message.mFields = head->mFields;
  const std::vector<std::string> codings = ValuesOf(*head, "Transfer-Encoding");
  const std::vector<std::string> lengths = ValuesOf(*head, "Content-Length");
  const bool chunked = codings.size() == 1 && EqualFieldNames(codings[0], "chunked");
  if (!codings.empty() && (!chunked || !head->mIsVersion11 || !lengths.empty())) {
    return std::nullopt;
  }
  if (!lengths.empty() && !StrictLength(lengths)) {
    return std::nullopt;
  }
  if (message.mStatus == 204 || message.mStatus == 304) {
    return aText.empty() ? std::optional(message) : std::nullopt;
  }
  if (!chunked) {
    message.mBody = aText;
    return lengths.empty() || aText.size() == *StrictLength(lengths) ? std::optional(message)
                                                                     : std::nullopt;
  }
  std::optional<std::string> body = StrictChunks(aText);
  if (!body) {
    return std::nullopt;
  }
  message.mBody = std::move(*body);
  return message;
}

// Only the order of fields with the same name has a meaning (RFC 9110, section 5.3).
std::vector<http_field> SortedByName(std::vector<http_field> aFields)
{
  std::stable_sort(
    aFields.begin(), aFields.end(), [](const http_field& aFirst, const http_field& aSecond) {
      return std::lexicographical_compare(aFirst.mName.begin(),
                                          aFirst.mName.end(),
                                          aSecond.mName.begin(),
                                          aSecond.mName.end(),
                                          [](unsigned char aLeft, unsigned char aRight) {
                                            return std::tolower(aLeft) < std::tolower(aRight);
                                          });
    });
  return aFields;
}

struct fuzz_row
{
  const char* mName;
  std::string mMutated; // the head, or more
  std::string mRest;
};

class reader_fuzz_test : public testing::TestWithParam<fuzz_row>
{};

// Parts that mutations insert: each has a meaning at some place in a head.
const std::vector<std::string> kParts = { " ",
                                          "\t",
                                          "\r",
                                          "\n",
                                          "\r\n",
                                          "\r\n ",
                                          "\r\n\t",
                                          "\r\n : ",
                                          ":",
                                          ",",
                                          ";",
                                          "000",
                                          "042",
                                          "099",
                                          "103",
                                          "600",
                                          "999",
                                          "1.0",
                                          "foo",
                                          "chunked",
                                          "gzip, ",
                                          ", identity",
                                          "HTTP/1.1 100 Continue\r\n\r\n",
                                          "HTTP/1.1 101 X\r\nUpgrade: x\r\n\r\n",
                                          "Transfer-Encoding: foo\r\n",
                                          "Transfer-Encoding: chunked\r\n",
                                          "Transfer-Encoding:\r\n",
                                          "Content-Length: 2\r\n",
                                          "Content-Length: +2\r\n",
                                          "Signature: t\r\n",
                                          std::string(1, '\0'),
                                          "\x7f",
                                          "\xe9" };

std::string Mutated(std::string aText, std::mt19937_64& aRandom)
{
  const auto below = [&aRandom](std::size_t aLimit) { return aRandom() % aLimit; };
  for (std::size_t count = 1 + below(3); count > 0; --count) {
    const std::size_t at = below(aText.size() + 1);
    const std::size_t length = std::min<std::size_t>(below(8), aText.size() - at);
    const std::size_t lineStart = aText.rfind('\n', at);
    switch (below(6)) {
      case 0:
        aText.erase(at, length);
        break;
      case 1:
        aText.insert(at, kParts[below(kParts.size())]);
        break;
      case 2:
        aText.replace(at, length, kParts[below(kParts.size())]);
        break;
      case 3: // at the start of a line
        aText.insert(lineStart == std::string::npos ? 0 : lineStart + 1,
                     kParts[below(kParts.size())]);
        break;
      case 4: // the status
        aText.replace(
          std::min<std::size_t>(9, aText.size()),
          std::min<std::size_t>(3, aText.size() - std::min<std::size_t>(9, aText.size())),
          std::to_string(below(1200)));
        break;
      default:
        if (at < aText.size()) {
          aText[at] = static_cast<char>(below(256));
        }
    }
  }
  return aText;
}

// Guards against a broken reply that is passed on: what the reader accepts, a strict one reads too,
// and as the same message.
TEST_P(reader_fuzz_test, AcceptsOnlyWhatAStrictReaderAccepts)
{
  const auto [runs, seed] = testing_support::ReadFuzzSettings();
  std::mt19937_64 random(seed);
  std::uint64_t accepted = 0;
  for (std::uint64_t run = 0; run < runs && !HasFailure(); ++run) {
    const std::string bytes = Mutated(GetParam().mMutated, random) + GetParam().mRest;
    const std::size_t step = 1 + random() % 40;
    http_reader reader(http_side::Client, { 4096, 1024 });
    http_read_status status = http_read_status::NeedMore;
    std::size_t at = 0;
    while (at < bytes.size() && status == http_read_status::NeedMore) {
      const std::size_t size = std::min(step, bytes.size() - at);
      status = reader.Feed(std::string_view(bytes).substr(at, size));
      at += size;
    }
    if (status == http_read_status::NeedMore) {
      status = reader.FeedEof();
    }
    if (status != http_read_status::Complete) {
      continue;
    }
    ++accepted;
    const http_message message = reader.Take();
    const std::optional<http_message> strict =
      StrictReply(std::string_view(bytes).substr(0, at - reader.Buffered()));
    ASSERT_TRUE(strict) << GetParam().mName << ", run " << run << ": "
                        << testing::PrintToString(bytes);
    EXPECT_EQ(message.mStatus, strict->mStatus) << testing::PrintToString(bytes);
    EXPECT_EQ(SortedByName(message.mFields), SortedByName(strict->mFields))
      << testing::PrintToString(bytes);
    EXPECT_EQ(message.mBody, strict->mBody) << testing::PrintToString(bytes);
  }
  // A reader that refuses everything would pass otherwise.
  EXPECT_GE(accepted, runs / 100) << GetParam().mName;
}

INSTANTIATE_TEST_SUITE_P(
  replies,
  reader_fuzz_test,
  testing::Values(fuzz_row{ "length",
                            "HTTP/1.1 200 OK\r\nRequest-Id: 9c\r\nSignature: s.1\r\n"
                            "Keep-Alive: timeout=4\r\nContent-Length: 2\r\n\r\n",
                            "ok" },
                  fuzz_row{ "chunks",
                            "HTTP/1.1 200 OK\r\nRequest-Id: 9c\r\nSignature: s.1\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n",
                            "2;a=b\r\nok\r\n0\r\nSignature: late\r\n\r\n" },
                  fuzz_row{
                    "framing of chunks",
                    "HTTP/1.1 200 OK\r\nSignature: s.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "2;a=b\r\nok\r\n3\r\nabc\r\n0\r\nSignature: late\r\n\r\n",
                    "" },
                  fuzz_row{ "end of the connection",
                            "HTTP/1.1 200 OK\r\nRequest-Id: 9c\r\nSignature: s.1\r\n\r\n",
                            "2\r\nok\r\n0\r\n\r\n" },
                  fuzz_row{ "rejection",
                            "HTTP/1.1 503 X\r\nX-Refused: 1\r\nRetry-After: 0.5\r\n"
                            "Connection: close\r\nContent-Length: 0\r\n\r\n",
                            "" },
                  fuzz_row{ "interim reply",
                            "HTTP/1.1 103 Early Hints\r\nSignature: early\r\n\r\n"
                            "HTTP/1.1 200 OK\r\nSignature: s.1\r\nContent-Length: 2\r\n\r\n",
                            "ok" }));

} // namespace
} // namespace redwingdock
