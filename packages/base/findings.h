// Findings: all faults of an input, collected with their positions and reported together.
#pragma once

#include <string>
#include <vector>

namespace sesamespar {

/// One fault in an input file. Lines and columns are numbered from 1; 0 means the file as a whole.
struct finding {
    std::string file;
    int line = 0;
    int column = 0;
    std::string field; ///< Path of the field, for example teams[2].quota.memory.
    std::string problem; ///< What is wrong.
    std::string allowed; ///< What is allowed instead; may be empty.

    bool operator==(const finding &) const = default;
};

/// All findings of one input, in the order of their positions.
using findings = std::vector<finding>;

/// Formats as FILE:LINE:COLUMN: FIELD: PROBLEM, ALLOWED.
std::string formatFinding(const finding &single);

/// Formats all findings, one on each line.
std::string formatFindings(const findings &all);

} // namespace sesamespar
