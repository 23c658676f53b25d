// The VMs of a cell that the workers of one process stand for: names, data centres, racks and capacity.
#pragma once

#include "base/units.h"
#include "connection/store_api.h"

#include <string>
#include <vector>

namespace sesamespar::standins {

/// Shape of the fleet.
struct fleet_shape {
    std::size_t workers = 50;
    std::vector<std::string> dataCentres{"metsovo", "ioannina", "zagori"};
    std::size_t rackSize = 8;
    resources capacity;
    std::int64_t accelerators = 0; ///< Of each worker that has any.
    std::size_t acceleratorWorkers = 0; ///< Workers of each data centre that have accelerators, from its first on.
};

/// One worker of the fleet.
struct fleet_worker {
    vm_entry vm; ///< Without the address, which is known once the worker listens.
    resources capacity;
};

/// All workers: the data centres get equal shares, one after the other.
std::vector<fleet_worker> makeFleet(const fleet_shape &shape);

/// Parts of a text between commas.
std::vector<std::string> splitAtCommas(const std::string &text);

} // namespace sesamespar::standins
