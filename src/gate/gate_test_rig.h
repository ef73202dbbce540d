#ifndef REDWINGDOCK_GATE_GATE_TEST_RIG_H
#define REDWINGDOCK_GATE_GATE_TEST_RIG_H

#include "core/core_facts.h"
#include "gate/gate_controller.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

// Gates of several daemons on one backend server that counts its own requests and connections,
// with a manual clock. For tests and benchmarks.
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
  std::uint32_t mSlots = 3;
  std::uint32_t mConnections = 30;
  bool mWarmServer = false; // bears all slots from the start
  gate_hooks mHooks;
  core_config mConfig;
};

// Backend server. Its warm-up is the fastest that the design promises to respect: it bears one
// more request after 8 replies and 500 ms at a level.
struct rig_server
{
  std::string mInstance = "s-1-1";
  server_mode mMode = server_mode::Warm;
  bool mDown = false; // nothing listens
  bool mHung = false; // accepts nothing and answers nothing
  micros mService = std::chrono::milliseconds(5);
  micros mColdService = std::chrono::milliseconds(5); // below the full level
  bool mSheds = false;                                // refuses requests above what it bears
  bool mHeedsCancel = true;                           // stops a cancelled part and answers it
  std::uint32_t mLevel = 0;                           // bears mLevel + 1 requests
  std::uint32_t mReplies = 0;
  instant mLevelSince{};
  instant mGraceUntil{}; // load before this time is not counted as overload

  std::map<attempt_id, std::uint64_t> mRunning; // with the number of its run
  std::map<attempt_id, int> mRuns;
  std::map<attempt_id, std::uint64_t> mCarriedOn;          // connection
  std::set<std::pair<std::size_t, std::uint64_t>> mOpen;   // by gate and connection
  std::set<std::pair<std::size_t, std::uint64_t>> mSilent; // open, but nothing passes any more

  int mOverload = 0;        // arrivals above what it bears
  int mOverSlots = 0;       // arrivals above its slots
  int mOverConnections = 0; // connections above its cap
  int mAnswered = 0;
  std::size_t mMostRunning = 0;
  std::size_t mMostOpen = 0;
};

class gate_rig
{
public:
  explicit gate_rig(rig_options aOptions);

  // Requests at every aEvery, in turn on each gate that may be used, until aFor has passed.
  void Load(micros aFor, micros aEvery, micros aDeadline = std::chrono::milliseconds(500));
  void At(micros aDelay, std::function<void()> aDo);
  void RunFor(micros aTime);

  // A request of the gate's own daemon; returns its attempt.
  attempt_id Ask(std::size_t aGate,
                 micros aDeadline = std::chrono::milliseconds(500),
                 urgency aUrgency = urgency::Normal,
                 std::uint64_t aFingerprint = 7);
  void AskAgain(std::size_t aGate, const part_request& aRequest, const std::string& aFrom);
  void Cancel(std::size_t aGate, const attempt_id& aAttempt);

  template<typename T>
  void Post(std::size_t aGate, const std::string& aKey, T aFact)
  {
    mGates[aGate]->mContext.mBoard.Post(aKey, std::move(aFact));
  }

  blackboard& Board(std::size_t aGate) { return mGates[aGate]->mContext.mBoard; }
  std::uint32_t StageAt(std::size_t aGate);
  std::string NameOf(std::size_t aGate) const { return "vm-" + std::to_string(aGate); }

  void SetPermits(const std::vector<permit>& aPermits); // at every gate
  void SetPermits(std::size_t aGate, const std::vector<permit>& aPermits);
  void SetPools(const std::function<void(pools_table&)>& aChange);
  // Stops the confirmation of the gate's view.
  void Unconfirm(std::size_t aGate, bool aStopped) { mGates[aGate]->mUnconfirmed = aStopped; }
  // The process does not run; its commands and facts wait.
  void Pause(std::size_t aGate, micros aFor);
  // Decisions go on, but the front end carries out no command.
  void StallFrontEnd(std::size_t aGate, micros aFor);
  // Reset connections; the server keeps running their parts.
  void BreakConnections();
  void Cut(std::size_t aGate, bool aCut) { mGates[aGate]->mCut = aCut; }
  void Restart(std::size_t aGate);
  // The process ends: its connections break and its parts stop. mDown remains as it is.
  void CrashServer(const std::string& aNextInstance);
  // Everything on the connections that are open now stops without an event.
  void SilenceConnections();

  std::vector<part_reply> ResultsOf(const attempt_id& aAttempt) const;
  instant Now() const { return mNow; }
  std::uint64_t Commands() const { return mCommands; }

  rig_server mServer;
  std::map<attempt_id, std::vector<part_reply>> mResults;
  std::map<attempt_id, part_request> mAsked;
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
    bool mCut = false;
    instant mPausedUntil{};
    instant mStalledUntil{};
  };

  std::unique_ptr<gate> MakeGate(std::size_t aIndex);
  void FillBoard(std::size_t aIndex);
  void Step();
  void Confirm();
  void Carry(std::size_t aGate, const command& aCommand);
  void Carry(std::size_t aGate, const open_connection& aCommand);
  void Carry(std::size_t aGate, const close_connection& aCommand);
  void Carry(std::size_t aGate, const send_part& aCommand);
  void Carry(std::size_t aGate, const cancel_part& aCommand);
  void Carry(std::size_t aGate, const check_connection& aCommand);
  void Carry(std::size_t aGate, const send_to_peer& aCommand);
  void Arrive(std::size_t aGate, const send_part& aCommand);
  void EndPart(std::size_t aGate, const send_part& aCommand, std::uint64_t aRun);
  void Answer(std::size_t aGate, std::uint64_t aConnection, part_reply aReply);
  void CountOpen();
  std::uint32_t Bears() const;

  rig_options mOptions;
  instant mNow{ std::chrono::seconds(1000) };
  std::multimap<instant, std::function<void()>> mEvents;
  std::vector<std::unique_ptr<gate>> mGates;
  std::vector<permit> mPermits;
  std::shared_ptr<const pools_table> mPools;
  std::uint64_t mNextQuery = 1;
  std::uint64_t mNextRun = 1;
  std::uint64_t mCommands = 0;
  std::size_t mSides = 0; // connections of checks and cancellations
};

} // namespace redwingdock

#endif
