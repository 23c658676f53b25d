#include "standins/vm_registry.h"

#include <algorithm>

namespace sesamespar::standins {

namespace {

vm_list latestList(const vm_registry &registry)
{
    return registry.versions.empty() ? vm_list{} : registry.versions.back().list;
}

std::vector<vm_entry>::iterator findVm(vm_list &list, const worker_id &name)
{
    return std::find_if(list.vms.begin(), list.vms.end(), [&](const vm_entry &vm) { return vm.name == name; });
}

void publish(vm_registry &registry, vm_list list, time_point now)
{
    ++list.revision.value;
    registry.versions.push_back({now, std::move(list)});
}

} // namespace

void registerVms(vm_registry &registry, const std::vector<vm_entry> &vms, time_point now)
{
    vm_list next = latestList(registry);
    for (const vm_entry &vm : vms) {
        const auto found = findVm(next, vm.name);
        if (found == next.vms.end()) {
            next.vms.push_back(vm);
        } else {
            *found = vm;
        }
    }
    publish(registry, std::move(next), now);
}

bool setVmState(vm_registry &registry, const worker_id &name, vm_state state, time_point now)
{
    vm_list next = latestList(registry);
    const auto found = findVm(next, name);
    if (found == next.vms.end()) {
        return false;
    }
    found->state = state;
    publish(registry, std::move(next), now);
    return true;
}

bool removeVm(vm_registry &registry, const worker_id &name, time_point now)
{
    vm_list next = latestList(registry);
    const auto found = findVm(next, name);
    if (found == next.vms.end()) {
        return false;
    }
    next.vms.erase(found);
    publish(registry, std::move(next), now);
    return true;
}

vm_list visibleVms(const vm_registry &registry, time_point now)
{
    for (auto version = registry.versions.rbegin(); version != registry.versions.rend(); ++version) {
        if (version->publishedAt + registry.lag <= now) {
            return version->list;
        }
    }
    return {};
}

} // namespace sesamespar::standins
