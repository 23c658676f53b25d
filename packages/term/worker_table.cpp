#include "term/worker_table.h"

namespace sesamespar {

worker *findWorker(worker_table &table, const worker_id &name)
{
    const auto found = table.workers.find(name);
    return found == table.workers.end() ? nullptr : &found->second;
}

call_slot &slotOf(worker &target, worker_call_kind kind)
{
    return target.calls.at(static_cast<std::size_t>(kind));
}

bool mayCall(const worker &target, worker_call_kind kind, time_point now)
{
    const call_slot &slot = target.calls.at(static_cast<std::size_t>(kind));
    return slot.serial == 0 && slot.retryAt <= now;
}

worker_clock estimateClock(const worker &target, time_point now)
{
    const auto since = elapsedBetween(target.clockReadAt, now);
    return worker_clock(target.clock.value_or(worker_clock(0)).value + since.count());
}

bool isHeld(const worker &target, time_point now)
{
    return target.phase == worker_phase::Ready && target.leaseUntil > now;
}

bool isPlaceable(const worker &target, time_point now)
{
    const bool reachable = target.calls.at(static_cast<std::size_t>(worker_call_kind::Control)).failures == 0;
    return isHeld(target, now) && reachable && target.listed && !target.draining
        && target.entry.state == vm_state::Live;
}

std::set<rack_id> listedRacks(const worker_table &table)
{
    std::set<rack_id> racks;
    for (const auto &[name, target] : table.workers) {
        if (target.listed) {
            racks.insert(target.entry.rack);
        }
    }
    return racks;
}

std::set<rack_id> unheldRacks(const worker_table &table, time_point now, bool countMarkerMissing)
{
    std::set<rack_id> racks;
    for (const auto &[name, target] : table.workers) {
        const bool missing = !isHeld(target, now) || (countMarkerMissing && target.markerMissing);
        if (target.listed && missing) {
            racks.insert(target.entry.rack);
        }
    }
    return racks;
}

bool toleratesMissingRacks(std::size_t allRacks, std::size_t missingRacks)
{
    // With two racks, two leaders could each hold one of them, so both are needed.
    constexpr std::size_t racksThatTolerateALoss = 3;
    return missingRacks == 0 || (missingRacks == 1 && allRacks >= racksThatTolerateALoss);
}

} // namespace sesamespar
