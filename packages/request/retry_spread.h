// Spreads the retries of refused callers over time.
#pragma once

#include "base/ids.h"

namespace sesamespar {

/// Number from 0 to below 1 that depends only on the job's key, so that all daemons derive the same one. Callers that
/// are refused at the same moment then return at different ones.
double spreadOfKey(const job_key &key);

} // namespace sesamespar
