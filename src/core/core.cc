#include "core/core.h"

#include <type_traits>

namespace redwingdock {

namespace {

// Key under which a fact or message is posted; it selects the shard that processes it.
struct key_of
{
  std::string operator()(const query_arrived& aFact) const { return QueryKey(aFact.mQuery); }
  std::string operator()(const caller_disconnected& aFact) const { return QueryKey(aFact.mQuery); }
  std::string operator()(const entry_requested&) const { return kSelfKey; }
  std::string operator()(const table_read&) const { return kTablesKey; }
  std::string operator()(const table_unchanged&) const { return kTablesKey; }
  std::string operator()(const table_read_failed&) const { return kTablesKey; }
  std::string operator()(const connection_changed& aFact) const { return aFact.mServer; }
  std::string operator()(const part_replied& aFact) const { return aFact.mServer; }
  std::string operator()(const check_answered& aFact) const { return aFact.mServer; }
  std::string operator()(const peer_connection_changed&) const { return kMembersKey; }
  std::string operator()(const stop_requested&) const { return kSelfKey; }
  std::string operator()(const request_arrived& aFact) const
  {
    return ForwardRequestKey(aFact.mRequest);
  }
  std::string operator()(const request_abandoned& aFact) const
  {
    return ForwardRequestKey(aFact.mRequest);
  }
  std::string operator()(const attempt_ended& aFact) const
  {
    return ForwardRequestKey(aFact.mKey.mRequest);
  }
  std::string operator()(const replica_checked& aFact) const { return aFact.mReplica->mId; }
  std::string operator()(const store_page_read&) const { return kStoreKey; }
  std::string operator()(const store_changes_read&) const { return kStoreKey; }
  std::string operator()(const store_read_failed&) const { return kStoreKey; }
  std::string operator()(const store_checked&) const { return kStoreKey; }
  std::string operator()(const heartbeat_received&) const { return kFleetKey; }
  std::string operator()(const settings_changed&) const { return kSettingsKey; }

  std::string operator()(const view_message&) const { return kMembersKey; }
  std::string operator()(const probe_message&) const { return kMembersKey; }
  std::string operator()(const probe_reply_message&) const { return kMembersKey; }
  std::string operator()(const table_pull_message&) const { return kTablesKey; }
  std::string operator()(const table_message&) const { return kTablesKey; }
  std::string operator()(const forward_part_message& aMessage) const
  {
    return aMessage.mRequest.mServer;
  }
  std::string operator()(const part_reply_message& aMessage) const
  {
    return QueryKey(QueryOf(aMessage.mReply.mAttempt));
  }
  std::string operator()(const cancel_part_message& aMessage) const { return aMessage.mServer; }
  std::string operator()(const server_stage_message& aMessage) const { return aMessage.mServer; }
  std::string operator()(const suspect_message&) const { return kSuspectsKey; }
  std::string operator()(const permit_release_message&) const { return kMembersKey; }
  std::string operator()(const forward_query_message&) const { return kSelfKey; }
  std::string operator()(const query_answer_message&) const { return kSelfKey; }
};

} // namespace

core::core(core_config aConfig, const assembly_hook& aAssemble, std::size_t aShards)
  : mContext(std::move(aConfig), aShards)
{
  mContext.mBoard.OnFact<settings_changed>(
    [this](const std::string& aKey, const settings_changed& aFact) {
      mContext.mBoard.Write(aKey, aFact.mForward);
    });
  aAssemble(mContext);
}

void core::Advance(instant aNow)
{
  // Posts the pause before the overdue timers, so that their facts are processed with an
  // unconfirmed view.
  const instant before = mContext.Now();
  if (before != instant{} && aNow - before > mContext.mConfig.mPauseLimit) {
    mContext.mBoard.Post(kMembersKey, process_paused{ aNow - before });
  }
  mContext.Advance(aNow);
}

void core::Post(fact aFact)
{
  std::visit(
    [this](auto& aEach) {
      using type = std::decay_t<decltype(aEach)>;
      if constexpr (std::is_same_v<type, peer_message_received>) {
        PostMessage(aEach);
      } else {
        const std::string key = key_of()(aEach);
        mContext.mBoard.Post(key, std::move(aEach));
      }
    },
    aFact);
}

void core::PostMessage(const peer_message_received& aReceived)
{
  std::visit(
    [this, &aReceived](const auto& aMessage) {
      using type = std::decay_t<decltype(aMessage)>;
      mContext.mBoard.Post(key_of()(aMessage),
                           received<type>{ aReceived.mFrom, aReceived.mFromIncarnation, aMessage });
    },
    aReceived.mMessage);
}

} // namespace redwingdock
