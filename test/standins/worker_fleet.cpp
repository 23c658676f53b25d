#include "standins/worker_fleet.h"

#include <sstream>

namespace sesamespar::standins {

namespace {

std::string makeNumberedName(const std::string &prefix, std::size_t number)
{
    // Two digits make the alphabetical order equal to the numerical order for fewer than 100 workers per data centre.
    return prefix + (number < 10 ? "0" : "") + std::to_string(number);
}

} // namespace

std::vector<fleet_worker> makeFleet(const fleet_shape &shape)
{
    std::vector<fleet_worker> fleet;
    std::vector<std::size_t> counts(shape.dataCentres.size(), 0);
    for (std::size_t index = 0; index < shape.workers; ++index) {
        const std::size_t centre = index * shape.dataCentres.size() / shape.workers;
        const std::string &dataCentre = shape.dataCentres.at(centre);
        const std::size_t ordinal = counts.at(centre)++;
        fleet_worker worker;
        worker.vm.name = worker_id(makeNumberedName(dataCentre + "-w", ordinal + 1));
        worker.vm.dataCentre = data_centre_id(dataCentre);
        worker.vm.rack = rack_id(makeNumberedName("rack-", ordinal / shape.rackSize + 1));
        worker.capacity = shape.capacity;
        worker.capacity.accelerator = accelerators(ordinal < shape.acceleratorWorkers ? shape.accelerators : 0);
        fleet.push_back(std::move(worker));
    }
    return fleet;
}

std::vector<std::string> splitAtCommas(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    std::string part;
    while (std::getline(stream, part, ',')) {
        parts.push_back(part);
    }
    return parts;
}

} // namespace sesamespar::standins
