// Interfaces of a daemon of a cell to its environment, and its settings.
#pragma once

#include "base/mailbox.h"
#include "base/metrics.h"
#include "connection/advice_port.h"
#include "connection/cell_metrics.h"
#include "connection/daemon_message.h"
#include "connection/discovery_port.h"
#include "connection/store_port.h"
#include "connection/traffic_ledger.h"
#include "connection/worker_port.h"

namespace sesamespar {

/// Limits of the platform that scheduling decisions depend on.
struct cell_limits {
    milliseconds longestLease{6000}; ///< Longest lease that a worker grants.
    std::chrono::seconds keepFinished{120}; ///< How long the state of a finished job is kept.
    milliseconds shortestStoreLease{1000}; ///< Shortest lease that the store grants.
    milliseconds drainTime{2000}; ///< How long a daemon continues to serve after a stop request.
};

/// Settings of a daemon.
struct cell_settings {
    daemon_id name;
    data_centre_id dataCentre;
    address peerAddress; ///< Address at which the other daemons reach this one.
    millicores processorShare; ///< Share of a core that this VM provides; 0 if unknown.
    cell_limits limits;
    /// Number of workers up to which a leader calls them itself. With 48 workers its calls took 0.14 of a core at most;
    /// with 85 they filled a link of 2 Mbit/s.
    std::size_t directWorkers = 64;
    /// Size of a payload in bytes up to which it is stored with its job. A start without its payload has about 250.
    std::size_t inlinePayloadBytes = 250;
};

/// Receives a payload on the control thread.
using payload_callback = std::function<void(const result<std::string> &, const clock_reading &)>;

/// Interfaces and settings that all components of a daemon share.
struct cell_context {
    cell_settings settings;
    store_port store;
    worker_port workers;
    advice_port advice;
    discovery_port discovery;
    configuration_port configuration;
    /// Sends a message to another daemon. The message is lost if that daemon is unreachable. Returns false if it was
    /// dropped before it left the process, and so can never arrive.
    std::function<bool(const address &to, const daemon_message &)> sendToPeer;
    /// Loads the payload of a job that is stored apart from it; see payload_cache.
    std::function<void(const job_key &, const address &source, payload_callback, const clock_reading &)> loadPayload;
    mailbox box;
    timer_service timers;
    metrics_ptr counters = makeMetrics();
    traffic_ledger traffic;
    incarnation_id incarnation; ///< Distinguishes this process from earlier ones of the same name.
    std::uint32_t correlationCount = 0; ///< Correlation ids issued by all components and terms of this process.
};

/// Issues the correlation id of a request to another daemon. The id differs between terms and processes, so that
/// a late reply to an earlier request, of this process or of a predecessor at its address, does not match a later one.
inline correlation_id newCorrelation(cell_context &context)
{
    // Messages carry signed 64-bit numbers, which leaves 31 bits for the incarnation above the 32-bit count.
    constexpr unsigned countBits = 32;
    const std::uint64_t process = context.incarnation.value >> (countBits + 1);
    return correlation_id((process << countBits) | ++context.correlationCount);
}

/// Like onControlThread of the mailbox, but also records the duration of the call in the histogram of that name.
template<typename Handler>
auto timedOnControlThread(cell_context &context, std::string_view histogram, Handler handler)
{
    const time_point began = std::chrono::steady_clock::now();
    return onControlThread(
        context.box,
        [&context, histogram, began, handler = std::move(handler)](const auto &answer, const clock_reading &now) {
            recordTime(*context.counters, histogram, std::chrono::steady_clock::now() - began);
            handler(answer, now);
        });
}

} // namespace sesamespar
