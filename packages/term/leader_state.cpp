#include "term/leader_state.h"

namespace sesamespar {

namespace {

// Racks whose record copies may be lost, because a worker of the rack is not held, may have restarted, or has left
// the VM list since a leader last repaired the copies.
std::set<rack_id> racksWithUncertainCopies(const leader &state, time_point now)
{
    std::set<rack_id> racks = unheldRacks(state.table, now, true);
    for (const auto &[name, rack] : state.markedHolders) {
        const auto found = state.table.workers.find(name);
        if (found == state.table.workers.end() || !found->second.listed) {
            racks.insert(rack);
        }
    }
    return racks;
}

} // namespace

leader makeLeader(const daemon_settings &settings, incarnation_id incarnation)
{
    leader state;
    // The incarnation keeps a lease of an earlier run of this daemon from being mistaken for a lease of this run.
    state.holder = daemon_id(settings.name.value + '#' + std::to_string(incarnation.value));
    state.dataCentre = settings.dataCentre;
    state.timing = settings.timing;
    state.random.seed(incarnation.value);
    return state;
}

bool isComplete(const leader &state, time_point now)
{
    if (state.phase == leader_phase::Standby || !state.settings || state.settings->version < state.seenVersion
        || state.table.roster < state.seenRoster) {
        return false;
    }
    const std::size_t racks = listedRacks(state.table).size();
    if (racks < 2 || !toleratesMissingRacks(racks, unheldRacks(state.table, now, false).size())) {
        return false;
    }
    return state.archiveRead || toleratesMissingRacks(racks, racksWithUncertainCopies(state, now).size());
}

} // namespace sesamespar
