#include "daemon/http_text.h"

#include "base/heap.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/string_body.hpp>
#include <charconv>
#include <iterator>
#include <optional>
#include <utility>
#include <variant>

namespace redwingdock {

namespace http = boost::beast::http;

namespace {

using request_parser = http::request_parser<http::string_body>;
using reply_parser = http::response_parser<http::string_body>;

// Limit on the bytes of a message, in multiples of its body limit. The framing of a body that is
// sent in chunks of one byte takes five bytes for each.
constexpr std::size_t kMaxFramingFactor = 6;

std::string ToString(boost::beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

} // namespace

namespace {

template<typename Message>
http_message WithFields(http_message aResult, const Message& aMessage)
{
  aResult.mFields.reserve(
    static_cast<std::size_t>(std::distance(aMessage.begin(), aMessage.end())));
  for (const auto& field : aMessage) {
    aResult.mFields.push_back({ ToString(field.name_string()), ToString(field.value()) });
  }
  aResult.mKeepAlive = aMessage.keep_alive();
  return aResult;
}

// The message without its body. Must be called as soon as the head is complete: the parser adds the
// fields of a trailer to those of the head.
http_message HeadOf(const http::request<http::string_body>& aRequest)
{
  http_message head;
  head.mMethod = ToString(aRequest.method_string());
  head.mTarget = ToString(aRequest.target());
  return WithFields(std::move(head), aRequest);
}

http_message HeadOf(const http::response<http::string_body>& aReply)
{
  http_message head;
  head.mStatus = aReply.result_int();
  return WithFields(std::move(head), aReply);
}

// The parser reads chunks only if the last coding is "chunked", and decodes no other: it would take
// a body in another coding for what follows the message, or hand it over as it is. HTTP/1.0 has no
// transfer codings (RFC 9112, section 6.1).
template<typename Message>
std::optional<std::string> TransferCodingError(const Message& aMessage)
{
  const auto [first, last] = aMessage.equal_range(http::field::transfer_encoding);
  constexpr unsigned kHttp11 = 11;
  const bool supported =
    first == last || (std::next(first) == last && aMessage.version() == kHttp11 &&
                      boost::beast::iequals(first->value(), "chunked"));
  return supported ? std::nullopt : std::optional<std::string>("unsupported Transfer-Encoding");
}

// What HTTP/1.1 does not allow in a head that the parser accepts; nullopt if nothing.
std::optional<std::string> HeadError(const http::request<http::string_body>& aRequest)
{
  return TransferCodingError(aRequest);
}

std::optional<std::string> StatusError(unsigned aStatus, unsigned aMin)
{
  constexpr unsigned kMaxStatus = 599;
  if (aStatus >= aMin && aStatus <= kMaxStatus) {
    return std::nullopt;
  }
  return "status " + std::to_string(aStatus) + " is not between " + std::to_string(aMin) + " and " +
         std::to_string(kMaxStatus);
}

// Replies that announce a later one (RFC 9110, section 15.2).
bool IsInterim(const http::response<http::string_body>& aReply)
{
  return http::to_status_class(aReply.result_int()) == http::status_class::informational;
}

// Interim replies have no body. After one that states a body, what follows could be that body or
// the reply.
bool StatesABody(const http::response<http::string_body>& aReply)
{
  const auto length = aReply.find(http::field::content_length);
  return (length != aReply.end() && length->value() != "0") ||
         aReply.count(http::field::transfer_encoding) > 0;
}

std::optional<std::string> HeadError(const http::response<http::string_body>& aReply)
{
  // The parser accepts each status of three digits (RFC 9110, section 15).
  constexpr unsigned kMinStatus = 100;
  if (std::optional<std::string> invalid = StatusError(aReply.result_int(), kMinStatus)) {
    return invalid;
  }
  if (aReply.result() == http::status::switching_protocols) {
    return "status 101 without a request to change the protocol";
  }
  if (IsInterim(aReply) && StatesABody(aReply)) {
    return "interim reply with a body";
  }
  return TransferCodingError(aReply);
}

// A field name is a token (RFC 9110, section 5.6.2).
bool IsToken(std::string_view aText)
{
  return !aText.empty() && std::all_of(aText.begin(), aText.end(), [](char aByte) {
    constexpr std::string_view kPunctuation = "!#$%&'*+-.^_`|~";
    return (aByte >= '0' && aByte <= '9') || (aByte >= 'a' && aByte <= 'z') ||
           (aByte >= 'A' && aByte <= 'Z') || kPunctuation.find(aByte) != std::string_view::npos;
  });
}

// The value of a field has no control bytes other than tabs (RFC 9110, section 5.5).
bool IsFieldValue(std::string_view aText)
{
  return std::all_of(aText.begin(), aText.end(), [](unsigned char aByte) {
    constexpr unsigned char kDelete = 0x7f;
    return aByte == '\t' || (aByte >= ' ' && aByte != kDelete);
  });
}

// Whether a reply with this final status has a body, whose length is stated (RFC 9110,
// section 8.6).
bool MayHaveBody(unsigned aStatus)
{
  constexpr unsigned kNoContent = 204;
  constexpr unsigned kNotModified = 304;
  return aStatus != kNoContent && aStatus != kNotModified;
}

} // namespace

const std::string* http_message::Find(std::string_view aName) const
{
  const auto found =
    std::find_if(mFields.begin(), mFields.end(), [aName](const http_field& aField) {
      return EqualFieldNames(aField.mName, aName);
    });
  return found == mFields.end() ? nullptr : &found->mValue;
}

struct http_reader::state
{
  http_side mSide;
  http_read_limits mLimits;
  std::optional<request_parser> mRequestParser;
  std::optional<reply_parser> mReplyParser;
  http_message mMessage; // the head, once it is complete
  std::string mBuffer;
  std::size_t mParsedBytes = 0;  // of the current message
  std::size_t mInterimBytes = 0; // of the interim replies before it
  bool mAtLineStart = false;     // in the head, behind a line feed
  bool mStarted = false;
  bool mComplete = false;
  bool mFailed = false;
  unsigned mErrorStatus = 400;
  reason mError;

