// Checks a YAML text byte by byte, before the YAML library sees it.
#pragma once

#include "base/findings.h"

#include <string>

namespace sesamespar {

/// Outcome of the check.
struct checked_text {
    std::string text; ///< As the library may see it: tabs behind other text are replaced by spaces.
    bool parsable = true; ///< False if the findings keep the text from being parsed any further.
    findings problems;
};

/// Reports sizes above the limit, bytes that are not UTF-8, control characters and tabs.
checked_text checkYamlText(const std::string &text, const std::string &file);

} // namespace sesamespar
