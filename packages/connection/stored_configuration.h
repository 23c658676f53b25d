// The value that holds the configuration in the store, and the answers to operators who change it.
#pragma once

#include "base/findings.h"
#include "base/ids.h"
#include "base/result.h"
#include "connection/front_end.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sesamespar {

/// Key of the configuration in the store.
constexpr std::string_view configurationKey = "configuration";
/// Maximum number of changes in the history of the value.
constexpr std::size_t changeHistoryLength = 16;

/// Random number that identifies one attempt to change the configuration.
using change_id = strong_value<struct change_id_tag, std::uint64_t>;

/// A change that was applied.
struct applied_change {
    config_version version;
    change_id change;

    bool operator==(const applied_change &) const = default;
};

/// The stored value.
struct stored_configuration {
    config_version version; ///< 0 if nothing is stored.
    change_id change; ///< Change that made this version.
    std::vector<applied_change> history; ///< The latest changes, including this one, in ascending order.
    std::string text; ///< The YAML text as applied.

    bool operator==(const stored_configuration &) const = default;
};

/// The successor of `current`, with the change appended to the history. If the history exceeds changeHistoryLength, its
/// oldest entry is dropped.
stored_configuration
nextConfiguration(const stored_configuration &current, config_version version, change_id change, std::string text);

/// Change that made that version, or nothing if the history does not contain it.
std::optional<change_id> changeOf(const stored_configuration &stored, config_version version);

/// Encodes as JSON: {version, change, history: [{version, change}], digest, text}.
std::string encodeStoredConfiguration(const stored_configuration &stored);

/// Decodes the stored value. Errors: InvalidInput if it is malformed, its digest does not match the text, or its
/// history does not end with its version.
result<stored_configuration> decodeStoredConfiguration(std::string_view json);

/// 200 {"version":N}: the text is in force as that version.
text_answer changeAppliedAnswer(config_version version);

/// 409 {"error":...,"version":N}: another change came first; this one was not applied.
text_answer changeConflictAnswer(config_version current, const std::string &message);

/// 400 {"findings":[{line,column,field,problem,allowed}]}: the text is invalid; nothing changed.
text_answer changeInvalidAnswer(const findings &problems);

/// 503 {"error":...}: refused, nothing changed.
text_answer changeRefusedAnswer(const std::string &message);

/// 504 {"error":...}: it is unknown whether the change was applied.
text_answer changeUnknownAnswer(const std::string &message);

} // namespace sesamespar
