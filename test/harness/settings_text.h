// Writes the settings file of a daemon.
#pragma once

#include "version/daemon_settings.h"

#include <string>

namespace sesamespar::harness {

/// The YAML text that parseDaemonSettings reads as these settings.
std::string writeSettings(const daemon_settings &settings);

} // namespace sesamespar::harness
