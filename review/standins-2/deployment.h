// A small deployment: the store, workers and daemons of one service with one queue. The daemons are processes of the
// project's program with the command of the deploy file.
#pragma once

#include "store.h"
#include "worker.h"

#include <sys/types.h>

#include <memory>
#include <string>
#include <vector>

namespace review {

struct daemon_process {
    std::string name;
    pid_t pid = -1;
    int frontPort = 0;
    int readyPort = 0;
    int firstPort = 0;
    int lastPort = 0;
};

struct deployment {
    std::string folder; ///< Temporary folder of settings files and logs.
    store platform;
    int platformPort = 0;
    execution_log executions;
    std::vector<std::unique_ptr<worker>> workers;
    std::vector<daemon_process> daemons;
};

inline const std::string serviceName = "huvo11a";
inline const std::string queueHost = "nony24.example";
inline const std::string queuePrefix = "/lohu930/";

/// Starts the store with a configuration and the workers, which write their entries.
void startPlatform(deployment &cell, const std::vector<worker_options> &workers);

/// Adds daemons, starts them and waits until all report that they are ready. Returns false if they don't in 20 s.
bool startDaemons(deployment &cell, std::size_t count);

/// Starts the process of a daemon that is not running.
void startDaemon(deployment &cell, daemon_process &daemon);

/// True if the daemon answers its ready address with 200.
bool isReady(const daemon_process &daemon);

/// A job of one step as JSON.
std::string jobBody(const std::string &spec, int count, int cpu, int estimateMs, const std::string &label);

/// Sends one request to a daemon on a new connection and records it with its answer.
http_message request(const daemon_process &daemon,
                     const std::string &method,
                     const std::string &key,
                     const std::string &body,
                     int limitMs);

/// Checks what holds for every case: TWICE and ROUTE. Records each break and returns their number. `label` is the
/// label that all tasks need, or empty.
int countBreaks(deployment &cell, const std::string &label);

/// Ends the daemons and this process, whose threads may still run.
[[noreturn]] void finish(deployment &cell, int status);

} // namespace review
