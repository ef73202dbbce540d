#ifndef REDWINGDOCK_STANDIN_SERVER_H
#define REDWINGDOCK_STANDIN_SERVER_H

#include "core/requests.h"
#include "standin/behaviour.h"

#include <variant>

// One backend server as an immutable value: each event makes the next state, and commands for the
// front end. No I/O, no clock; random numbers come from the state.
//
//   server_step step = Step(state, part_arrived{ 7, call }, now);

namespace redwingdock::standin {

struct connection_state
{
  bool mSilent = false;

  auto operator<=>(const connection_state&) const = default;
};

// A part as the server received it. mCallerZone is the zone of the daemon that sent it.
struct part_call
{
  std::string mAttempt;
  std::string mServer;
  std::string mPool;
  std::string mShard;
  std::uint64_t mVersion = 0;
  operation mOperation = operation::Search;
  fields mFilter;
  std::string mRequestKey;
  micros mRemaining{ 0 }; // until the deadline
  std::string mCallerZone;

  auto operator<=>(const part_call&) const = default;
};

// A part in service. Its slot stays taken until it is done, even when its connection has closed.
struct running_part
{
  std::uint64_t mConnection = 0;
  part_call mCall;
  index_version mVersion;
  bool mMissesDeadline = false; // the deadline passes before it is done

  auto operator<=>(const running_part&) const = default;
};

struct server_counts
{
  std::uint64_t mRequests = 0; // parts that arrived
  std::uint64_t mRun = 0;
  std::uint64_t mShed = 0;
  std::uint64_t mRefused = 0; // for another reason
  std::uint64_t mCancelled = 0;
  std::uint64_t mLate = 0;
  std::uint64_t mSwallowed = 0; // requests or replies lost on silent connections
  std::uint64_t mBadReplies = 0;
  std::uint64_t mCrashes = 0;
  std::uint64_t mColdOverloads = 0; // crashes by load above what a cold server bears
  std::uint64_t mConnectionsOpened = 0;
  std::uint64_t mConnectionsRefused = 0;
  // Highest number asked for at once, with the part or connection that was refused for it.
  std::uint32_t mPeakParts = 0;
  std::uint32_t mPeakConnections = 0;
  instant mLastRequest{}; // arrival of the last new part
  std::uint64_t mRequestsInDrain = 0;

  auto operator<=>(const server_counts&) const = default;
};

enum class server_phase
{
  Up,
  Restarting,
  Stopped, // by an operator, until started
};

struct server_state
{
  server_spec mSpec;
  shard_spec mShard;
  behaviour mBehaviour;
  server_phase mPhase = server_phase::Up;
  std::uint64_t mInstance = 1;
  bool mWarm = false;
  instant mColdSince{};
  std::uint32_t mColdReplies = 0; // since mColdSince
  std::map<std::uint64_t, connection_state> mConnections;
  std::map<std::uint64_t, running_part> mParts;
  std::uint64_t mNextPart = 1;
  std::uint64_t mRandomState = 1;
  server_counts mCounts;

