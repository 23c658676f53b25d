#include "base/findings.h"

namespace sesamespar {

std::string formatFinding(const finding &single)
{
    std::string text = single.file + ':' + std::to_string(single.line) + ':' + std::to_string(single.column) + ": ";
    if (!single.field.empty()) {
        text += single.field + ": ";
    }
    text += single.problem;
    if (!single.allowed.empty()) {
        text += ", " + single.allowed;
    }
    return text;
}

std::string formatFindings(const findings &all)
{
    std::string text;
    for (const finding &single : all) {
        text += formatFinding(single) + '\n';
    }
    return text;
}

} // namespace sesamespar
