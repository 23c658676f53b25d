// Keys under which a cell keeps its state in the platform's store.
#pragma once

#include "base/ids.h"

#include <string>

namespace sesamespar::cell_keys {

/// Prefix of the keys that all daemons watch: leader, term, load, daemons.
inline const std::string cellPrefix = "cell/";
/// Exists while the leader renews its lease; its absence triggers an election.
inline const std::string leader = "cell/leader";
/// Holds the latest leader, also after its lease has ended. Every write of a leader is conditional on the revision of
/// this key.
inline const std::string term = "cell/term";
inline const std::string load = "cell/load";
/// Addresses of the daemons, each under the daemon's lease.
inline const std::string daemonPrefix = "cell/daemons/";
/// Accepted jobs that are not final, and cancel requests for them.
inline const std::string jobPrefix = "jobs/";
inline const std::string progressPrefix = "progress/";
inline const std::string cancelSuffix = "/cancel";

inline std::string job(const job_key &key)
{
    return jobPrefix + key.value;
}

inline std::string cancel(const job_key &key)
{
    return jobPrefix + key.value + cancelSuffix;
}

/// Payloads that are stored apart from their jobs.
inline const std::string payloadPrefix = "payloads/";

inline std::string payload(const job_key &key)
{
    return payloadPrefix + key.value;
}

inline std::string progress(const job_key &key)
{
    return progressPrefix + key.value;
}

} // namespace sesamespar::cell_keys
