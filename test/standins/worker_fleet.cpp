#include "standins/worker_fleet.h"

#include <sstream>

namespace sesamespar::standins {

namespace {

std::string numbered(const std::string &prefix, std::size_t number)
{
    // Two digits keep the order of names that of the numbers for the sizes in use.
    return prefix + (number < 10 ? "0" : "") + std::to_string(number);
}

} // namespace

std::vector<fleet_worker> makeFleet(const fleet_shape &shape)
{
    std::vector<fleet_worker> fleet;
    std::vector<std::size_t> counts(shape.dataCentres.size(), 0);
    for (std::size_t index = 0; index < shape.workers; ++index) {
        const std::size_t place = index * shape.dataCentres.size() / shape.workers;
        const std::string &dataCentre = shape.dataCentres.at(place);
        const std::size_t own = counts.at(place)++;
        fleet_worker worker;
        worker.vm.name = worker_id(numbered(dataCentre + "-w", own + 1));
        worker.vm.dataCentre = data_centre_id(dataCentre);
        worker.vm.rack = rack_id(numbered("rack-", own / shape.rackSize + 1));
        worker.capacity = shape.capacity;
        worker.capacity.accelerator = accelerators(own < shape.acceleratorWorkers ? shape.accelerators : 0);
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
