// Reads the teams and their work from a configuration.
#pragma once

#include "version/configuration.h"
#include "version/yaml_reader.h"

namespace sesamespar {

/// Reads `teams` of the root map into `settings`. The data centres must have been read before.
void parseTeams(const yaml_cursor &root, configuration &settings);

/// Reads `work` of the root map into `settings`. The teams must have been read before.
void parseWork(const yaml_cursor &root, configuration &settings);

} // namespace sesamespar
