#include "term/fleet_index.h"

#include <algorithm>
#include <bit>
#include <limits>

namespace sesamespar {

namespace {

std::size_t planeOf(const worker_state &worker)
{
    if (worker.usable.accelerator.value == 0) {
        return 0;
    }
    const auto free = std::max<std::int64_t>(0, freeResources(worker).accelerator.value);
    return std::min<std::size_t>(static_cast<std::size_t>(free) + 1, indexPlanes - 1);
}

} // namespace

resources freeResources(const worker_state &worker)
{
    return worker.usable - worker.reserved;
}

bool hasCapacityFor(const worker_state &worker, const resources &need)
{
    return worker.tasks < worker.slots && fits(worker.reserved + need, worker.usable);
}

std::int64_t tasksThatFit(const resources &amount, const resources &need, std::int64_t slots)
{
    if (!fits(need, amount)) {
        return 0;
    }
    const auto times = [](std::int64_t have, std::int64_t each) {
        return each > 0 ? have / each : std::numeric_limits<std::int64_t>::max();
    };
    return std::max<std::int64_t>(0,
                                  std::min({slots,
                                            times(amount.processors.value, need.processors.value),
                                            times(amount.memory.value, need.memory.value),
                                            times(amount.accelerator.value, need.accelerator.value)}));
}

std::size_t levelOf(std::int64_t amount)
{
    if (amount < 64) {
        return 0;
    }
    const auto value = static_cast<std::uint64_t>(amount);
    const auto doublings = static_cast<std::size_t>(std::bit_width(value)) - 1;
    const std::size_t quarter = (value >> (doublings - 2)) & 3U;
    return std::min(indexLevels - 1, (doublings - 6) * 4 + quarter + 1);
}

void unindexWorker(worker_state &worker)
{
    if (worker.index == nullptr) {
        return;
    }
    index_plane &plane = *worker.index->planes.at(worker.plane);
    worker.unlink();
    if (plane.buckets.at(worker.bucketIndex).empty()) {
        const std::size_t row = worker.bucketIndex / indexLevels;
        plane.columns.at(row) &= ~(std::uint64_t(1) << (worker.bucketIndex % indexLevels));
        if (plane.columns.at(row) == 0) {
            plane.rows &= ~(std::uint64_t(1) << row);
        }
    }
    worker.index = nullptr;
}

void indexWorker(fleet_index &index, worker_state &worker)
{
    unindexWorker(worker);
    if (worker.tasks >= worker.slots) {
        return;
    }
    const resources free = freeResources(worker);
    const std::size_t row = levelOf(free.processors.value);
    const std::size_t column = levelOf(free.memory.value);
    worker.plane = planeOf(worker);
    worker.bucketIndex = row * indexLevels + column;
    auto &plane = index.planes.at(worker.plane);
    if (!plane) {
        plane = std::make_unique<index_plane>();
    }
    plane->rows |= std::uint64_t(1) << row;
    plane->columns.at(row) |= std::uint64_t(1) << column;
    plane->buckets.at(worker.bucketIndex).push_back(worker);
    worker.index = &index;
}

} // namespace sesamespar
