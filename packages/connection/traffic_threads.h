// Control of the HTTP library's thread pool. The pool has 40 threads unless another number is set before its first use.
#pragma once

namespace sesamespar {

/// Starts the HTTP library's thread pool. Call once at the start of the process. Returns false and changes nothing if
/// the pool is already running.
bool initializeTrafficThreads(unsigned threads);

/// Blocks until the HTTP library's threads have handled the events that were pending at the time of the call, such as
/// the end of connections closed earlier. Must not be called from one of these threads.
void flushTrafficThreads();

} // namespace sesamespar
