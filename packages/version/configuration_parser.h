// Parses and checks the YAML text of a configuration, and compares two versions.
#pragma once

#include "base/findings.h"
#include "version/configuration.h"

#include <string>

namespace sesamespar {

/// Outcome of parsing: the settings are null if there is any finding.
struct parsed_configuration {
    configuration_ptr settings;
    findings problems;
};

/// Parses a configuration. `file` is the name used in findings. Never throws; every fault is a finding,
/// also aliases, unknown fields, and texts that are too large (256 KiB) or nested too deep (16).
parsed_configuration parseConfiguration(const std::string &text, const std::string &file, config_version version);

/// Findings for changes that `next` may not make to `current`: the home of a team is immutable.
findings checkTransition(const configuration &current, const parsed_configuration &next, const std::string &file);

} // namespace sesamespar
