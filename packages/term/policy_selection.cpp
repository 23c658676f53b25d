#include "term/policy_selection.h"

#include <algorithm>

namespace sesamespar {

namespace {

/// Share of the processors that stays free of overdue and surplus work: what a burst of twice the usual rate of small
/// urgent jobs, an eighth of the work of a cell, needs at once.
constexpr double reservedForArrivals = 0.12;

} // namespace

policy_inputs policyInputs(const cell_state &state)
{
    policy_inputs inputs;
    inputs.sharedByOrganisations = std::any_of(state.organisations.begin(),
                                               state.organisations.end(),
                                               [](const auto &entry) { return entry.second.declared; });
    inputs.unevenWorkers = state.unevenWorkers;
    return inputs;
}

cell_policy selectPolicy(const policy_inputs &inputs)
{
    cell_policy policy;
    if (inputs.sharedByOrganisations || inputs.unevenWorkers) {
        policy.ties = tie_order::LeastWork;
        policy.reservedShare = reservedForArrivals;
    }
    policy.matchesSpeeds = inputs.unevenWorkers;
    policy.movesProgressingRuns = !inputs.unevenWorkers;
    return policy;
}

} // namespace sesamespar
