#ifndef REDWINGDOCK_STANDIN_TABLE_EDITS_H
#define REDWINGDOCK_STANDIN_TABLE_EDITS_H

#include "core/values.h"

// Edits of the published tables by operators, and their rendering as YAML.
//
//   if (const auto edited = SetZoneClosed(pools, "solola", true)) {
//     std::string text = Render(*edited);
//   }

namespace redwingdock::standin {

std::string Render(const pools_table& aTable);
std::string Render(const vm_list& aTable);

// Each edit increments the revision. Returns nothing when the zone, server or VM is unknown.
std::optional<pools_table> SetZoneClosed(pools_table aTable,
                                         const std::string& aZone,
                                         bool aClosed);
std::optional<pools_table> SetServerDraining(pools_table aTable,
                                             const std::string& aServer,
                                             bool aDraining);
std::optional<pools_table> RemoveServer(pools_table aTable, const std::string& aServer);
std::optional<vm_list> SetVmState(vm_list aTable, const std::string& aVm, vm_state aState);
std::optional<vm_list> RemoveVm(vm_list aTable, const std::string& aVm);

// Adds the VM, or replaces the VM of the same name.
vm_list PutVm(vm_list aTable, vm_spec aVm);

} // namespace redwingdock::standin

#endif
