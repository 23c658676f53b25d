// Decides when callers that are refused during an outage of the store may retry.
#pragma once

#include "base/ids.h"
#include "base/time.h"

namespace sesamespar {

/// Retry-After of a request about the job that is refused after the store has been down for `downFor`, as far as the
/// daemon knows. Outages last 4 to 9 s, and callers retry up to four times. The delay leads beyond the shortest outage
/// at first and grows with the age of the outage, so that the last retry falls behind the end of a long one; at least
/// 2 s, at most 8 s, spread over 2 s by the key.
milliseconds outageRetryAfter(milliseconds downFor, const job_key &key);

} // namespace sesamespar
