// Settings of one daemon process: its name, place, addresses, peers and time limits.
#pragma once

#include "base/findings.h"
#include "base/ids.h"
#include "base/time.h"

#include <optional>
#include <string>
#include <vector>

namespace sesamespar {

/// Another daemon of the cell.
struct peer_settings {
    daemon_id name;
    data_centre_id dataCentre;
    address peerAddress; ///< Where it listens for messages of daemons.
};

/// Time limits of the control protocols. The defaults suit data centres 1.5 ms apart.
struct timing_settings {
    milliseconds heartbeat{500}; ///< Interval of heartbeats to each peer.
    milliseconds peerTimeout{2000}; ///< A peer that was not heard for so long counts as down.
    milliseconds controlLease{3000}; ///< Length of the control lease on a worker.
    milliseconds renewal{1000}; ///< Longest wait of a control call before it renews the lease.
    milliseconds callTimeout{1500}; ///< Limit of a call to a worker or the store, without its long-poll wait.
    milliseconds vmList{2000}; ///< Interval of reading the VM list.
    milliseconds watch{30000}; ///< Longest wait of one watch on the configuration.
    milliseconds drainLimit{30000}; ///< Longest time that a graceful shutdown waits for requests in flight.
};

/// Everything a daemon learns from its settings file.
struct daemon_settings {
    daemon_id name;
    data_centre_id dataCentre;
    address http; ///< Where callers and operators connect; port 0 lets the kernel choose.
    address peerAddress; ///< Where peers connect.
    std::vector<peer_settings> peers; ///< All other daemons of the cell.
    address store; ///< The platform's key-value service.
    std::string callerSecret; ///< Bearer secret of callers; at least 16 characters.
    std::string operatorSecret; ///< Bearer secret of operators; at least 16 characters, not the callers' one.
    unsigned trafficThreads = 4; ///< Threads of the HTTP library, 1 to 64.
    std::uint32_t connectionLimit = 1024; ///< Connections from callers at the same time.
    std::uint32_t bodyLimit = 262144; ///< Largest request body in bytes.
    timing_settings timing;
};

/// Outcome of parsing: no settings if there is any finding.
struct parsed_daemon_settings {
    std::optional<daemon_settings> settings;
    findings problems;
};

/// Parses the YAML text of a daemon's settings. Never throws; every fault is a finding.
parsed_daemon_settings parseDaemonSettings(const std::string &text, const std::string &file);

} // namespace sesamespar
