#ifndef REDWINGDOCK_STANDIN_JSON_CODEC_H
#define REDWINGDOCK_STANDIN_JSON_CODEC_H

#include "standin/board.h"
#include "standin/records.h"

// JSON messages of the backend servers (docs/interfaces.md, section 2) and of the stand-in's state.
//
//   result<received_part_request> call = ReadPart(body);

namespace redwingdock::standin {

// Fails when the body is not a JSON object, or when a field is missing or invalid.
result<received_part_request> ReadPart(const std::string& aBody);

// Returns the attempt to cancel.
result<std::string> ReadCancel(const std::string& aBody);

// Returns the name of the VM in an attempt id "<vm>.<incarnation>#<number>".
std::string CallerVm(const std::string& aAttempt);

std::string WriteRecords(const reply_records& aReply, const std::vector<record>& aRecords);
std::string WriteRefusal(const reply_refusal& aReply);
std::string WriteHealth(const reply_health& aReply);

// Returns the body of GET /admin/state.
std::string WriteState(const standin_board& aBoard, instant aNow);

} // namespace redwingdock::standin

#endif
