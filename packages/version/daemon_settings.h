// Settings of one daemon process: its name, data centre, addresses, secrets, peers and time limits.
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
    address peerAddress; ///< Listen address for messages between daemons.
};

/// Intervals and timeouts of the control protocols. The defaults suit data centres 1.5 ms apart.
struct timing_settings {
    milliseconds heartbeat{500}; ///< Interval of heartbeats to each peer.
    milliseconds peerTimeout{2000}; ///< A peer is considered down after this time without a message from it.
    milliseconds controlLease{3000}; ///< Duration of the control lease on a worker.
    milliseconds renewal{1000}; ///< Longest long-poll wait of a control call, which also renews the lease.
    milliseconds callTimeout{1500}; ///< Timeout of a call to a worker or the store, not counting its long-poll wait.
    milliseconds vmList{2000}; ///< Interval of reading the VM list.
    milliseconds watch{30000}; ///< Longest long-poll wait of one watch on the configuration.
    milliseconds drainLimit{30000}; ///< Longest time that a graceful shutdown waits for requests in flight.
};

/// Contents of a daemon's settings file.
struct daemon_settings {
    daemon_id name;
    data_centre_id dataCentre;
    address http; ///< Listen address for callers and operators; port 0 selects a free port.
    address peerAddress; ///< Listen address for peers.
    std::vector<peer_settings> peers; ///< All other daemons of the cell.
    address store; ///< The platform's key-value service.
    std::string callerSecret; ///< Bearer secret of callers; at least 16 characters.
    std::string operatorSecret; ///< Bearer secret of operators; at least 16 characters, different from `callerSecret`.
    unsigned trafficThreads = 4; ///< Threads of the HTTP library, 1 to 64.
    std::uint32_t connectionLimit = 1024; ///< Limit of concurrent connections from callers.
    std::uint32_t bodyLimit = 262144; ///< Largest request body in bytes.
    timing_settings timing;
};

/// Result of parsing; `settings` is empty if there is any finding.
struct parsed_daemon_settings {
    std::optional<daemon_settings> settings;
    findings problems;
};

/// Parses the YAML text of a daemon's settings. `file` is the name used in findings. Never throws: every error is
/// reported as a finding.
parsed_daemon_settings parseDaemonSettings(const std::string &text, const std::string &file);

} // namespace sesamespar
