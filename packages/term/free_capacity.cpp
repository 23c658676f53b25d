#include "term/free_capacity.h"

#include <algorithm>
#include <limits>

namespace sesamespar {

namespace {

resources largestOf(const resources &left, const resources &right)
{
    return {std::max(left.processors, right.processors),
            std::max(left.memory, right.memory),
            std::max(left.accelerator, right.accelerator)};
}

} // namespace

free_capacity measureFree(const cell_state &state, time_point uptime)
{
    free_capacity free;
    free.remaining.resize(state.slots.size());
    free.usable.resize(state.slots.size());
    for (std::size_t slot = 0; slot < state.slots.size(); ++slot) {
        const cell_worker *worker = state.slots[slot];
        if (worker != nullptr && acceptsRuns(*worker, uptime)) {
            free.usable.set(slot);
            free.remaining[slot] = freeCapacity(*worker);
            free.largest = largestOf(free.largest, free.remaining[slot]);
            free.available = free.available + free.remaining[slot];
            free.total = free.total + worker->capacity;
        }
    }
    return free;
}

std::int64_t countFits(const resources &need, const resources &amount)
{
    if (!fits(need, amount)) {
        return 0;
    }
    std::int64_t fit = std::numeric_limits<std::int64_t>::max();
    const auto bound = [&fit](std::int64_t each, std::int64_t available) {
        if (each > 0) {
            fit = std::min(fit, available / each);
        }
    };
    bound(need.processors.value, amount.processors.value);
    bound(need.memory.value, amount.memory.value);
    bound(need.accelerator.value, amount.accelerator.value);
    return fit;
}

} // namespace sesamespar
