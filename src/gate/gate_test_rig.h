#ifndef REDWINGDOCK_GATE_GATE_TEST_RIG_H
#define REDWINGDOCK_GATE_GATE_TEST_RIG_H

#include "core/controller_facts.h"
#include "gate/gate_controller.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

// Simulation of the gates of several daemons and one backend server, with a manual clock, for tests
// and benchmarks. The server counts violations of its limits.
//
//   gate_rig rig({ .mGates = 5, .mSlots = 3 });
//   rig.Load(std::chrono::seconds(3), std::chrono::milliseconds(2));
//   rig.RunFor(std::chrono::seconds(4));
//   EXPECT_EQ(rig.mServer.mOverload, 0);

namespace redwingdock {

inline constexpr char kRigServer[] = "s-1";
inline constexpr char kRigZone[] = "zone-a";

struct rig_options
{
  std::uint32_t mGates = 1;
  std::uint32_t mSlots = 3;        // of the server
  std::uint32_t mConnections = 30; // limit of the server
  bool mWarmServer = false;        // handles all slots from the start
  gate_hooks mHooks;
  core_config mConfig;
};

// Simulated backend server. It warms up exactly at the rate that the design promises to respect:
// its capacity grows by one request after 8 replies and 500 ms at a level.
struct rig_server
{
  std::string mInstance = "s-1-1";
  server_mode mMode = server_mode::Warm;
  bool mDown = false; // nothing listens
  bool mHung = false; // accepts no connections and sends no replies
  micros mService = std::chrono::milliseconds(5);
  micros mColdService = std::chrono::milliseconds(5); // service time below the top level
  bool mSheds = false;                                // refuses requests above its capacity
  bool mHonorsCancel = true;                          // stops a cancelled part and replies
  std::uint32_t mLevel = 0;                           // its capacity is mLevel + 1 requests
  std::uint32_t mReplies = 0;                         // since the last change of mLevel
  instant mLevelSince{};
  instant mGraceUntil{}; // no overload is counted before this time

  std::map<attempt_id, std::uint64_t> mRunning; // run number by attempt
  std::map<attempt_id, int> mRuns;
  std::map<attempt_id, std::uint64_t> mConnectionOf;       // connection id by attempt
  std::set<std::pair<std::size_t, std::uint64_t>> mOpen;   // gate and connection id
  std::set<std::pair<std::size_t, std::uint64_t>> mSilent; // open, but deliver nothing

  int mOverload = 0;        // arrivals above its capacity
  int mOverSlots = 0;       // arrivals above its slots
  int mOverConnections = 0; // connections above its limit
  int mAnswered = 0;
  std::size_t mMaxRunning = 0;
  std::size_t mMaxOpen = 0;
};

class gate_rig
{
public:
  explicit gate_rig(rig_options aOptions);

  // Sends a request every aEvery for aFor, to each gate in turn.
  void Load(micros aFor, micros aEvery, micros aDeadline = std::chrono::milliseconds(500));
  void At(micros aDelay, std::function<void()> aAction);
  void RunFor(micros aTime);

  // Sends a request of the gate's own daemon. Returns its attempt.
  attempt_id Request(std::size_t aGate,
                     micros aDeadline = std::chrono::milliseconds(500),
                     urgency aUrgency = urgency::Normal,
                     std::uint64_t aFingerprint = 7);
  void RepeatRequest(std::size_t aGate, const part_request& aRequest, const std::string& aFrom);
  void Cancel(std::size_t aGate, const attempt_id& aAttempt);

  template<typename T>
  void Post(std::size_t aGate, const std::string& aKey, T aFact)
  {
    mGates[aGate]->mContext.mBoard.Post(aKey, std::move(aFact));
  }

  blackboard& Board(std::size_t aGate) { return mGates[aGate]->mContext.mBoard; }
  std::uint32_t StageAt(std::size_t aGate);
  std::string NameOf(std::size_t aGate) const { return "vm-" + std::to_string(aGate); }

  void SetPermits(const std::vector<permit>& aPermits); // of all gates
  void SetPermits(std::size_t aGate, const std::vector<permit>& aPermits);
  void SetPools(const std::function<void(pools_table&)>& aChange);
  // Stops or resumes the confirmation of the gate's member view.
  void SetUnconfirmed(std::size_t aGate, bool aUnconfirmed)
  {
    mGates[aGate]->mUnconfirmed = aUnconfirmed;
  }
  // Stops the gate's process for aFor. Its facts and commands wait.
  void Pause(std::size_t aGate, micros aFor);
  // Delays all commands of the gate for aFor, while the gate continues to decide.
  void StallFrontEnd(std::size_t aGate, micros aFor);
  // Resets all connections. The server continues to run their parts.
  void BreakConnections();
  void SetPartitioned(std::size_t aGate, bool aPartitioned)
  {
    mGates[aGate]->mPartitioned = aPartitioned;
  }
  void Restart(std::size_t aGate);
  // Ends the server process, which breaks its connections and stops its parts. A cold process with
  // the given instance replaces it unless mDown is set.
  void CrashServer(const std::string& aNextInstance);
  // Stops all traffic on the open connections without an event.
  void SilenceConnections();

  std::vector<part_reply> ResultsOf(const attempt_id& aAttempt) const;
  instant Now() const { return mNow; }
  std::uint64_t Commands() const { return mCommands; }

  rig_server mServer;
  std::map<attempt_id, std::vector<part_reply>> mResults;
  std::map<attempt_id, part_request> mRequests;
  std::vector<server_lost> mLost;
  std::vector<std::string> mLog;
  int mChecks = 0;

private:
  struct gate
  {
    gate(core_config aConfig, const gate_hooks& aHooks)
      : mContext(std::move(aConfig), 4)
    {
      AddGateController(mContext, aHooks);
    }

    core_context mContext;
    bool mUnconfirmed = false;
    bool mPartitioned = false;
    instant mPausedUntil{};
    instant mStalledUntil{};
  };

  std::unique_ptr<gate> MakeGate(std::size_t aIndex);
  void FillBoard(std::size_t aIndex);
  void Step();
  void ConfirmViews();
  void Execute(std::size_t aGate, const command& aCommand);
  void Execute(std::size_t aGate, const open_connection& aCommand);
  void Execute(std::size_t aGate, const close_connection& aCommand);
  void Execute(std::size_t aGate, const send_part& aCommand);
  void Execute(std::size_t aGate, const cancel_part& aCommand);
  void Execute(std::size_t aGate, const check_connection& aCommand);
  void Execute(std::size_t aGate, const send_to_peer& aCommand);
  void OnArrival(std::size_t aGate, const send_part& aCommand);
  void EndPart(std::size_t aGate, const send_part& aCommand, std::uint64_t aRun);
  void Answer(std::size_t aGate, std::uint64_t aConnection, part_reply aReply);
  void CountOpen();
  std::uint32_t Capacity() const;

  rig_options mOptions;
  instant mNow{ std::chrono::seconds(1000) };
  std::multimap<instant, std::function<void()>> mEvents;
  std::vector<std::unique_ptr<gate>> mGates;
  std::vector<permit> mPermits;
  std::shared_ptr<const pools_table> mPools;
  std::uint64_t mNextQuery = 1;
  std::uint64_t mNextRun = 1;
  std::uint64_t mCommands = 0;
  std::size_t mAuxiliaryOpen = 0; // connections of liveness checks and cancellations
};

} // namespace redwingdock

#endif
