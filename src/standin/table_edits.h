#ifndef REDWINGDOCK_STANDIN_TABLE_EDITS_H
#define REDWINGDOCK_STANDIN_TABLE_EDITS_H

#include "core/values.h"

// Operators' edits of the published tables, as YAML text with the next revision.
//
//   std::string next = Render(CloseZone(pools, "solola"));

namespace redwingdock::standin {

std::string Render(const pools_table& aTable);
std::string Render(const vm_list& aTable);

// Each edit raises the revision by 1; nothing when the edit names something unknown.
std::optional<pools_table> SetZoneClosed(pools_table aTable,
                                         const std::string& aZone,
                                         bool aClosed);
std::optional<pools_table> SetServerDraining(pools_table aTable,
                                             const std::string& aServer,
                                             bool aDraining);
std::optional<pools_table> RemoveServer(pools_table aTable, const std::string& aServer);
std::optional<vm_list> SetVmState(vm_list aTable, const std::string& aVm, vm_state aState);
std::optional<vm_list> RemoveVm(vm_list aTable, const std::string& aVm);

// Adds the VM or replaces the one of its name.
vm_list PutVm(vm_list aTable, vm_spec aVm);

} // namespace redwingdock::standin

#endif
