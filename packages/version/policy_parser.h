// Reads the policies of the kinds of work and the limits of the fleet from a configuration.
#pragma once

#include "version/configuration.h"
#include "version/yaml_reader.h"

namespace sesamespar {

/// Policy of a kind that the configuration does not mention.
kind_policy defaultPolicy(work_kind kind);

/// Reads `policies` of the root map into `settings`, on top of the defaults.
void parsePolicies(const yaml_cursor &root, configuration &settings);

/// Reads `limits` of the root map into `settings`.
void parseLimits(const yaml_cursor &root, configuration &settings);

} // namespace sesamespar
