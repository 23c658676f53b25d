// Parses the `policies` and `limits` sections of a configuration.
#pragma once

#include "version/configuration.h"
#include "version/yaml_reader.h"

namespace sesamespar {

/// Returns the policy of a kind that the configuration does not declare.
kind_policy defaultPolicy(work_kind kind);

/// Reads `policies` of the root map into `settings`; absent fields keep their defaults.
void parsePolicies(const yaml_cursor &root, configuration &settings);

/// Reads `limits` of the root map into `settings`.
void parseLimits(const yaml_cursor &root, configuration &settings);

} // namespace sesamespar
