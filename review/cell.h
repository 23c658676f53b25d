// A small deployment of real processes: daemons with the command of the deploy file, and the stand-ins around them.
#pragma once

#include "record.h"
#include "store.h"

#include <sys/types.h>

#include <vector>

namespace review {

/// A daemon and its ports on 127.0.0.1.
struct daemon_process {
    std::string name;
    std::string zone;
    std::uint16_t front = 0;
    std::uint16_t ready = 0;
    std::uint16_t firstPort = 0; ///< Of the range for the daemons' own messages.
    std::string storeAddress;
    pid_t pid = -1;
};

constexpr unsigned portsPerDaemon = 4;

/// Daemons in three zones. All processes are killed at the end.
class cell
{
public:
    /// Each daemon uses an entrance of the store of its own.
    cell(event_record &record, std::string folder, const platform_store &store, std::size_t daemons);
    ~cell();
    cell(const cell &) = delete;
    cell &operator=(const cell &) = delete;

    std::vector<daemon_process> &daemons()
    {
        return m_daemons;
    }
    void start(daemon_process &daemon);
    /// Sends a signal to a daemon that runs.
    void signal(daemon_process &daemon, int number);
    /// Waits until the process has ended and reaps it. Returns false after the limit.
    bool waitForExit(daemon_process &daemon, int limitMs);
    /// True if the daemon answers its readiness probe with 200.
    static bool isReady(const daemon_process &daemon);
    /// Waits until all daemons are ready. Returns false after the limit.
    bool waitUntilReady(int limitMs);

private:
    std::string writeSettings(const daemon_process &daemon) const;

    event_record &m_record;
    const std::string m_folder;
    std::vector<daemon_process> m_daemons;
};

/// A queue of the configuration.
struct queue {
    std::string name;
    std::string host;
    std::string prefix;
    std::string service;
    int priority = 0;
    int maxAttempts = 3;
};

/// Writes a configuration as the operator does.
void writeConfiguration(platform_store &store, int version, const std::vector<queue> &queues);

/// Outcome of one call of a client; status 0 if there was no answer.
struct call_result {
    int status = 0;
    std::string body;
};

/// Makes one call over a new connection.
call_result callDaemon(const daemon_process &daemon,
                       const std::string &method,
                       const std::string &host,
                       const std::string &path,
                       const std::string &body,
                       int limitMs = 3000);

/// A job key of 16 hexadecimal digits.
std::string jobKey(std::uint64_t number);

/// True unless the environment says TROUBLE=0.
bool withTrouble();

} // namespace review
