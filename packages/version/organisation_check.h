// Checks the organisations of a configuration, and identifies the organisation of a request.
#pragma once

#include "base/findings.h"
#include "version/cell_configuration.h"

namespace sesamespar {

/// Findings for organisations that contradict each other or have invalid values. API keys are not quoted.
findings checkOrganisations(const std::vector<organisation_declaration> &organisations);

/// Returns the organisation of a request to the queue with that API key: empty for a public queue and in a
/// configuration without organisations. Returns nothing if the key is not valid.
std::optional<organisation_id>
identifyOrganisation(const cell_configuration &configuration, const queue_declaration &queue, const api_key &key);

/// True if that many tasks exceed the limit even when the organisation runs nothing else.
bool exceedsLimit(const resources &limit, const resources &need, std::int64_t tasks);

} // namespace sesamespar
