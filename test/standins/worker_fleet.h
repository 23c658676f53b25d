// Generates the VMs that the stand-in workers of one process simulate: names, data centres, racks and capacity.
#pragma once

#include "base/units.h"
#include "connection/store_api.h"

#include <string>
#include <vector>

namespace sesamespar::standins {

/// Size and layout of the fleet.
struct fleet_shape {
    std::size_t workers = 50;
    std::vector<std::string> dataCentres{"metsovo", "ioannina", "zagori"};
    std::size_t rackSize = 8;
    resources capacity;
    std::int64_t accelerators = 0; ///< Accelerators of each worker that has accelerators.
    std::size_t acceleratorWorkers = 0; ///< Number of workers with accelerators in each data centre, its first ones.
};

/// One worker of the fleet.
struct fleet_worker {
    vm_entry vm; ///< The address is set when the worker listens.
    resources capacity;
};

/// Creates all workers, divided equally among the data centres and grouped by data centre.
std::vector<fleet_worker> makeFleet(const fleet_shape &shape);

/// Splits a text at its commas.
std::vector<std::string> splitAtCommas(const std::string &text);

} // namespace sesamespar::standins