  auto operator<=>(const server_state&) const = default;
};

// Events.

struct connection_opened
{
  std::uint64_t mConnection = 0;
  auto operator<=>(const connection_opened&) const = default;
};

struct connection_closed
{
  std::uint64_t mConnection = 0;
  auto operator<=>(const connection_closed&) const = default;
};

struct part_arrived
{
  std::uint64_t mConnection = 0;
  part_call mCall;
  auto operator<=>(const part_arrived&) const = default;
};

struct cancel_arrived
{
  std::uint64_t mConnection = 0;
  std::string mAttempt;
  auto operator<=>(const cancel_arrived&) const = default;
};

struct health_requested
{
  std::uint64_t mConnection = 0;
  auto operator<=>(const health_requested&) const = default;
};

// End of the service time of a part.
struct part_timer_expired
{
  std::uint64_t mInstance = 0;
  std::uint64_t mPart = 0;
  auto operator<=>(const part_timer_expired&) const = default;
};

struct restart_timer_expired
{
  std::uint64_t mInstance = 0;
  auto operator<=>(const restart_timer_expired&) const = default;
};

// A silent connection is no longer counted.
struct silence_timer_expired
{
  std::uint64_t mConnection = 0;
  auto operator<=>(const silence_timer_expired&) const = default;
};

// Operators' changes.

struct change_behaviour
{
  behaviour mBehaviour;
  auto operator<=>(const change_behaviour&) const = default;
};

enum class server_action
{
  Crash,
  Stop,
  Start,
  MakeCold, // without a restart, as after the loss of its caches
  MakeWarm,
  Silence, // all open connections
  Reset,   // counts
};

struct perform_action
{
  server_action mAction = server_action::Crash;
  auto operator<=>(const perform_action&) const = default;
};

using server_event = std::variant<connection_opened,
                                  connection_closed,
                                  part_arrived,
                                  cancel_arrived,
                                  health_requested,
                                  part_timer_expired,
                                  restart_timer_expired,
                                  silence_timer_expired,
                                  change_behaviour,
                                  perform_action>;

// Commands.

// Reads requests from the connection after the cost of a new connection.
struct serve_connection
{
  std::uint64_t mConnection = 0;
  micros mDelay{ 0 };
  auto operator<=>(const serve_connection&) const = default;
};

// Closes the connection with a reset.
struct drop_connection
{
  std::uint64_t mConnection = 0;
  auto operator<=>(const drop_connection&) const = default;
};

// Drops all connections of the server and refuses new ones until Listen.
struct stop_listening
{
  std::string mInstance;
  std::string mCause;
  auto operator<=>(const stop_listening&) const = default;
};

struct start_listening
{
  auto operator<=>(const start_listening&) const = default;
};

// Posts the event after the delay.
struct schedule_event
{
  micros mDelay{ 0 };
  std::variant<part_timer_expired, restart_timer_expired, silence_timer_expired> mEvent;
  auto operator<=>(const schedule_event&) const = default;
};

// A part starts to run: counted per attempt and request key.
struct report_run
{
  std::string mAttempt;
  std::string mRequestKey;
  auto operator<=>(const report_run&) const = default;
};

// Replies with the records of the call, or with a fault.
struct reply_records
{
  std::uint64_t mConnection = 0;
  part_call mCall;
  index_version mVersion;
  position_ranges mRanges;
  server_evidence mEvidence;
  std::optional<bad_reply> mFault;
  auto operator<=>(const reply_records&) const = default;
};

struct reply_refusal
{
  std::uint64_t mConnection = 0;
  std::string mAttempt;
  std::string mServer;
  std::string mShard;
  bool mNotRun = true;
  std::string mRefusal; // as in docs/interfaces.md
  std::string mText;
  server_evidence mEvidence;
  auto operator<=>(const reply_refusal&) const = default;
};

struct reply_cancel
{
  std::uint64_t mConnection = 0;
  auto operator<=>(const reply_cancel&) const = default;
};

struct reply_health
{
  std::uint64_t mConnection = 0;
  std::string mInstance;
  server_mode mMode = server_mode::Warm;
  std::size_t mParts = 0;
  std::size_t mConnections = 0;
  auto operator<=>(const reply_health&) const = default;
};

using server_command = std::variant<serve_connection,
                                    drop_connection,
                                    stop_listening,
                                    start_listening,
                                    schedule_event,
                                    report_run,
                                    reply_records,
                                    reply_refusal,
                                    reply_cancel,
                                    reply_health>;

struct server_step
{
  server_state mState;
  std::vector<server_command> mCommands;
};

server_step Step(const server_state& aState, const server_event& aEvent, instant aNow);

// Parts that the server bears at once: mSlots when warm.
std::uint32_t Capacity(const server_state& aState, instant aNow);

// "<server>-<instance>"
std::string InstanceName(const server_state& aState);

} // namespace redwingdock::standin

#endif
