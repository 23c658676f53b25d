#include "term/step_advice.h"

#include <algorithm>

namespace sesamespar {

namespace {

auto entryOf(step_advice &advice, worker_slot worker)
{
    return std::find_if(advice.suitable.begin(), advice.suitable.end(), [worker](const suitable_worker &entry) {
        return entry.worker == worker;
    });
}

} // namespace

bool contains(const worker_set &set, worker_slot slot)
{
    return slot.value < set.size() && set[slot.value];
}

void insert(worker_set &set, worker_slot slot)
{
    if (slot.value >= set.size()) {
        set.resize(slot.value + 1);
    }
    set.set(slot.value);
}

void erase(worker_set &set, worker_slot slot)
{
    if (slot.value < set.size()) {
        set.reset(slot.value);
    }
}

const suitable_worker *findSuitable(const step_advice &advice, worker_slot worker)
{
    const auto found = std::find_if(advice.suitable.begin(),
                                    advice.suitable.end(),
                                    [worker](const suitable_worker &entry) { return entry.worker == worker; });
    return found == advice.suitable.end() ? nullptr : &*found;
}

void setSuitable(step_advice &advice, suitable_worker entry)
{
    const auto found = entryOf(advice, entry.worker);
    if (found == advice.suitable.end()) {
        advice.suitable.push_back(std::move(entry));
    } else {
        *found = std::move(entry);
    }
}

void expireTicket(step_advice &advice, worker_slot worker)
{
    const auto found = entryOf(advice, worker);
    if (found != advice.suitable.end()) {
        found->validUntil = {};
    }
}

void forgetWorker(step_advice &advice, worker_slot worker)
{
    erase(advice.assessed, worker);
    erase(advice.requested, worker);
    std::erase_if(advice.suitable, [worker](const suitable_worker &entry) { return entry.worker == worker; });
}

} // namespace sesamespar
