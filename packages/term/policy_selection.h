// Selects the policy of a cell from its configuration and from what the leader has measured.
#pragma once

#include "term/cell_state.h"

namespace sesamespar {

/// What the selection depends on.
struct policy_inputs {
    bool sharedByOrganisations = false; ///< The configuration declares organisations.
    bool unevenWorkers = false; ///< Some workers are steadily several times as fast as others.
};

/// Reads the inputs from the state.
policy_inputs policyInputs(const cell_state &state);

/// Returns the defaults, or the policy for overload if organisations compete for the cell or if its workers are uneven.
/// On uneven workers the time that a job takes is uncertain by the factor by which they differ, so an order by latest
/// starts says little about which job can still be in time. Learned durations stay off: over 10 seeds of three loads
/// they were within 0.005 of the half-and-half mean in all (docs/measurements.md).
cell_policy selectPolicy(const policy_inputs &inputs);

} // namespace sesamespar
