// Number of threads of the HTTP library. It starts 40 unless it is told otherwise before its first use.
#pragma once

namespace sesamespar {

/// Starts the HTTP library's threads. Call once at the start of the process; returns false and changes
/// nothing if they are running already.
bool initializeTrafficThreads(unsigned threads);

/// Returns when the HTTP library's threads have handled what was known to them at the time of the call, such as
/// the end of connections that were closed before. Must not be called from one of these threads.
void settleTrafficThreads();

} // namespace sesamespar
