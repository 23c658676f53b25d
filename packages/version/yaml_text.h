// Checks the bytes of a YAML text before it is passed to the YAML library.
#pragma once

#include "base/findings.h"

#include <string>

namespace sesamespar {

/// Result of the check.
struct checked_text {
    std::string text; ///< Input for the library, with tabs replaced by spaces.
    bool parsable = true; ///< False if the text must not be passed to the library.
    findings problems;
};

/// Reports texts above `maxYamlBytes`, bytes that are not UTF-8, control characters and tabs.
checked_text checkYamlText(const std::string &text, const std::string &file);

} // namespace sesamespar