  template<typename Parser>
  Parser& EnsureParser(std::optional<Parser>& aParser)
  {
    if (!aParser) {
      aParser.emplace();
      aParser->header_limit(static_cast<std::uint32_t>(mLimits.mHeader));
      aParser->body_limit(mLimits.mBody);
    }
    return *aParser;
  }

  template<typename Parser>
  http_read_status Parse(Parser& aParser)
  {
    while (!mBuffer.empty() && !aParser.is_done()) {
      const bool inHead = !aParser.is_header_done();
      aParser.eager(!inHead); // stops behind the head, which is checked before the body is read
      boost::beast::error_code error;
      const std::size_t used =
        aParser.put(boost::asio::const_buffer(mBuffer.data(), mBuffer.size()), error);
      if (inHead && ContinuesALine(std::string_view(mBuffer).substr(0, used))) {
        return Fail("a header line begins with a blank");
      }
      Consume(used);
      mParsedBytes += used;
      if (error == http::error::need_more) {
        break;
      }
      if (error) {
        return Fail(error);
      }
      if (inHead && aParser.is_header_done()) {
        if (const std::optional<std::string> invalid = HeadError(aParser.get())) {
          return Fail(*invalid);
        }
        mMessage = HeadOf(aParser.get());
        mAtLineStart = false;
      }
      if (used == 0) {
        break;
      }
    }
    if (!aParser.is_done()) {
      return FailIfOverLimits();
    }
    mComplete = true;
    return http_read_status::Complete;
  }

