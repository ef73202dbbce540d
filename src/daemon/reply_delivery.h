#ifndef REDWINGDOCK_DAEMON_REPLY_DELIVERY_H
#define REDWINGDOCK_DAEMON_REPLY_DELIVERY_H

#include "base/time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

// Follows the replies of one connection until the kernel has taken all their bytes, which tells how
// fast the client reads.
//
//   delivery = WithReply(delivery, "id-1", text.size(), connection.UnsentBytes(), SteadyNow());
//   delivery = WithUnsent(delivery, connection.UnsentBytes(), SteadyNow());
//   micros wait = ExpectedDelivery(delivery);

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
  std::size_t mUnsent = 0;            // when last looked at
  instant mWaitingSince = kNever;     // bytes have been unsent since then
  std::uint64_t mTakenThen = 0;       // bytes that the kernel had taken by mWaitingSince
  std::optional<double> mBytesPerS;   // measured while bytes were unsent, with a margin
  std::size_t mLastBytes = 0;         // of the last reply
  micros mLastWait{ 0 };              // for the last replies to be taken

  auto operator<=>(const reply_delivery&) const = default;
};

// A reply of aBytes was handed to the connection, after which aUnsent bytes wait.
reply_delivery WithReply(reply_delivery aDelivery,
                         std::string aRequest,
                         std::size_t aBytes,
                         std::size_t aUnsent,
                         instant aNow);

// aUnsent bytes wait now.
reply_delivery WithUnsent(reply_delivery aDelivery, std::size_t aUnsent, instant aNow);

// When the oldest reply with unsent bytes was handed over; kNever if there is none.
instant HeldSince(const reply_delivery& aDelivery);

// Bytes that the kernel has taken since bytes began to wait; 0 if none wait.
std::size_t TakenWhileWaiting(const reply_delivery& aDelivery);

// How long a next reply like the last one is likely to wait until the kernel has taken it, if it is
// handed over now.
micros ExpectedDelivery(const reply_delivery& aDelivery);

// The replies that are not sent while aUnsent bytes wait, oldest first.
std::vector<unsent_reply> UnsentReplies(const reply_delivery& aDelivery, std::size_t aUnsent);

} // namespace redwingdock

#endif
