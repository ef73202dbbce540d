#ifndef REDWINGDOCK_DAEMON_HTTP_TEXT_H
#define REDWINGDOCK_DAEMON_HTTP_TEXT_H

#include "base/reason.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// Parses and formats HTTP/1.1 messages, without I/O. The parser is Boost.Beast.
//
//   http_reader reader(http_side::Server, { 64 * 1024 });
//   if (reader.Feed(bytes) == http_read_status::Complete) {
//     http_message request = reader.Take();
//   }

namespace redwingdock {

struct http_field
{
  std::string mName;
  std::string mValue;

  auto operator<=>(const http_field&) const = default;
};

// A request or a reply.
struct http_message
{
  std::string mMethod;  // of a request
  std::string mTarget;  // of a request
  unsigned mStatus = 0; // of a reply
  std::vector<http_field> mFields;
  std::string mBody; // without chunk framing
  bool mKeepAlive = true;

  // Value of the first field with this name, ignoring case; null when there is none.
  const std::string* Find(std::string_view aName) const;

  auto operator<=>(const http_message&) const = default;
};

// Memory that a message takes: short fields are held in about ten times their bytes.
std::size_t HeldBytes(const http_message& aMessage);

enum class http_side
{
  Server, // reads requests
  Client, // reads replies
};

// Result of feeding bytes to an http_reader.
enum class http_read_status
{
  NeedMore,
  Complete,
  Failed,
};

// Size limits in bytes.
struct http_read_limits
{
  std::size_t mBody = 0;
  std::size_t mHeader = std::size_t{ 16 } * 1024;

  auto operator<=>(const http_read_limits&) const = default;
};

// Reads consecutive messages from a stream of bytes. Interim replies (status 100 to 199) and the
// fields of trailers are dropped.
class http_reader
{
public:
  http_reader(http_side aSide, http_read_limits aLimits);
  ~http_reader();
  http_reader(http_reader&&) noexcept;
  http_reader& operator=(http_reader&&) noexcept;

  // Adds bytes. After Complete, call Take() before reading the next message; after Failed, the
  // connection cannot be used any more.
  http_read_status Feed(std::string_view aBytes);
  // Call when the connection ended; completes a reply whose body ends with the connection.
  http_read_status FeedEof();
  // Returns the complete message and starts the next one.
  http_message Take();
  // Takes effect with the next message.
  void SetLimits(http_read_limits aLimits);

  // Bytes not yet parsed.
  std::size_t Buffered() const;
  // Memory of what was received and not taken yet.
  std::size_t HeldBytes() const;
  // Whether the first byte, or the whole header, of the current message was received.
  bool Started() const;
  bool HeaderDone() const;

  // After Failed: the error, and the status to reply with (400, 413 or 431).
  const reason& Error() const;
  unsigned ErrorStatus() const;

private:
  struct state;
  std::unique_ptr<state> mState;
};

// Formats a request with the fields of aRequest; adds Content-Length for a body, POST or PUT.
std::string FormatRequest(const http_message& aRequest);

// Formats a request with Host and, for a body or POST, Content-Length; a body is sent as JSON.
std::string FormatRequest(std::string_view aMethod,
                          std::string_view aTarget,
                          std::string_view aHost,
                          std::string_view aBody);

struct http_response
{
  unsigned mStatus = 200;
  std::string mContentType = "application/json"; // when empty, the field is left out
  std::string mBody;
  std::vector<http_field> mFields; // other than Content-Type, Content-Length and Connection

  auto operator<=>(const http_response&) const = default;
};

// Formats a reply with Content-Type and Content-Length; adds "Connection: close" unless aKeepAlive.
// A reply with a ReplyError is replaced by status 502 without fields and body, which neither
// promises that the request ran nor that it did not.
std::string FormatReply(const http_response& aReply, bool aKeepAlive);

// What HTTP/1.1 does not allow in a reply; nullopt if nothing. The text holds no bytes of the
// reply.
std::optional<std::string> ReplyError(const http_response& aReply);

// Whether two field names are equal, ignoring case.
bool EqualFieldNames(std::string_view aFirst, std::string_view aSecond);

// Value of a parameter in the query string of a target, percent-decoded; empty when missing.
std::string QueryParameter(std::string_view aTarget, std::string_view aName);

// The target without its query string.
std::string_view PathOf(std::string_view aTarget);

} // namespace redwingdock

#endif
