// The platform's list of VMs, which readers see with a lag.
#pragma once

#include "base/time.h"
#include "connection/store_api.h"

#include <vector>

namespace sesamespar::standins {

/// One version of the list and the time from which it was true.
struct vm_list_version {
    time_point since;
    vm_list list;
};

/// All versions of the list, oldest first.
struct vm_registry {
    std::vector<vm_list_version> versions;
    milliseconds lag{0}; ///< Readers see the list as it was so long ago.
};

/// Adds VMs, or replaces those of the same name.
void registerVms(vm_registry &registry, const std::vector<vm_entry> &vms, time_point now);

/// Sets the state of a VM; false if no VM has the name.
bool setVmState(vm_registry &registry, const worker_id &name, vm_state state, time_point now);

/// Takes a VM off the list; false if no VM has the name.
bool removeVm(vm_registry &registry, const worker_id &name, time_point now);

/// The list as a reader sees it. Before the first registration it is empty, with revision 0.
vm_list visibleVms(const vm_registry &registry, time_point now);

} // namespace sesamespar::standins
