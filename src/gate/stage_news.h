#ifndef REDWINGDOCK_GATE_STAGE_NEWS_H
#define REDWINGDOCK_GATE_STAGE_NEWS_H

#include "gate/gate_turn.h"

// Exchange of the stage of a server among the holders of its permits.

namespace redwingdock {

// Stores the new ramp state and logs a change of stage. Evidence of a cold server that was found
// here is sent to all holders at once.
void ApplyRamp(gate_turn& aTurn, ramp_step aStep, bool aFoundHere);

void OnStageMessage(gate_turn& aTurn, const received<server_stage_message>& aReceived);

// Sends the stage when it is due: the leader to all holders on every change and every
// mRampInterval; another holder its own evidence, or a cold start the leader has not acknowledged,
// to the leader. Nothing is sent without evidence.
void TellStage(gate_turn& aTurn);

} // namespace redwingdock

#endif
