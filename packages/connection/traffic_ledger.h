// Ledger of a daemon's traffic: calls and bytes by kind and direction, for metrics and for one log line a second.
#pragma once

#include "base/metrics.h"
#include "connection/daemon_message.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <variant>

namespace sesamespar {

/// What the traffic is for. Messages between daemons follow the last kind, in the order of daemon_message.
enum class traffic_kind : std::size_t {
    StoreRead,
    StoreWatch,
    StoreWrite,
    StoreLease,
    Advisor,
    WorkerStart,
    WorkerStop,
    WorkerPoll,
    Callers,
    FirstMessage,
};

constexpr std::size_t trafficKinds =
    static_cast<std::size_t>(traffic_kind::FirstMessage) + std::variant_size_v<daemon_message>;

/// Totals since the start of the process. Traffic threads add to them.
struct traffic_totals {
    std::atomic<std::uint64_t> calls = 0;
    std::atomic<std::uint64_t> sent = 0; ///< Bytes, with an estimate of the headers.
    std::atomic<std::uint64_t> received = 0;
    std::atomic<std::uint64_t> resent = 0; ///< Times that the HTTP library sent a request again by itself.
};

/// All totals, and those at the previous report.
struct traffic_ledger {
    struct figures {
        std::uint64_t calls = 0;
        std::uint64_t sent = 0;
        std::uint64_t received = 0;
        std::uint64_t resent = 0;
    };

    std::array<traffic_totals, trafficKinds> totals;
    std::array<figures, trafficKinds> reported;
};

/// Totals of a kind.
traffic_totals &trafficOf(traffic_ledger &ledger, traffic_kind kind);

/// Totals of the messages of the type of `message`.
traffic_totals &trafficOf(traffic_ledger &ledger, const daemon_message &message);

/// Adds the traffic since the previous report to the metrics `traffic_calls`, `traffic_bytes` and `traffic_resent`, and
/// logs calls and bytes in one line as KIND=CALLS/SENT/RECEIVED. Kinds without traffic are left out.
void reportTraffic(traffic_ledger &ledger, metrics &counters);

} // namespace sesamespar
