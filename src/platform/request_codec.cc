#include "platform/request_codec.h"

#include "base/hash.h"
#include "platform/protocol_names.h"

#include <algorithm>
#include <array>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <cstring>
#include <utility>

namespace redwingdock::platform {

namespace {

// Hop-by-hop header fields (RFC 9110, section 7.6.1), and Content-Length, which is recomputed when
// the body is written.
constexpr std::array kHopByHopFields = {
  "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding",
  "TE",         "Trailer",    "Upgrade",          "Content-Length"
};
// Status codes with which a client is told that its request did not run and never will.
constexpr std::array kNotRunStatuses = { 408U, 421U, 429U, 503U };
// Request header fields that this daemon sets; values from the client are dropped.
constexpr std::array kReplacedFields = { kDeadlineRemainingHeader, kExpectedInstanceHeader };

template<typename Names>
bool ContainsName(const std::string& aName, const Names& aNames)
{
  return std::any_of(aNames.begin(), aNames.end(), [&aName](const char* aEach) {
    return EqualFieldNames(aName, aEach);
  });
}

// Whether the Connection header field of the message lists the name.
bool IsListedInConnection(const http_message& aMessage, const std::string& aName)
{
  const std::string* list = aMessage.Find("Connection");
  std::size_t at = 0;
  while (list != nullptr && at < list->size()) {
    const std::size_t comma = std::min(list->find(',', at), list->size());
    std::string_view each = std::string_view(*list).substr(at, comma - at);
    each.remove_prefix(std::min(each.find_first_not_of(" \t"), each.size()));
    each = each.substr(0, each.find_last_not_of(" \t") + 1);
    if (EqualFieldNames(each, aName)) {
      return true;
    }
    at = comma + 1;
  }
  return false;
}

bool PromisesNotRun(unsigned aStatus)
{
  return std::find(kNotRunStatuses.begin(), kNotRunStatuses.end(), aStatus) !=
         kNotRunStatuses.end();
}

std::string FieldValue(const http_message& aMessage, const char* aName)
{
  const std::string* value = aMessage.Find(aName);
  return value != nullptr ? *value : std::string();
}

// Parses milliseconds, which may be fractional. Returns 0 if the text is empty, malformed or more
// than a day.
micros ParseMilliseconds(const std::string& aText)
{
  double ms = 0;
  const char* end = aText.data() + aText.size();
  const auto [rest, error] = std::from_chars(aText.data(), end, ms);
  constexpr double kMaxMs = 24.0 * 3600 * 1000;
  // The negated comparison also excludes "nan", which std::from_chars accepts.
  if (error != std::errc() || rest != end || !(ms > 0 && ms <= kMaxMs)) {
    return micros(0);
  }
  return micros(static_cast<std::int64_t>(ms * 1000));
}

// Parses seconds, which may be fractional. Returns 0 if the text is empty, a date or malformed, and
// at most kMaxRetryAfter.
micros ParseRetryAfter(const std::string& aText)
{
  // A replica that asks for more is started again or its entry is removed before that.
  constexpr micros kMaxRetryAfter = std::chrono::hours(1);
  constexpr double kMicrosPerSecond = 1e6;
  double seconds = 0;
  const char* end = aText.data() + aText.size();
  const auto [rest, error] = std::from_chars(aText.data(), end, seconds, std::chars_format::fixed);
  // The check of the first character excludes signs, "inf" and "nan".
  if (rest != end || aText.empty() || std::strchr("0123456789.", aText.front()) == nullptr) {
    return micros(0);
  }
  const double limit = std::chrono::duration<double>(kMaxRetryAfter).count();
  if (error == std::errc::result_out_of_range || seconds > limit) {
    return kMaxRetryAfter;
  }
  return error == std::errc()
           ? micros(static_cast<std::int64_t>(std::ceil(seconds * kMicrosPerSecond)))
           : micros(0);
}

replica_notice DecodeNotice(const http_message& aMessage)
{
  constexpr unsigned kUnavailable = 503;
  return { FieldValue(aMessage, kServerLeavingHeader) == "1",
           aMessage.mStatus == kUnavailable
             ? ParseRetryAfter(FieldValue(aMessage, kRetryAfterHeader))
             : micros(0) };
}

// Whether the reply is that of another process at the address of the replica, which does not run
// requests for this one. A reply with the id of the replica is not, and neither is a signed one
// unless it states that the request did not run.
bool IsMisplaced(const http_message& aMessage, const std::string& aReplica)
{
  constexpr unsigned kMisdirected = 421;
  return aMessage.mStatus == kMisdirected && FieldValue(aMessage, kInstanceHeader) != aReplica &&
         (aMessage.Find(kNotExecutedHeader) != nullptr ||
          aMessage.Find(kResponseStampHeader) == nullptr);
}

std::string FormatSeconds(micros aTime)
{
  char text[32];
  std::snprintf(text, sizeof(text), "%.3f", std::chrono::duration<double>(aTime).count());
  return text;
}

} // namespace

forward_request DecodeRequest(const http_message& aMessage)
{
  forward_request request;
  request.mId = FieldValue(aMessage, kAttemptIdHeader);
  request.mHost = FieldValue(aMessage, "Host");
  request.mPath = std::string(PathOf(aMessage.mTarget));
  request.mClientTimeout = ParseMilliseconds(FieldValue(aMessage, kDeadlineRemainingHeader));
  request.mFingerprint =
    Hash(aMessage.mMethod + ' ' + request.mHost + aMessage.mTarget + '\n' + aMessage.mBody);
  return request;
}

std::string EncodeAttempt(const http_message& aMessage,
                          const replica_entry& aReplica,
                          micros aTimeLeft)
{
  http_message sent;
  sent.mMethod = aMessage.mMethod;
  sent.mTarget = aMessage.mTarget;
  sent.mBody = aMessage.mBody;
  for (const http_field& field : aMessage.mFields) {
    if (!ContainsName(field.mName, kHopByHopFields) &&
        !ContainsName(field.mName, kReplacedFields) &&
        !IsListedInConnection(aMessage, field.mName)) {
      sent.mFields.push_back(field);
    }
  }
  sent.mFields.push_back(
    { kDeadlineRemainingHeader, std::to_string(std::max<std::int64_t>(ToMs(aTimeLeft), 1)) });
  sent.mFields.push_back({ kExpectedInstanceHeader, aReplica.mId });
  return FormatRequest(sent);
}

bool MatchesRequestId(const http_message& aReply, const std::string& aRequestId)
{
  const std::string* id = aReply.Find(kAttemptIdHeader);
  return id == nullptr || *id == aRequestId;
}

decoded_reply DecodeReply(http_message aMessage, const std::string& aReplica)
{
  if (IsMisplaced(aMessage, aReplica)) {
    return { attempt_end::Misplaced,
             nullptr,
             { "send", aReplica, "another process answered at the address of the replica" } };
  }
  const replica_notice notice = DecodeNotice(aMessage);
  if (aMessage.Find(kNotExecutedHeader) != nullptr) {
    return { attempt_end::Rejected,
             nullptr,
             { "send",
               aReplica,
               "the replica did not run the request, status " + std::to_string(aMessage.mStatus) },
             notice };
  }
  // A client takes such a status as a statement that its request did not run. A replica makes that
  // statement only with X-Not-Executed, so the reply must not be relayed.
  if (PromisesNotRun(aMessage.mStatus)) {
    return { attempt_end::Ambiguous,
             nullptr,
             { "read reply",
               aReplica,
               "status " + std::to_string(aMessage.mStatus) +
                 " without header X-Not-Executed: the request may have run" },
             notice };
  }
  if (aMessage.Find("Content-Encoding") != nullptr) {
    return {
      attempt_end::Lost, nullptr, { "read reply", aReplica, "unsupported Content-Encoding" }, notice
    };
  }
  forward_reply reply;
  reply.mStatus = aMessage.mStatus;
  reply.mResponseStamp = FieldValue(aMessage, kResponseStampHeader);
  if (aMessage.mStatus < 300 && reply.mResponseStamp.empty()) {
    return { attempt_end::Lost,
             nullptr,
             { "read reply", aReplica, "header X-Response-Stamp is missing or empty" },
             notice };
  }
  for (http_field& field : aMessage.mFields) {
    if (!ContainsName(field.mName, kHopByHopFields) &&
        !IsListedInConnection(aMessage, field.mName)) {
      reply.mFields.push_back({ field.mName, field.mValue });
    }
  }
  reply.mBody = std::move(aMessage.mBody);
  return {
    attempt_end::Answered, std::make_shared<const forward_reply>(std::move(reply)), {}, notice
  };
}

http_response EncodeAnswer(const forward_answer& aAnswer)
{
  constexpr unsigned kOk = 200;
  constexpr unsigned kNotFound = 404;
  constexpr unsigned kBadGateway = 502;
  constexpr unsigned kUnavailable = 503;
  constexpr unsigned kGatewayTimeout = 504;
  http_response response;
  response.mContentType.clear();
  switch (aAnswer.mKind) {
    case answer_kind::Relayed:
      response.mStatus = aAnswer.mReply->mStatus;
      for (const reply_field& field : aAnswer.mReply->mFields) {
        response.mFields.push_back({ field.mName, field.mValue });
      }
      response.mBody = aAnswer.mReply->mBody;
      return response;
    case answer_kind::Gathered: {
      response.mStatus = kOk;
      std::string signatures;
      for (const std::string& each : aAnswer.mShardStamps) {
        signatures += (signatures.empty() ? "" : ", ") + each;
      }
      response.mFields.push_back({ kShardStampsHeader, std::move(signatures) });
      if (aAnswer.mMissing > 0) {
        response.mFields.push_back({ kMissingShardsHeader, std::to_string(aAnswer.mMissing) });
      }
      response.mBody = aAnswer.mBody;
      return response;
    }
    case answer_kind::NotRun:
      response.mStatus = kUnavailable;
      response.mFields.push_back({ kRetryAfterHeader, FormatSeconds(aAnswer.mRetryAfter) });
      return response;
    case answer_kind::NoRoute:
      response.mStatus = kNotFound;
      return response;
    case answer_kind::Failed:
      response.mStatus = kBadGateway;
      return response;
    case answer_kind::TimedOut:
      response.mStatus = kGatewayTimeout;
      return response;
  }
  return response;
}

http_response EncodeAddresses(const result<entry_answer>& aAnswer)
{
  http_response response;
  if (!aAnswer) {
    response.mStatus = 503;
    response.mContentType.clear();
    return response;
  }
  constexpr std::size_t kMaxAddresses = 64;
  boost::json::array addresses;
  for (const std::string& each : aAnswer->mAddresses) {
    if (addresses.size() < kMaxAddresses) {
      addresses.emplace_back(each);
    }
  }
  response.mBody = boost::json::serialize(
    boost::json::object{ { "addrs", std::move(addresses) },
                         { "ttl_s", std::chrono::duration<double>(aAnswer->mLifetime).count() } });
  return response;
}

} // namespace redwingdock::platform
