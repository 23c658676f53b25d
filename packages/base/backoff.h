// Exponential backoff with jitter, and a token bucket that limits retries, so that they do not prolong an outage.
#pragma once

#include "base/time.h"

#include <random>

namespace sesamespar {

/// Bounds of the delays between retries.
struct backoff_settings {
    milliseconds first{50}; ///< Upper bound of the first delay.
    milliseconds longest{2000}; ///< Upper bound of any delay.
};

/// Delay before retry number `retry` (from 0), uniform between half of its bound and the bound. The bound is `first`,
/// doubled with each retry up to `longest`.
milliseconds backoffDelay(const backoff_settings &settings, unsigned retry, std::mt19937_64 &random);

/// Token bucket that bounds retries to a share of the first attempts.
struct retry_budget {
    double tokens = 10; ///< Retries that may be made at once.
    double capacity = 10; ///< Upper bound of `tokens`.
    double tokensPerRequest = 0.2; ///< Tokens that each first attempt adds.
};

/// Adds the tokens of one first attempt, up to the capacity.
void addRetryTokens(retry_budget &budget);

/// Takes one token. Returns false if less than one is left; the retry must then not be made.
bool takeRetryToken(retry_budget &budget);

} // namespace sesamespar
