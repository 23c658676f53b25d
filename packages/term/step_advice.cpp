#include "term/step_advice.h"

#include <algorithm>

namespace sesamespar {

namespace {

/// Works on constant and mutable advice.
template<typename Advice>
auto entryOf(Advice &advice, worker_slot worker)
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

std::uint32_t beginRequest(step_advice &advice, const std::vector<worker_slot> &workers)
{
    ++advice.openRequests;
    ++advice.requestCount;
    for (const worker_slot worker : workers) {
        insert(advice.requested, worker);
        advice.requestNumbers.resize(advice.requested.size());
        advice.requestNumbers[worker.value] = advice.requestCount;
    }
    return advice.requestCount;
}

bool endRequest(step_advice &advice, worker_slot worker, std::uint32_t number)
{
    if (!contains(advice.requested, worker) || advice.requestNumbers[worker.value] != number) {
        return false;
    }
    erase(advice.requested, worker);
    return true;
}

void forgetWorker(step_advice &advice, worker_slot worker)
{
    erase(advice.assessed, worker);
    erase(advice.requested, worker);
    std::erase_if(advice.suitable, [worker](const suitable_worker &entry) { return entry.worker == worker; });
}

} // namespace sesamespar
