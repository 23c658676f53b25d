// Generates the settings file of a daemon.
#pragma once

#include "version/daemon_settings.h"

#include <string>

namespace sesamespar::harness {

/// YAML text from which parseDaemonSettings reads the same settings.
std::string writeSettings(const daemon_settings &settings);

} // namespace sesamespar::harness
