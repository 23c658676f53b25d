// All that a daemon of a cell meets the outside with, and what it is told about itself.
#pragma once

#include "base/mailbox.h"
#include "base/metrics.h"
#include "connection/advice_port.h"
#include "connection/cell_metrics.h"
#include "connection/daemon_message.h"
#include "connection/discovery_port.h"
#include "connection/store_port.h"
#include "connection/worker_port.h"

namespace sesamespar {

/// Limits of the platform that the decisions depend on.
struct cell_limits {
    milliseconds longestLease{6000}; ///< Longest lease that a worker grants to what runs on it.
    std::chrono::seconds keepFinished{120}; ///< How long the state of a finished job is kept.
    milliseconds shortestStoreLease{1000}; ///< Shortest lease that the store grants.
    milliseconds drainTime{2000}; ///< How long a daemon serves on after it was told to stop.
};

/// What a daemon is told.
struct cell_settings {
    daemon_id name;
    address peerAddress; ///< Where the other daemons reach it.
    cell_limits limits;
};

/// The daemon's means, for all of its parts.
struct cell_context {
    cell_settings settings;
    store_port store;
    worker_port workers;
    advice_port advice;
    discovery_port discovery;
    configuration_port configuration;
    /// Sends a message to another daemon; it is lost if the daemon cannot be reached.
    std::function<void(const address &to, const daemon_message &)> sendToPeer;
    mailbox box;
    timer_service timers;
    metrics_ptr counters = makeMetrics();
    incarnation_id incarnation; ///< Tells this process from an earlier one of the same name.
    std::uint32_t questionsAsked = 0; ///< Of other daemons, by all parts and terms.
};

/// Number for a question to another daemon. A late answer to an earlier question, of this process or of one that was
/// at its address before, must not be taken for the answer to this one.
inline correlation_id newCorrelation(cell_context &context)
{
    // Messages carry signed numbers, so that 31 bits of the incarnation fit above the count.
    constexpr unsigned countBits = 32;
    const std::uint64_t process = context.incarnation.value >> (countBits + 1);
    return correlation_id((process << countBits) | ++context.questionsAsked);
}

/// As onControlThread of the mailbox, and notes in the histogram of that name how long the call took.
template<typename Take>
auto timedOnControlThread(cell_context &context, std::string_view histogram, Take take)
{
    const time_point began = std::chrono::steady_clock::now();
    return onControlThread(
        context.box,
        [&context, histogram, began, take = std::move(take)](const auto &answer, const clock_reading &now) {
            recordTime(*context.counters, histogram, std::chrono::steady_clock::now() - began);
            take(answer, now);
        });
}

} // namespace sesamespar
