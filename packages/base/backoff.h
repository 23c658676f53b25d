// Retry delays with jitter, and the budget that keeps retries from multiplying an outage.
#pragma once

#include "base/time.h"

#include <random>

namespace sesamespar {

/// Limits of a series of retries.
struct backoff_settings {
    milliseconds first{50}; ///< Upper bound of the first delay.
    milliseconds longest{2000}; ///< Upper bound of any delay.
};

/// Delay before retry number `retry` (from 0): uniform between half and all of the doubled bound.
milliseconds backoffDelay(const backoff_settings &settings, unsigned retry, std::mt19937_64 &random);

/// Token bucket that bounds retries to a share of the first attempts.
struct retry_budget {
    double tokens = 10; ///< Retries that may be made at once.
    double capacity = 10; ///< Upper bound of `tokens`.
    double tokensPerRequest = 0.2; ///< Tokens that each first attempt adds.
};

/// Adds the share of a first attempt.
void addRetryTokens(retry_budget &budget);

/// Takes one token; false if none is left and the retry must not be made.
bool takeRetryToken(retry_budget &budget);

} // namespace sesamespar
