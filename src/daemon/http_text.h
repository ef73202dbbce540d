#ifndef REDWINGDOCK_DAEMON_HTTP_TEXT_H
#define REDWINGDOCK_DAEMON_HTTP_TEXT_H

#include "base/reason.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

// HTTP/1.1 messages as text, without I/O; parsing is Boost.Beast's.
//
//   http_reader reader(http_side::Server, { 64 * 1024 });
//   if (reader.Feed(bytes) == http_status::Complete) {
//     http_message request = reader.Take();
//   }

namespace redwingdock {

struct http_field
{
  std::string mName;
  std::string mValue;

  auto operator<=>(const http_field&) const = default;
};

struct http_message
{
  std::string mMethod;  // requests
  std::string mTarget;  // requests
  unsigned mStatus = 0; // replies
  std::vector<http_field> mFields;
  std::string mBody; // without chunk framing
  bool mKeepAlive = true;

  // Value of the first field with this name in any case; null when there is none.
  const std::string* Find(std::string_view aName) const;

  auto operator<=>(const http_message&) const = default;
};

enum class http_side
{
  Server, // reads requests
  Client, // reads replies
};

enum class http_status
{
  NeedMore,
  Complete,
  Failed,
};

struct http_read_limits
{
  std::size_t mBody = 0; // bytes
  std::size_t mHeader = std::size_t{ 16 } * 1024;

  auto operator<=>(const http_read_limits&) const = default;
};

class http_reader
{
public:
  http_reader(http_side aSide, http_read_limits aLimits);
  ~http_reader();
  http_reader(http_reader&&) noexcept;
  http_reader& operator=(http_reader&&) noexcept;

  // Adds bytes; after Complete, call Take() before the next message is read. After Failed the
  // connection is useless.
  http_status Feed(std::string_view aBytes);
  // The connection ended, which completes a reply without a length.
  http_status FeedEnd();
  http_message Take();
  // Takes effect with the next message.
  void SetLimits(http_read_limits aLimits);

  // Bytes held, and whether a message has begun.
  std::size_t Buffered() const;
  bool Started() const;
  bool HeaderDone() const;

  // After Failed: why, and the status for the other side (400, 413 or 431).
  const reason& Why() const;
  unsigned RefusalStatus() const;

private:
  struct state;
  std::unique_ptr<state> mState;
};

// A request with its own fields, and Content-Length for a body.
std::string FormatRequest(const http_message& aRequest);

// A request with Host and Content-Length; the body is JSON unless empty.
std::string FormatRequest(std::string_view aMethod,
                          std::string_view aTarget,
                          std::string_view aHost,
                          std::string_view aBody);

struct http_response
{
  unsigned mStatus = 200;
  std::string mContentType = "application/json"; // no field when empty
  std::string mBody;
  std::vector<http_field> mFields; // further fields

  auto operator<=>(const http_response&) const = default;
};

std::string FormatReply(const http_response& aReply, bool aKeepAlive);

// Whether two field names are equal in any case.
bool SameName(std::string_view aOne, std::string_view aOther);

// Value of a parameter in the query string of a target, percent-decoded; empty when missing.
std::string QueryParameter(std::string_view aTarget, std::string_view aName);

// Target up to the query string.
std::string_view PathOf(std::string_view aTarget);

} // namespace redwingdock

#endif
