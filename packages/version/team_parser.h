// Parses the `teams` and `work` sections of a configuration.
#pragma once

#include "version/configuration.h"
#include "version/yaml_reader.h"

namespace sesamespar {

/// Reads `teams` of the root map into `settings`. Requires that the data centres have been read.
void parseTeams(const yaml_cursor &root, configuration &settings);

/// Reads `work` of the root map into `settings`. Requires that the teams have been read.
void parseWork(const yaml_cursor &root, configuration &settings);

} // namespace sesamespar
