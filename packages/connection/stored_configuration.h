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
/// Changes that the value remembers.
constexpr std::size_t changeHistoryLength = 16;

/// Random number that names one attempt to change the configuration.
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
    change_id change; ///< That made this version.
    std::vector<applied_change> history; ///< The last changes, this one included, in rising order.
    std::string text; ///< The YAML text as applied.

    bool operator==(const stored_configuration &) const = default;
};

/// The value that follows `current`, with one history entry more.
stored_configuration
nextConfiguration(const stored_configuration &current, config_version version, change_id change, std::string text);

/// Change that made that version, or nothing if the history does not reach it.
std::optional<change_id> changeOf(const stored_configuration &stored, config_version version);

/// Encodes as JSON: {version, change, history: [{version, change}], digest, text}.
std::string encodeStoredConfiguration(const stored_configuration &stored);

/// Decodes. Errors: InvalidInput if it is malformed, or the digest does not fit the text.
result<stored_configuration> decodeStoredConfiguration(std::string_view json);

/// 200 {"version":N}: the text is in force as that version.
text_answer changeAppliedAnswer(config_version version);

/// 409 {"error":...,"version":N}: another change came first; this one was not applied.
text_answer changeConflictAnswer(config_version current, const std::string &message);

/// 400 {"findings":[{line,column,field,problem,allowed}]}: the text is faulty; nothing changed.
text_answer changeInvalidAnswer(const findings &problems);

/// 503 {"error":...}: refused, nothing changed.
text_answer changeRefusedAnswer(const std::string &message);

/// 504 {"error":...}: it cannot be known whether the change was applied.
text_answer changeUnknownAnswer(const std::string &message);

} // namespace sesamespar
