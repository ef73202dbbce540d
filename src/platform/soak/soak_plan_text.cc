#include "base/log_text.h"
#include "platform/soak/soak_plan.h"

namespace redwingdock::platform {

namespace {

const char* ToString(soak_action aAction)
{
  switch (aAction) {
    case soak_action::Terminate:
      return "terminate";
    case soak_action::TerminateTwice:
      return "terminate_twice";
    case soak_action::Kill:
      return "kill";
    case soak_action::Reload:
      return "reload";
    case soak_action::LowerLimits:
      return "lower_limits";
    case soak_action::RaiseLimits:
      return "raise_limits";
    case soak_action::DropRoute:
      return "drop_route";
    case soak_action::RestoreRoute:
      return "restore_route";
    case soak_action::DrainReplica:
      return "drain_replica";
    case soak_action::RemoveReplica:
      return "remove_replica";
    case soak_action::StoreDown:
      return "store_down";
    case soak_action::StoreUp:
      return "store_up";
    case soak_action::EvacuateZone:
      return "evacuate_zone";
    case soak_action::RestoreZone:
      return "restore_zone";
    case soak_action::MoveRoute:
      return "move_route";
    case soak_action::CopyStore:
      return "copy_store";
    case soak_action::ReturnStore:
      return "return_store";
  }
  return "";
}

const char* ToString(waiting_watches aWaiting)
{
  switch (aWaiting) {
    case waiting_watches::Cut:
      return "cut";
    case waiting_watches::WaitOn:
      return "wait_on";
    case waiting_watches::Silent:
      return "silent";
  }
  return "";
}

const char* ToString(log_sink aSink)
{
  switch (aSink) {
    case log_sink::File:
      return "file";
    case log_sink::UnreadPipe:
      return "unread_pipe";
    case log_sink::ClosedPipe:
      return "closed_pipe";
  }
  return "";
}

} // namespace

std::string Describe(const soak_plan& aPlan)
{
  std::string text =
    "seed=" + std::to_string(aPlan.mOptions.mSeed) + " deployment=" + aPlan.mDeployment.mName +
    " daemons=" + std::to_string(aPlan.mOptions.mDaemons) +
    " reply_bytes=" + std::to_string(aPlan.mReplyBytes) + " quota_ms=" + MsText(aPlan.mQuota) +
    " lost_replies=" + std::to_string(aPlan.mFaults.mLostReplies) +
    " stalls=" + std::to_string(aPlan.mFaults.mStalls) +
    " resets=" + std::to_string(aPlan.mFaults.mResets) +
    " slow=" + std::to_string(aPlan.mFaults.mSlow) +
    " failures=" + std::to_string(aPlan.mFaults.mFailures) + " events=";
  for (const soak_event& each : aPlan.mEvents) {
    text += std::string(ToString(each.mAction)) + ":" + std::to_string(each.mTarget) + "@" +
            MsText(each.mAt) + ",";
  }
  text += std::string(" log=") + ToString(aPlan.mLogSink) + " early=";
  for (const early_signal& each : aPlan.mEarlySignals) {
    text += std::string(ToString(each.mAction)) + ":" + std::to_string(each.mDaemon) + "#" +
            std::to_string(each.mStart) + "+" + MsText(each.mAfter) + ",";
  }
  text += std::string(" era=") + (aPlan.mStatesEra ? "stated" : "not_stated") + " returns=";
  for (const store_return& each : aPlan.mReturns) {
    text += std::string(ToString(each.mWaiting)) + "#" + std::to_string(each.mWrites) + "+" +
            MsText(each.mAway) + "+" + MsText(each.mReplicaDelay) + "+" +
            MsText(each.mOperatorDelay) + ",";
  }
  text += " clients=";
  for (const soak_client_profile& each : aPlan.mClients) {
    text += std::string(each.mName) + ":" + std::to_string(each.mCount) + ",";
  }
  return text;
}

} // namespace redwingdock::platform
