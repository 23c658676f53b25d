// Parses the description of a job from a YAML or JSON text.
#pragma once

#include "base/findings.h"
#include "base/time.h"
#include "request/job_request.h"

#include <optional>
#include <string>

namespace sesamespar {

/// Values from the command line that override fields of the text; empty if not given.
struct description_overrides {
    std::string key;
    std::string expires;
};

/// Result of parsing; `request` is empty if there is any finding.
struct parsed_description {
    std::optional<submit_request> request;
    findings problems;
};

/// Reads the fields team, key, work, expires, tasks, payload and wait. A missing key is replaced by a random key, a
/// missing expiry by one hour from `now`.
parsed_description parseDescription(const std::string &text,
                                    const std::string &file,
                                    const description_overrides &overrides,
                                    utc_time now);

/// Parses an expiry in RFC 3339 form, or in the form +TIME relative to `now`. Returns nullopt for any other text.
std::optional<utc_time> parseExpiry(const std::string &text, utc_time now);

/// Returns true if the text is a valid key: 1 to 128 printable ASCII characters without spaces.
bool isKey(const std::string &text);

} // namespace sesamespar
