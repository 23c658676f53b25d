// Parses and validates the YAML text of a configuration, and checks the change from one version to the next.
#pragma once

#include "base/findings.h"
#include "version/configuration.h"

#include <string>

namespace sesamespar {

/// Result of parsing; `settings` is null if there is any finding.
struct parsed_configuration {
    configuration_ptr settings;
    findings problems;
};

/// Parses a configuration. `file` is the name used in findings. Never throws: every error is reported as a finding,
/// including aliases, unknown fields, texts above 256 KiB and nesting deeper than 16 levels.
parsed_configuration parseConfiguration(const std::string &text, const std::string &file, config_version version);

/// Reports changes that a new version must not make to `current`: the name of the cell and the home of a team are
/// immutable.
findings checkTransition(const configuration &current, const parsed_configuration &next, const std::string &file);

} // namespace sesamespar
