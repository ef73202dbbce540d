#ifndef REDWINGDOCK_CLIENT_FAKE_DAEMON_H
#define REDWINGDOCK_CLIENT_FAKE_DAEMON_H

#include <functional>
#include <memory>
#include <string>

// Minimal HTTP server on a loopback port for tests of the client.
//
//   fake_daemon daemon([](const std::string& aTarget, const std::string& aBody) {
//     return fake_reply{ .mBody = "{}" };
//   });

namespace redwingdock {

enum class fake_action
{
  Answer,
  Close,        // closes the connection without a reply
  NoReply,      // keeps the connection open and sends no reply
  TruncateBody, // states the full length, sends half of the body and closes the connection
};

struct fake_reply
{
  fake_action mAction = fake_action::Answer;
  int mStatus = 200;
  std::string mBody;

  auto operator<=>(const fake_reply&) const = default;
};

class fake_daemon
{
public:
  // Called with the target and body of a request, on the thread of its connection.
  using handler = std::function<fake_reply(const std::string&, const std::string&)>;

  explicit fake_daemon(handler aHandler);
  ~fake_daemon();
  fake_daemon(const fake_daemon&) = delete;
  fake_daemon& operator=(const fake_daemon&) = delete;

  const std::string& Address() const { return mAddress; }

private:
  struct state;
  std::shared_ptr<state> mState;
  std::string mAddress;
};

// A loopback address on which nothing listens.
std::string UnusedAddress();

} // namespace redwingdock

#endif
