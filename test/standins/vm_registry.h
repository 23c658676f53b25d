// The platform's VM list; readers see changes after a configurable lag.
#pragma once

#include "base/time.h"
#include "connection/store_api.h"

#include <vector>

namespace sesamespar::standins {

/// One version of the list, and the time at which it was published.
struct vm_list_version {
    time_point publishedAt;
    vm_list list;
};

/// All versions of the list, oldest first.
struct vm_registry {
    std::vector<vm_list_version> versions;
    milliseconds lag{0}; ///< Readers see the list as it was this long ago.
};

/// Adds VMs; an existing VM with the same name is replaced.
void registerVms(vm_registry &registry, const std::vector<vm_entry> &vms, time_point now);

/// Sets the state of a VM. Returns false if no VM has the name.
bool setVmState(vm_registry &registry, const worker_id &name, vm_state state, time_point now);

/// Removes a VM from the list. Returns false if no VM has the name.
bool removeVm(vm_registry &registry, const worker_id &name, time_point now);

/// The list that readers see at the given time. Before the first registration the list is empty, with revision 0.
vm_list visibleVms(const vm_registry &registry, time_point now);

} // namespace sesamespar::standins
