#include "daemon/http_text.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace redwingdock {
namespace {

using namespace std::string_view_literals;

constexpr std::size_t kHeaderLimit = 2000;
constexpr std::size_t kBodyLimit = 5000;
constexpr std::size_t kReadSize = 1000;
// Bytes after which a message without end must have been refused. Chunks of one byte take six.
constexpr std::size_t kMaxBytes = kHeaderLimit + 6 * kBodyLimit + 2 * kReadSize;
// Bytes that may be kept of it besides the body.
constexpr std::size_t kMaxBuffered = kHeaderLimit + 2 * kReadSize;

struct endless_row
{
  const char* mGuardsAgainst;
  http_side mSide;
  std::string mStart;
  std::string mRepeated;
};

class endless_test : public testing::TestWithParam<endless_row>
{};

TEST_P(endless_test, IsRefusedWithinTheLimits)
{
  const endless_row& row = GetParam();
  http_reader reader(row.mSide, { kBodyLimit, kHeaderLimit });
  std::string bytes;
  while (bytes.size() < kReadSize) {
    bytes += row.mRepeated;
  }
  std::size_t fed = row.mStart.size();
  http_read_status status = reader.Feed(row.mStart);
  while (status == http_read_status::NeedMore && fed <= kMaxBytes) {
    status = reader.Feed(bytes);
    fed += bytes.size();
  }
  EXPECT_EQ(status, http_read_status::Failed) << row.mGuardsAgainst << " after " << fed;
  EXPECT_LE(reader.Buffered(), kMaxBuffered) << row.mGuardsAgainst;
}

constexpr char kChunked[] = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

INSTANTIATE_TEST_SUITE_P(
  cases,
  endless_test,
  testing::Values(
    endless_row{ "a first line without end is kept", http_side::Client, "", "x" },
    endless_row{ "a reason phrase without end is kept", http_side::Client, "HTTP/1.1 200 ", "x" },
    endless_row{ "empty lines without end are kept", http_side::Client, "", "\r\n" },
    endless_row{ "fields without end are kept",
                 http_side::Client,
                 "HTTP/1.1 200 OK\r\n",
                 "A: b\r\n" },
    endless_row{ "a field without end is kept", http_side::Client, "HTTP/1.1 200 OK\r\nA: ", "b" },
    endless_row{ "a body with a length over the limit is kept",
                 http_side::Client,
                 "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
                 "x" },
    endless_row{ "a body without length or end is kept",
                 http_side::Client,
                 "HTTP/1.1 200 OK\r\n\r\n",
                 "x" },
    endless_row{ "chunks without end are kept", http_side::Client, kChunked, "4\r\nabcd\r\n" },
    endless_row{ "a chunk without end is kept",
                 http_side::Client,
                 std::string(kChunked) + "ffffffff\r\n",
                 "x" },
    endless_row{ "a chunk size without end is kept", http_side::Client, kChunked, "0" },
    endless_row{ "a chunk extension without end is kept",
                 http_side::Client,
                 std::string(kChunked) + "4;a=",
                 "b" },
    endless_row{ "empty chunk extensions without end are kept",
                 http_side::Client,
                 std::string(kChunked) + "4",
                 ";a" },
    endless_row{ "trailer fields without end are kept",
                 http_side::Client,
                 std::string(kChunked) + "0\r\n",
                 "A: b\r\n" },
    endless_row{ "a trailer field without end is kept",
                 http_side::Client,
                 std::string(kChunked) + "0\r\nA: ",
                 "b" },
    endless_row{ "a request line without end is kept", http_side::Server, "GET /", "x" },
    endless_row{ "a chunk extension of a request without end is kept",
                 http_side::Server,
                 "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4;a=",
                 "b" }));

struct cut_row
{
  const char* mGuardsAgainst;
  std::string mHead;
  std::string mBody;
  bool mEndsWithConnection; // the body has no length
};

class cut_test : public testing::TestWithParam<cut_row>
{};

TEST_P(cut_test, IsCompleteOnlyAsAWhole)
{
  const std::string whole = GetParam().mHead + GetParam().mBody;
  const std::size_t least = GetParam().mEndsWithConnection ? GetParam().mHead.size() : whole.size();
  for (const std::size_t step : { std::size_t{ 1 }, std::size_t{ 7 }, whole.size() }) {
    for (std::size_t size = 0; size <= whole.size(); ++size) {
      http_reader reader(http_side::Client, { kBodyLimit, kHeaderLimit });
      http_read_status status = http_read_status::NeedMore;
      for (std::size_t at = 0; at < size; at += step) {
        status = reader.Feed(std::string_view(whole).substr(at, std::min(step, size - at)));
      }
      if (status == http_read_status::NeedMore) {
        status = reader.FeedEof();
      }
      EXPECT_EQ(status == http_read_status::Complete, size >= least)
        << GetParam().mGuardsAgainst << ", cut after " << size << " bytes";
    }
  }
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  cut_test,
  testing::Values(cut_row{ "a reply that is cut in its head counts as an empty one",
                           "HTTP/1.1 200 OK\r\nX-Response-Stamp: s\r\nContent-Length: 12\r\n\r\n",
                           "abcdefghijkl",
                           false },
                  cut_row{ "a reply that is cut in its last chunk counts as a whole one",
                           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                           "4\r\nabcd\r\n3\r\nefg\r\n0\r\n\r\n",
                           false },
                  cut_row{ "a reply that is cut in its trailer counts as a whole one",
                           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                           "4\r\nabcd\r\n0\r\nX-Sum: 7\r\n\r\n",
                           false },
                  cut_row{ "a reply without length that is cut in its head counts as an empty one",
                           "HTTP/1.1 200 OK\r\nX-Response-Stamp: s\r\n\r\n",
                           "abcd",
                           true },
                  cut_row{
                    "an old reply without length that is cut in its head counts as an empty one",
                    "HTTP/1.0 200 OK\r\nX-Response-Stamp: s\r\n\r\n",
                    "abcd",
                    true },
                  cut_row{ "a reply without a body that is cut in its head counts as complete",
                           "HTTP/1.1 204 No Content\r\nX-Response-Stamp: s\r\n\r\n",
                           "",
                           false }));

struct broken_row
{
  const char* mGuardsAgainst;
  http_side mSide;
  std::string mBytes;
  std::string mError; // not compared if empty: the parser's own text
};

class broken_test : public testing::TestWithParam<broken_row>
{};

TEST_P(broken_test, IsRefused)
{
  const broken_row& row = GetParam();
  for (const std::size_t step : { std::size_t{ 1 }, std::size_t{ 9 }, row.mBytes.size() }) {
    http_reader reader(row.mSide, { kBodyLimit, kHeaderLimit });
    http_read_status status = http_read_status::NeedMore;
    for (std::size_t at = 0; at < row.mBytes.size() && status == http_read_status::NeedMore;
         at += step) {
      status = reader.Feed(std::string_view(row.mBytes).substr(at, step));
    }
    if (status == http_read_status::NeedMore) {
      status = reader.FeedEof();
    }
    EXPECT_EQ(status, http_read_status::Failed)
      << row.mGuardsAgainst << ", in pieces of " << step << " bytes";
    if (!row.mError.empty()) {
      EXPECT_EQ(reader.Error().mText, row.mError) << row.mGuardsAgainst;
    }
  }
}

// A reply with the status line, a signature, further lines of the head, and a body of two bytes.
std::string ReplyBytes(const std::string& aStatusLine, const std::string& aLines = "")
{
  return aStatusLine + "\r\nSignature: s\r\n" + aLines + "Content-Length: 2\r\n\r\nok";
}

broken_row StatusRow(const std::string& aStatus)
{
  return { "a reply with a status outside 100 to 599 is passed on",
           http_side::Client,
           ReplyBytes("HTTP/1.1 " + aStatus + " X"),
           "status " + std::to_string(std::stoi(aStatus)) + " is not between 100 and 599" };
}

INSTANTIATE_TEST_SUITE_P(statuses,
                         broken_test,
                         testing::Values(StatusRow("000"),
                                         StatusRow("001"),
                                         StatusRow("042"),
                                         StatusRow("099"),
                                         StatusRow("600"),
                                         StatusRow("700"),
                                         StatusRow("999")));

constexpr char kOkLine[] = "HTTP/1.1 200 OK";
constexpr char kSwitching[] = "HTTP/1.1 101 Switching Protocols";

INSTANTIATE_TEST_SUITE_P(
  interim_replies,
  broken_test,
  testing::Values(broken_row{ "a change of the protocol that was not requested is passed on",
                              http_side::Client,
                              ReplyBytes(kSwitching, "Upgrade: x\r\nConnection: Upgrade\r\n"),
                              "status 101 without a request to change the protocol" },
                  broken_row{ "what follows a change of the protocol is taken for the reply",
                              http_side::Client,
                              std::string(kSwitching) + "\r\n\r\n" + ReplyBytes(kOkLine),
                              "status 101 without a request to change the protocol" },
                  broken_row{ "an interim reply counts as the reply",
                              http_side::Client,
                              "HTTP/1.1 103 Early Hints\r\nSignature: s\r\n\r\n",
                              "" },
                  broken_row{ "the body of an interim reply is taken for the reply",
                              http_side::Client,
                              "HTTP/1.1 103 X\r\nContent-Length: 58\r\n\r\n" + ReplyBytes(kOkLine),
                              "interim reply with a body" },
                  broken_row{ "the chunks of an interim reply are taken for the reply",
                              http_side::Client,
                              "HTTP/1.1 103 X\r\nTransfer-Encoding: chunked\r\n\r\n" +
                                ReplyBytes(kOkLine),
                              "interim reply with a body" },
                  broken_row{ "a broken reply behind an interim one is passed on",
                              http_side::Client,
                              "HTTP/1.1 100 Continue\r\n\r\n" + ReplyBytes("HTTP/1.1 000 X"),
                              "status 0 is not between 100 and 599" },
                  broken_row{ "interim replies without end are read until the deadline",
                              http_side::Client,
                              [] {
                                std::string bytes;
                                while (bytes.size() <= kHeaderLimit) {
                                  bytes += "HTTP/1.1 100 Continue\r\n\r\n";
                                }
                                return bytes + ReplyBytes(kOkLine);
                              }(),
                              "header is over 2000 bytes" }));

constexpr char kTransferCoding[] = "unsupported Transfer-Encoding";

broken_row CodedReply(const char* aGuardsAgainst, const std::string& aLines)
{
  return { aGuardsAgainst,
           http_side::Client,
           std::string(kOkLine) + "\r\nSignature: s\r\n" + aLines + "\r\n2\r\nok\r\n0\r\n\r\n",
           kTransferCoding };
}

broken_row CodedRequest(const char* aGuardsAgainst, const std::string& aLines)
{
  return { aGuardsAgainst,
           http_side::Server,
           "POST / HTTP/1.1\r\nHost: h\r\n" + aLines + "\r\nGET /inner HTTP/1.1\r\nHost: h\r\n\r\n",
           kTransferCoding };
}

INSTANTIATE_TEST_SUITE_P(
  transfer_codings,
  broken_test,
  testing::Values(
    CodedReply("a body in an unknown coding is passed on", "Transfer-Encoding: foo\r\n"),
    CodedReply("a coded body without its coding is passed on",
               "Transfer-Encoding: gzip, chunked\r\n"),
    CodedReply("chunks inside another coding are passed on",
               "Transfer-Encoding: chunked, identity\r\n"),
    CodedReply("a coding in a field of its own is ignored",
               "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n"),
    CodedReply("an empty coding is ignored", "Transfer-Encoding:\r\n"),
    CodedReply("a list with an empty coding is accepted", "Transfer-Encoding: ,chunked\r\n"),
    CodedReply("a coding with a parameter is accepted", "Transfer-Encoding: chunked;q=1\r\n"),
    CodedReply("the length of a body in an unknown coding is believed",
               "Transfer-Encoding: foo\r\nContent-Length: 2\r\n"),
    broken_row{ "a coding that HTTP/1.0 does not have is accepted",
                http_side::Client,
                "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
                kTransferCoding },
    CodedRequest("a request in the body of another one is run", "Transfer-Encoding: foo\r\n"),
    CodedRequest("a request behind an empty coding is run", "Transfer-Encoding:\r\n"),
    CodedRequest("a request behind chunks in another coding is run",
                 "Transfer-Encoding: chunked, identity\r\n"),
    broken_row{ "a coded body of a request is passed on without its coding",
                http_side::Server,
                "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"
                "2\r\nok\r\n0\r\n\r\n",
                kTransferCoding }));

constexpr char kFolded[] = "a header line begins with a blank";

INSTANTIATE_TEST_SUITE_P(
  folded_lines,
  broken_test,
  testing::Values(broken_row{ "a line that begins with a space changes the value before it",
                              http_side::Client,
                              ReplyBytes(kOkLine, " : a\r\n"),
                              kFolded },
                  broken_row{ "a line that begins with a tab changes the value before it",
                              http_side::Client,
                              ReplyBytes(kOkLine, "\tRequest-Id: a\r\n"),
                              kFolded },
                  broken_row{ "a line of blanks is accepted",
                              http_side::Client,
                              ReplyBytes(kOkLine, " \t \r\n"),
                              kFolded },
                  broken_row{ "the length is read from two lines",
                              http_side::Client,
                              std::string(kOkLine) + "\r\nContent-Length:\r\n 2\r\n\r\nok",
                              kFolded },
                  broken_row{ "the last line begins with a blank",
                              http_side::Client,
                              std::string(kOkLine) +
                                "\r\nContent-Length: 2\r\nA: b\r\n c\r\n\r\nok",
                              kFolded },
                  broken_row{ "the first line after the status line begins with a blank",
                              http_side::Client,
                              std::string(kOkLine) + "\r\n A: b\r\nContent-Length: 2\r\n\r\nok",
                              "" },
                  broken_row{ "a field of a request is read from two lines",
                              http_side::Server,
                              "GET / HTTP/1.1\r\nHost: h\r\nRequest-Id: a\r\n b\r\n\r\n",
                              kFolded }));

// Lines whose name is not a token.
std::vector<std::string> BadNames()
{
  std::vector<std::string> lines = {
    ": v", " : v", "A B: v", "A : v", "A\t: v", " A: v", "A", "A B"
  };
  constexpr std::string_view kNoTokenBytes = "\0\1\b\t\n\v\r\x1f\x7f\x80\xff\"(),/;<=>?@[\\]{}"sv;
  for (const char each : kNoTokenBytes) {
    lines.push_back(std::string(1, each) + "A: v");
    lines.push_back(std::string("A") + each + "B: v");
    lines.push_back(std::string("A") + each + ": v");
  }
  return lines;
}

// Those lines in replies and requests, and the fields that frame or sign a reply with a further
// byte in their name.
std::vector<broken_row> BadNameRows()
{
  std::vector<broken_row> rows;
  for (const std::string& line : BadNames()) {
    rows.push_back(
      { "a reply passes whose first field has an invalid name",
        http_side::Client,
        std::string(kOkLine) + "\r\n" + line + "\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok",
        "" });
    rows.push_back({ "a reply passes in which a later field has an invalid name",
                     http_side::Client,
                     ReplyBytes(kOkLine, line + "\r\n"),
                     "" });
    rows.push_back({ "a request passes in which a field has an invalid name",
                     http_side::Server,
                     "GET / HTTP/1.1\r\nHost: h\r\n" + line + "\r\n\r\n",
                     "" });
  }
  for (const http_field& field : { http_field{ "Content-Length", "2" },
                                   { "Transfer-Encoding", "chunked" },
                                   { "Signature", "s" } }) {
    const std::string& name = field.mName;
    for (const std::string& bad :
         { name + " ", name + "\t", name + "\x01", "\x01" + name, name + "\r" }) {
      rows.push_back({ "a field passes whose name has a further byte",
                       http_side::Client,
                       ReplyBytes(kOkLine, bad + ": " + field.mValue + "\r\n"),
                       "" });
    }
  }
  return rows;
}

INSTANTIATE_TEST_SUITE_P(names, broken_test, testing::ValuesIn(BadNameRows()));

struct message_row
{
  const char* mGuardsAgainst;
  http_side mSide;
  std::string mBytes;
  http_message mMessage;
  std::size_t mBuffered; // bytes that belong to the next message
};

class message_test : public testing::TestWithParam<message_row>
{};

TEST_P(message_test, IsRead)
{
  const message_row& row = GetParam();
  for (const std::size_t step : { std::size_t{ 1 }, std::size_t{ 9 }, row.mBytes.size() }) {
    http_reader reader(row.mSide, { kBodyLimit, kHeaderLimit });
    http_read_status status = http_read_status::NeedMore;
    for (std::size_t at = 0; at < row.mBytes.size(); at += step) {
      status = reader.Feed(std::string_view(row.mBytes).substr(at, step));
    }
    ASSERT_EQ(status, http_read_status::Complete)
      << row.mGuardsAgainst << ", in pieces of " << step << " bytes";
    const http_message read = reader.Take();
    EXPECT_EQ(read.mFields, row.mMessage.mFields) << row.mGuardsAgainst;
    EXPECT_EQ(read, row.mMessage) << row.mGuardsAgainst;
    EXPECT_EQ(reader.Buffered(), row.mBuffered) << row.mGuardsAgainst;
  }
}

const http_message kPlain{ "", "", 200, { { "Signature", "s" }, { "Content-Length", "2" } }, "ok" };

INSTANTIATE_TEST_SUITE_P(
  interim_replies,
  message_test,
  testing::Values(
    message_row{ "an interim reply is taken for the reply",
                 http_side::Client,
                 "HTTP/1.1 100 Continue\r\n\r\n" + ReplyBytes(kOkLine),
                 kPlain,
                 0 },
    message_row{ "an interim reply with a signature is taken for the reply",
                 http_side::Client,
                 "HTTP/1.1 103 Early Hints\r\nSignature: early\r\n\r\n" + ReplyBytes(kOkLine),
                 kPlain,
                 0 },
    message_row{ "an interim reply that states its lack of a body is refused",
                 http_side::Client,
                 "HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n" + ReplyBytes(kOkLine),
                 kPlain,
                 0 },
    message_row{ "only one interim reply is dropped",
                 http_side::Client,
                 "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\nA: b\r\n\r\n"
                 "HTTP/1.1 199 X\r\nConnection: close\r\n\r\n" +
                   ReplyBytes(kOkLine),
                 kPlain,
                 0 }));

const std::string kChunkedLines = "Transfer-Encoding: Chunked\r\n\r\n2\r\nok\r\n0\r\n";

INSTANTIATE_TEST_SUITE_P(
  trailers,
  message_test,
  testing::Values(
    message_row{ "a body in chunks is refused",
                 http_side::Client,
                 std::string(kOkLine) + "\r\n" + kChunkedLines + "\r\n",
                 { "", "", 200, { { "Transfer-Encoding", "Chunked" } }, "ok" },
                 0 },
    message_row{ "a signature behind the body signs the reply",
                 http_side::Client,
                 std::string(kOkLine) + "\r\n" + kChunkedLines + "Signature: s\r\n\r\n",
                 { "", "", 200, { { "Transfer-Encoding", "Chunked" } }, "ok" },
                 0 },
    message_row{ "a field behind the body decides on the connection",
                 http_side::Client,
                 std::string(kOkLine) + "\r\n" + kChunkedLines + "Connection: close\r\n\r\n",
                 { "", "", 200, { { "Transfer-Encoding", "Chunked" } }, "ok" },
                 0 },
    message_row{ "a field behind the body joins the head of a request",
                 http_side::Server,
                 "POST / HTTP/1.1\r\nHost: h\r\n" + kChunkedLines + "Request-Id: 1\r\n\r\nGET",
                 { "POST", "/", 0, { { "Host", "h" }, { "Transfer-Encoding", "Chunked" } }, "ok" },
                 3 }));

struct writer_row
{
  const char* mGuardsAgainst;
  http_response mReply;
  std::optional<std::string> mError;
  std::string mBytes;
};

class writer_test : public testing::TestWithParam<writer_row>
{};

TEST_P(writer_test, WritesOnlyReplies)
{
  const writer_row& row = GetParam();
  EXPECT_EQ(ReplyError(row.mReply), row.mError) << row.mGuardsAgainst;
  EXPECT_EQ(FormatReply(row.mReply, true), row.mBytes) << row.mGuardsAgainst;
}

// A row whose reply is replaced.
writer_row InvalidRow(const char* aGuardsAgainst, http_response aReply, std::string aError)
{
  return { aGuardsAgainst,
           std::move(aReply),
           std::move(aError),
           "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n" };
}

writer_row InvalidStatusRow(unsigned aStatus)
{
  return InvalidRow("a status is sent that ends no request",
                    { aStatus, "", "ok", { { "Signature", "s" } } },
                    "status " + std::to_string(aStatus) + " is not between 200 and 599");
}

writer_row InvalidNameRow(std::string aName)
{
  return InvalidRow("a name that is no token is sent",
                    { 200, "", "ok", { { "A", "b" }, { std::move(aName), "c" } } },
                    "the name of a field is not a token");
}

writer_row InvalidValueRow(std::string aValue)
{
  return InvalidRow("a value with a control byte is sent",
                    { 200, "", "ok", { { "A", std::move(aValue) } } },
                    "the value of a field holds a control byte");
}

INSTANTIATE_TEST_SUITE_P(
  invalid,
  writer_test,
  testing::Values(
    InvalidStatusRow(0),
    InvalidStatusRow(42),
    InvalidStatusRow(99),
    InvalidStatusRow(100),
    InvalidStatusRow(101),
    InvalidStatusRow(199),
    InvalidStatusRow(600),
    InvalidStatusRow(1000),
    InvalidNameRow(""),
    InvalidNameRow("A B"),
    InvalidNameRow(" A"),
    InvalidNameRow("A:"),
    InvalidNameRow("A\r\nB"),
    InvalidNameRow("A\x01"),
    InvalidNameRow("A\x7f"),
    InvalidNameRow("A\xe9"),
    InvalidValueRow("b\r\nC: d"),
    InvalidValueRow("b\nC: d"),
    InvalidValueRow("b\r"),
    InvalidValueRow(std::string("b\0", 2)),
    InvalidValueRow("b\x7f"),
    InvalidRow("a content type with a line feed is sent",
               { 200, "text/plain\nA: b", "ok", {} },
               "the content type holds a control byte"),
    InvalidRow("a body without a length is sent", { 204, "", "ok", {} }, "a body with status 204"),
    InvalidRow("a body without a length is sent", { 304, "", "ok", {} }, "a body with status 304"),
    InvalidRow("a second length is sent",
               { 200, "", "ok", { { "content-length", "1" } } },
               "a field states another end of the body"),
    InvalidRow("chunks are announced and not sent",
               { 200, "", "ok", { { "Transfer-Encoding", "chunked" } } },
               "a field states another end of the body")));

INSTANTIATE_TEST_SUITE_P(
  valid,
  writer_test,
  testing::Values(writer_row{ "a reply without content type or body is altered",
                              { 500, "", "", {} },
                              std::nullopt,
                              "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n" },
                  writer_row{
                    "a status that the library does not know gets its placeholder as the reason",
                    { 299, "", "ok", {} },
                    std::nullopt,
                    "HTTP/1.1 299 \r\nContent-Length: 2\r\n\r\nok" },
                  writer_row{ "tabs, bytes over 0x7f or an empty value are refused",
                              { 200, "a/b", "ok", { { "A!", "b\tc\xe9" }, { "B", "" } } },
                              std::nullopt,
                              "HTTP/1.1 200 OK\r\nA!: b\tc\xe9\r\nB: \r\nContent-Type: a/b\r\n"
                              "Content-Length: 2\r\n\r\nok" },
                  writer_row{ "a reply that has no body states a length",
                              { 204, "", "", { { "A", "b" } } },
                              std::nullopt,
                              "HTTP/1.1 204 No Content\r\nA: b\r\n\r\n" },
                  writer_row{ "an unchanged resource is said to be empty",
                              { 304, "", "", {} },
                              std::nullopt,
                              "HTTP/1.1 304 Not Modified\r\n\r\n" }));

} // namespace
} // namespace redwingdock
