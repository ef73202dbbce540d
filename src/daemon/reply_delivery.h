#ifndef REDWINGDOCK_DAEMON_REPLY_DELIVERY_H
#define REDWINGDOCK_DAEMON_REPLY_DELIVERY_H

#include "base/time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

// Follows the replies of one connection until the kernel has taken all their bytes.
//
//   delivery = WithReply(delivery, "id-1", text.size(), connection.UnsentBytes(), SteadyNow());
//   std::vector<unsent_reply> waiting = UnsentReplies(delivery, connection.UnsentBytes());

namespace redwingdock {

// A reply of which the kernel has not taken all bytes.
struct unsent_reply
{
  std::string mRequest; // the name of its request
  std::size_t mBytes = 0;
  instant mHandedAt{}; // to the connection

  auto operator<=>(const unsent_reply&) const = default;
};

// A reply and where it ends among all bytes of the connection's replies.
struct handed_reply
{
  std::string mRequest;
  std::uint64_t mEnd = 0;
  instant mHandedAt{};

  auto operator<=>(const handed_reply&) const = default;
};

struct reply_delivery
{
  std::uint64_t mHandedBytes = 0;
  std::vector<handed_reply> mReplies; // those that may be unsent, oldest first

  auto operator<=>(const reply_delivery&) const = default;
};

// A reply of aBytes was handed to the connection, after which aUnsent bytes wait.
reply_delivery WithReply(reply_delivery aDelivery,
                         std::string aRequest,
                         std::size_t aBytes,
                         std::size_t aUnsent,
                         instant aNow);

// The replies that are not sent while aUnsent bytes wait, oldest first.
std::vector<unsent_reply> UnsentReplies(const reply_delivery& aDelivery, std::size_t aUnsent);

} // namespace redwingdock

#endif
