#ifndef REDWINGDOCK_STANDIN_JSON_CODEC_H
#define REDWINGDOCK_STANDIN_JSON_CODEC_H

#include "standin/board.h"
#include "standin/records.h"

// JSON of the backend servers (docs/interfaces.md, section 2) and of the stand-in's state.
//
//   result<part_call> call = ReadPart(body);

namespace redwingdock::standin {

result<part_call> ReadPart(const std::string& aBody);
result<std::string> ReadCancel(const std::string& aBody);

// Name of the VM in an attempt "<vm>.<incarnation>#<number>".
std::string CallerVm(const std::string& aAttempt);

std::string WriteRecords(const reply_records& aReply, const std::vector<record>& aRecords);
std::string WriteRefusal(const reply_refusal& aReply);
std::string WriteHealth(const reply_health& aReply);

// Everything GET /admin/state shows.
std::string WriteState(const standin_board& aBoard, instant aNow);

} // namespace redwingdock::standin

#endif
