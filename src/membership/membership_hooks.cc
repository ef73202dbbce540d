#include "membership/membership_hooks.h"

namespace redwingdock {

bool ProbeReplyConfirms(const probe_reply_message& aReply, const table_revision& aOwnRevision)
{
  return aReply.mListsYou && aReply.mVmRevision <= aOwnRevision;
}

instant EarliestConfirmationAfterPause(instant aNow)
{
  return aNow;
}

} // namespace redwingdock
