#ifndef REDWINGDOCK_PLATFORM_REQUEST_CODEC_H
#define REDWINGDOCK_PLATFORM_REQUEST_CODEC_H

#include "core/forwarding.h"
#include "core/requests.h"
#include "daemon/http_text.h"

#include <string>

// Translates between HTTP messages of the platform and the values of forwarding.
//
//   forward_request content = DecodeRequest(message);
//   std::string text = EncodeAttempt(message, replica, timeLeft);
//   decoded_reply reply = DecodeReply(message);

namespace redwingdock::platform {

forward_request DecodeRequest(const http_message& aMessage);

// The request as it is sent to a replica: method, target, body and end-to-end fields are those of
// the client. aTimeLeft is rounded down to milliseconds.
std::string EncodeAttempt(const http_message& aMessage,
                          const replica_entry& aReplica,
                          micros aTimeLeft);

// Whether a reply belongs to the client's request; replicas repeat its id.
bool BelongsTo(const http_message& aReply, const std::string& aRequestId);

struct decoded_reply
{
  attempt_end mEnd = attempt_end::Lost;
  reply_pointer mReply; // when answered
  reason mReason;
};

decoded_reply DecodeReply(http_message aMessage, const std::string& aReplica);

http_response EncodeAnswer(const forward_answer& aAnswer);

// Answer to a caller that asks for addresses; a failure when there is none.
http_response EncodeAddresses(const result<entry_answer>& aAnswer);

} // namespace redwingdock::platform

#endif
