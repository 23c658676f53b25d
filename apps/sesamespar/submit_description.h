// Reads the description of a job from a YAML or JSON text.
#pragma once

#include "base/findings.h"
#include "base/time.h"
#include "request/job_request.h"

#include <optional>
#include <string>

namespace sesamespar {

/// What the command line gives in place of fields of the text; empty texts stand for nothing.
struct description_overrides {
    std::string key;
    std::string expires;
};

/// Outcome of reading: no request if there is any finding.
struct parsed_description {
    std::optional<submit_request> request;
    findings problems;
};

/// Reads team, key, work, expires, tasks, payload and wait. A missing key is replaced by a random one; a missing
/// expiry by one hour from `now`.
parsed_description parseDescription(const std::string &text,
                                    const std::string &file,
                                    const description_overrides &overrides,
                                    utc_time now);

/// Reads an expiry as RFC 3339, or as +TIME from `now`; nothing if the text has another form.
std::optional<utc_time> parseExpiry(const std::string &text, utc_time now);

/// True for 1 to 128 printable characters without spaces.
bool isKey(const std::string &text);

} // namespace sesamespar
