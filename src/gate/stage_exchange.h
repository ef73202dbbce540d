#ifndef REDWINGDOCK_GATE_STAGE_EXCHANGE_H
#define REDWINGDOCK_GATE_STAGE_EXCHANGE_H

#include "gate/gate_update.h"

// Exchange of a server's cold-start stage between the holders of its permits.

namespace redwingdock {

// Stores the new ramp state and logs a change of stage. When this daemon itself found the server
// cold (aFoundLocally), announces it to all other holders at once.
void ApplyRamp(gate_update& aUpdate, ramp_step aStep, bool aFoundLocally);

void OnStageMessage(gate_update& aUpdate, const received<server_stage_message>& aReceived);

// Sends the stage if it is due, that is on every change and every mRampInterval. The leader sends
// to all other holders. Another holder sends to the leader: a cold start that the leader has not
// acknowledged, or else the evidence of its own replies. Without fresh evidence nothing is sent.
void SendStageIfDue(gate_update& aUpdate);

} // namespace redwingdock

#endif