  // Removes parsed bytes. A large buffer is given back instead of kept with the connection.
  void Consume(std::size_t aBytes)
  {
    constexpr std::size_t kMaxKeptBytes = 4096; // of an empty buffer; most requests are shorter
    mBuffer.erase(0, aBytes);
    if (mBuffer.empty() && mBuffer.capacity() > kMaxKeptBytes) {
      FreeText(mBuffer);
    }
  }

  // Whether a line of the head begins with a blank. The parser joins such a line to the value
  // before it, the obsolete folding of RFC 9112, section 5.2.
  bool ContinuesALine(std::string_view aHead)
  {
    for (const char each : aHead) {
      if (mAtLineStart && (each == ' ' || each == '\t')) {
        return true;
      }
      mAtLineStart = each == '\n';
    }
    return false;
  }

  // Reads a reply. The interim ones before it are dropped; their heads together may be as long as
  // one head.
  http_read_status ParseReply()
  {
    http_read_status status = Parse(EnsureParser(mReplyParser));
    while (status == http_read_status::Complete && IsInterim(mReplyParser->get())) {
      mInterimBytes += std::exchange(mParsedBytes, 0);
      if (mInterimBytes > mLimits.mHeader) {
        return Fail(http::error::header_limit);
      }
      mReplyParser.reset();
      mComplete = false;
      status = Parse(EnsureParser(mReplyParser));
    }
    return status;
  }

  // The parser limits the header and the body, but not chunk extensions and trailers, which it
  // leaves in the buffer until they are complete.
  http_read_status FailIfOverLimits()
  {
    if (mBuffer.size() > mLimits.mHeader) {
      return Fail(http::error::header_limit);
    }
    if (mParsedBytes > mLimits.mHeader + kMaxFramingFactor * mLimits.mBody) {
      return Fail(http::error::body_limit);
    }
    return http_read_status::NeedMore;
  }

  http_read_status Fail(std::string aText)
  {
    mFailed = true;
    mError = { "read message", "", std::move(aText) };
    return http_read_status::Failed;
  }

