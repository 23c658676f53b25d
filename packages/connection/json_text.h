// Reads and formats the JSON of daemons' answers to operators. Keeps the JSON library out of the interface; no
// function throws.
#pragma once

#include "base/findings.h"
#include "base/ids.h"

#include <cstdint>
#include <optional>
#include <string>

namespace sesamespar {

/// Text of a member of a JSON object, or nothing if it is absent or of another type.
std::optional<std::string> jsonString(const std::string &json, const std::string &member);

/// Non-negative integer in a member of a JSON object, or nothing if it is absent or another value.
std::optional<std::uint64_t> jsonNumber(const std::string &json, const std::string &member);

/// Findings in {"findings":[{line,column,field,problem,allowed}]}; nothing if the text has another form.
std::optional<findings> jsonFindings(const std::string &json);

/// Writes a text as a JSON string with its quotes.
std::string quoteJson(const std::string &text);

/// Writes {"findings":[{file,line,column,field,problem,allowed}]}.
std::string encodeFindings(const findings &all);

/// Formats JSON for people: a list of objects as a table with one row for each object, other members of an object as
/// NAME: VALUE. Returns any other text unchanged.
std::string formatJsonAsTable(const std::string &json);

} // namespace sesamespar
