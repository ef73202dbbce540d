#ifndef REDWINGDOCK_PLATFORM_REQUEST_CODEC_H
#define REDWINGDOCK_PLATFORM_REQUEST_CODEC_H

#include "core/forwarding.h"
#include "core/requests.h"
#include "daemon/http_text.h"

#include <string>

// Converts between the platform's HTTP messages and the values of the forwarding core.
//
//   forward_request content = DecodeRequest(message);
//   std::string text = EncodeAttempt(message, replica, timeLeft);
//   decoded_reply reply = DecodeReply(message, replica.mId);

namespace redwingdock::platform {

// A missing or malformed deadline becomes 0, a missing id an empty string.
forward_request DecodeRequest(const http_message& aMessage);

// Formats the request for a replica. Method, target, body and end-to-end header fields are those of
// the client. aTimeLeft is rounded down to milliseconds, but to no less than 1.
std::string EncodeAttempt(const http_message& aMessage,
                          const replica_entry& aReplica,
                          micros aTimeLeft);

// Whether a reply belongs to the client's request. Replicas echo the request id; a reply without an
// id matches every request.
bool MatchesRequestId(const http_message& aReply, const std::string& aRequestId);

struct decoded_reply
{
  attempt_end mEnd = attempt_end::Lost;
  reply_pointer mReply; // set if mEnd is Answered
  reason mReason;
  replica_notice mNotice; // empty if another process replied
};

// aReplica is the id of the replica, for error messages.
decoded_reply DecodeReply(http_message aMessage, const std::string& aReplica);

// HTTP response to the client.
http_response EncodeAnswer(const forward_answer& aAnswer);

// HTTP response to a request for addresses: JSON with up to 64 addresses and their lifetime, or
// status 503 if aAnswer is a failure.
http_response EncodeAddresses(const result<entry_answer>& aAnswer);

} // namespace redwingdock::platform

#endif