  http_read_status Fail(const boost::beast::error_code& aError)
  {
    mFailed = true;
    if (aError == http::error::body_limit) {
      mErrorStatus = 413;
      mError = { "read body", "", "body is over " + std::to_string(mLimits.mBody) + " bytes" };
    } else if (aError == http::error::header_limit) {
      mErrorStatus = 431;
      mError = { "read header",
                 "",
                 "header is over " + std::to_string(mLimits.mHeader) + " bytes" };
    } else {
      mError = { "read message", "", aError.message() };
    }
    return http_read_status::Failed;
  }
};

http_reader::http_reader(http_side aSide, http_read_limits aLimits)
  : mState(std::make_unique<state>())
{
  mState->mSide = aSide;
  mState->mLimits = aLimits;
}

http_reader::~http_reader() = default;
http_reader::http_reader(http_reader&&) noexcept = default;
http_reader& http_reader::operator=(http_reader&&) noexcept = default;

http_read_status http_reader::Feed(std::string_view aBytes)
{
  state& self = *mState;
  if (self.mFailed) {
    return http_read_status::Failed;
  }
  self.mBuffer.append(aBytes);
  if (self.mComplete) {
    return http_read_status::Complete;
  }
  if (self.mBuffer.empty() && !self.mStarted) {
    return http_read_status::NeedMore;
  }
  self.mStarted = true;
  return self.mSide == http_side::Server ? self.Parse(self.EnsureParser(self.mRequestParser))
                                         : self.ParseReply();
}

http_read_status http_reader::FeedEof()
{
  state& self = *mState;
  if (self.mFailed || self.mComplete) {
    return self.mFailed ? http_read_status::Failed : http_read_status::Complete;
  }
  if (self.mSide == http_side::Server || !self.mReplyParser ||
      !self.mReplyParser->is_header_done()) {
    return http_read_status::Failed;
  }
  boost::beast::error_code error;
  self.mReplyParser->put_eof(error);
  if (error || !self.mReplyParser->is_done()) {
    return self.Fail(error);
  }
  self.mComplete = true;
  return http_read_status::Complete;
}

http_message http_reader::Take()
{
  state& self = *mState;
  http_message taken = std::exchange(self.mMessage, {});
  if (self.mRequestParser) {
    taken.mBody = std::move(self.mRequestParser->get().body());
  } else if (self.mReplyParser) {
    taken.mBody = std::move(self.mReplyParser->get().body());
  }
  self.mRequestParser.reset();
  self.mReplyParser.reset();
  self.mParsedBytes = 0;
  self.mInterimBytes = 0;
  self.mComplete = false;
  self.mStarted = false;
  return taken;
}

void http_reader::SetLimits(http_read_limits aLimits)
{
  mState->mLimits = aLimits;
}

std::size_t HeldBytes(const http_message& aMessage)
{
  const auto heapBytes = [](const std::string& aText) {
    return aText.capacity() > std::string().capacity() ? aText.capacity() : 0;
  };
  std::size_t bytes = heapBytes(aMessage.mTarget) + heapBytes(aMessage.mBody) +
                      aMessage.mFields.capacity() * sizeof(http_field);
  for (const http_field& field : aMessage.mFields) {
    bytes += heapBytes(field.mName) + heapBytes(field.mValue);
  }
  return bytes;
}

std::size_t http_reader::HeldBytes() const
{
  // A field of a few bytes takes the parser up to 96.
  constexpr std::size_t kFieldFactor = 16;
  // The parser keeps its own copy of the head until the message is taken.
  constexpr std::size_t kHeadCopies = 2;
  const state& self = *mState;
  std::size_t body = 0;
  if (self.mRequestParser) {
    body = self.mRequestParser->get().body().size();
  } else if (self.mReplyParser) {
    body = self.mReplyParser->get().body().size();
  }
  const std::size_t buffer = self.mBuffer.empty() ? 0 : self.mBuffer.capacity();
  const std::size_t head = HeaderDone() ? kHeadCopies * redwingdock::HeldBytes(self.mMessage)
                                        : kFieldFactor * self.mParsedBytes;
  return buffer + head + body;
}

std::size_t http_reader::Buffered() const
{
  return mState->mBuffer.size();
}

bool http_reader::Started() const
{
  return mState->mStarted;
}

bool http_reader::HeaderDone() const
{
  return (mState->mRequestParser && mState->mRequestParser->is_header_done()) ||
         (mState->mReplyParser && mState->mReplyParser->is_header_done());
}

const reason& http_reader::Error() const
{
  return mState->mError;
}

unsigned http_reader::ErrorStatus() const
{
  return mState->mErrorStatus;
}

std::string FormatRequest(const http_message& aRequest)
{
  std::string text;
  text.reserve(256 + aRequest.mTarget.size() + aRequest.mBody.size());
  text.append(aRequest.mMethod).append(" ").append(aRequest.mTarget).append(" HTTP/1.1");
  for (const http_field& field : aRequest.mFields) {
    text.append("\r\n").append(field.mName).append(": ").append(field.mValue);
  }
  if (!aRequest.mBody.empty() || aRequest.mMethod == "POST" || aRequest.mMethod == "PUT") {
    text.append("\r\nContent-Length: ").append(std::to_string(aRequest.mBody.size()));
  }
  return text.append("\r\n\r\n").append(aRequest.mBody);
}

std::string FormatRequest(std::string_view aMethod,
                          std::string_view aTarget,
                          std::string_view aHost,
                          std::string_view aBody)
{
  std::string text;
  text.reserve(160 + aTarget.size() + aBody.size());
  text.append(aMethod).append(" ").append(aTarget).append(" HTTP/1.1\r\nHost: ").append(aHost);
  if (!aBody.empty()) {
    text.append("\r\nContent-Type: application/json");
  }
  if (!aBody.empty() || aMethod == "POST") {
    text.append("\r\nContent-Length: ").append(std::to_string(aBody.size()));
  }
  return text.append("\r\n\r\n").append(aBody);
}

std::optional<std::string> ReplyError(const http_response& aReply)
{
  constexpr unsigned kMinFinalStatus = 200;
  if (std::optional<std::string> invalid = StatusError(aReply.mStatus, kMinFinalStatus)) {
    return invalid;
  }
  if (!MayHaveBody(aReply.mStatus) && !aReply.mBody.empty()) {
    return "a body with status " + std::to_string(aReply.mStatus);
  }
  if (!IsFieldValue(aReply.mContentType)) {
    return "the content type holds a control byte";
  }
  for (const http_field& field : aReply.mFields) {
    if (!IsToken(field.mName)) {
      return "the name of a field is not a token";
    }
    if (!IsFieldValue(field.mValue)) {
      return "the value of a field holds a control byte";
    }
    if (EqualFieldNames(field.mName, "Content-Length") ||
        EqualFieldNames(field.mName, "Transfer-Encoding")) {
      return "a field states another end of the body";
    }
  }
  return std::nullopt;
}

std::string FormatReply(const http_response& aReply, bool aKeepAlive)
{
  if (ReplyError(aReply)) {
    constexpr unsigned kBadGateway = 502;
    return FormatReply({ kBadGateway, "", "", {} }, aKeepAlive);
  }
  std::string text;
  text.reserve(200 + aReply.mBody.size());
  text.append("HTTP/1.1 ").append(std::to_string(aReply.mStatus)).append(" ");
  const http::status known = http::int_to_status(aReply.mStatus);
  if (known != http::status::unknown) {
    const auto phrase = http::obsolete_reason(known);
    text.append(phrase.data(), phrase.size());
  }
  for (const http_field& field : aReply.mFields) {
    text.append("\r\n").append(field.mName).append(": ").append(field.mValue);
  }
  if (MayHaveBody(aReply.mStatus)) {
    if (!aReply.mContentType.empty()) {
      text.append("\r\nContent-Type: ").append(aReply.mContentType);
    }
    text.append("\r\nContent-Length: ").append(std::to_string(aReply.mBody.size()));
  }
  if (!aKeepAlive) {
    text.append("\r\nConnection: close");
  }
  return text.append("\r\n\r\n").append(aReply.mBody);
}

bool EqualFieldNames(std::string_view aFirst, std::string_view aSecond)
{
  return boost::beast::iequals({ aFirst.data(), aFirst.size() },
                               { aSecond.data(), aSecond.size() });
}

std::string_view PathOf(std::string_view aTarget)
{
  return aTarget.substr(0, aTarget.find('?'));
}

std::string QueryParameter(std::string_view aTarget, std::string_view aName)
{
  std::size_t at = aTarget.find('?');
  while (at != std::string_view::npos) {
    const std::size_t next = aTarget.find('&', at + 1);
    const std::string_view pair = aTarget.substr(at + 1, next - at - 1);
    const std::size_t equals = pair.find('=');
    if (pair.substr(0, equals) == aName) {
      const std::string_view raw =
        equals == std::string_view::npos ? std::string_view() : pair.substr(equals + 1);
      std::string value;
      for (std::size_t i = 0; i < raw.size(); ++i) {
        unsigned code = 0;
        if (raw[i] == '%' && i + 2 < raw.size() &&
            std::from_chars(raw.data() + i + 1, raw.data() + i + 3, code, 16).ptr ==
              raw.data() + i + 3) {
          value.push_back(static_cast<char>(code));
          i += 2;
        } else {
          value.push_back(raw[i] == '+' ? ' ' : raw[i]);
        }
      }
      return value;
    }
    at = next;
  }
  return {};
}

} // namespace redwingdock
