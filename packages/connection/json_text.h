// Reads the JSON that daemons answer operators with. Hides the JSON library; nothing here throws.
#pragma once

#include "base/findings.h"
#include "base/ids.h"

#include <cstdint>
#include <optional>
#include <string>

namespace sesamespar {

/// Text of a member of a JSON object, or nothing if it is absent or of another type.
std::optional<std::string> jsonString(const std::string &json, const std::string &member);

/// Whole number in a member of a JSON object, or nothing.
std::optional<std::uint64_t> jsonNumber(const std::string &json, const std::string &member);

/// Findings in {"findings":[{line,column,field,problem,allowed}]}; nothing if the text has another form.
std::optional<findings> jsonFindings(const std::string &json);

/// Writes a text as a JSON string with its quotes.
std::string quoteJson(const std::string &text);

/// Writes {"findings":[{file,line,column,field,problem,allowed}]}.
std::string encodeFindings(const findings &all);

/// Lays JSON out for people: lists of objects as tables with one row each, other members as NAME: VALUE.
/// Text that is no JSON object or list comes back as it is.
std::string formatJsonAsTable(const std::string &json);

} // namespace sesamespar
