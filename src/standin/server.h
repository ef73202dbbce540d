#ifndef REDWINGDOCK_STANDIN_SERVER_H
#define REDWINGDOCK_STANDIN_SERVER_H

#include "core/requests.h"
#include "standin/behaviour.h"

#include <variant>

// State machine of one backend server: Step maps a state and an event to the next state and to
// commands for the front end. It uses no I/O and no clock, and takes random numbers from a
// generator in the state.
//
//   server_step step = Step(state, part_arrived{ 7, call }, now);

namespace redwingdock::standin {

struct connection_state
{
  bool mSilent = false;

  auto operator<=>(const connection_state&) const = default;
};

// A part as received by the server.
struct received_part_request
{
  std::string mAttempt;
  std::string mServer;
  std::string mPool;
  std::string mShard;
  std::uint64_t mVersion = 0; // of the index, 0 for the newest
  operation mOperation = operation::Search;
  fields mFilter;
  std::string mRequestKey;
  micros mRemaining{ 0 };  // until the deadline
  std::string mCallerZone; // of the daemon that sent it, empty when unknown

  auto operator<=>(const received_part_request&) const = default;
};

// A part in service. It occupies its slot until it completes or is cancelled, even when its
// connection closes.
struct running_part
{
  std::uint64_t mConnection = 0;
  received_part_request mCall;
  index_version mVersion;
  bool mMissesDeadline = false; // it ends at its deadline, before it completes

  auto operator<=>(const running_part&) const = default;
};

struct server_counts
{
  std::uint64_t mRequests = 0; // parts that arrived
  std::uint64_t mRun = 0;      // parts that started to run
  std::uint64_t mShed = 0;     // parts refused because all slots were taken
  std::uint64_t mRefused = 0;  // parts refused for another reason
  std::uint64_t mCancelled = 0;
  std::uint64_t mLate = 0;      // parts that reached their deadline while running
  std::uint64_t mSwallowed = 0; // requests or replies lost on silent connections
  std::uint64_t mBadReplies = 0;
  std::uint64_t mCrashes = 0;
  std::uint64_t mColdOverloads = 0; // crashes from load above the capacity of a cold server
  std::uint64_t mConnectionsOpened = 0;
  std::uint64_t mConnectionsRefused = 0;
  // Highest number at one time, including parts and connections that were refused for the limit.
  std::uint32_t mPeakParts = 0;
  std::uint32_t mPeakConnections = 0;
  instant mLastRequest{};             // arrival of the last part
  std::uint64_t mRequestsInDrain = 0; // parts that arrived while draining

  auto operator<=>(const server_counts&) const = default;
};

enum class server_phase
{
  Up,
  Restarting,
  Stopped, // by an operator, until an operator starts it
};

struct server_state
{
  server_spec mSpec;
  shard_spec mShard;
  behaviour mBehaviour;
  server_phase mPhase = server_phase::Up;
  std::uint64_t mInstance = 1; // number of starts
  bool mWarm = false;
  instant mColdSince{};
  std::uint32_t mColdReplies = 0; // replies since mColdSince
  std::map<std::uint64_t, connection_state> mConnections;
  std::map<std::uint64_t, running_part> mParts;
  std::uint64_t mNextPart = 1;
  std::uint64_t mRandomState = 1; // of a splitmix64 generator
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
  received_part_request mCall;
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

// The service time of a part, or the time until its deadline, has elapsed.
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

// mSilentHold has elapsed: the connection no longer counts and is reset.
struct silence_timer_expired
{
  std::uint64_t mConnection = 0;
  auto operator<=>(const silence_timer_expired&) const = default;
};

// Events that operators cause.

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
  MakeCold, // without a restart, as when the caches are lost
  MakeWarm,
  Silence, // makes all open connections silent
  Reset,   // clears the counts
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

// Starts to read requests from the connection after mDelay, the cost of a new connection.
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

// Resets all connections of the server and refuses new ones until start_listening.
struct stop_listening
{
  std::string mInstance;
  std::string mCause; // for the log
  auto operator<=>(const stop_listening&) const = default;
};

struct start_listening
{
  auto operator<=>(const start_listening&) const = default;
};

// Posts the event after mDelay.
struct schedule_event
{
  micros mDelay{ 0 };
  std::variant<part_timer_expired, restart_timer_expired, silence_timer_expired> mEvent;
  auto operator<=>(const schedule_event&) const = default;
};

// A part starts to run. Runs are counted per attempt and per request key.
struct report_run
{
  std::string mAttempt;
  std::string mRequestKey;
  auto operator<=>(const report_run&) const = default;
};

// Replies with the records that match the call, or with a faulty reply.
struct reply_records
{
  std::uint64_t mConnection = 0;
  received_part_request mCall;
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
  bool mNotRun = true;  // the part never started to run
  std::string mRefusal; // a refusal code of docs/interfaces.md
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

// Number of parts that the server can run at once: mSlots when warm, fewer when cold.
std::uint32_t Capacity(const server_state& aState, instant aNow);

// Returns "<server>-<instance>".
std::string InstanceName(const server_state& aState);

} // namespace redwingdock::standin

#endif
