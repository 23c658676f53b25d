// Runs a complete cell as local processes: platform, workers, by default 7 daemons in 3 data centres, and optionally a
// proxy on every link between them. Keeps the answers that callers received, for the oracle.
#pragma once

#include "base/result.h"
#include "connection/store_api.h"
#include "harness/child_process.h"
#include "harness/execution_report.h"
#include "harness/oracle.h"
#include "harness/port_reservation.h"
#include "request/job_answer.h"
#include "request/job_request.h"
#include "version/daemon_settings.h"

#include <filesystem>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace sesamespar::harness {

/// Size and layout of a cell.
struct cell_shape {
    std::size_t workers = 50;
    std::vector<std::string> dataCentres{"metsovo", "ioannina", "zagori"};
    std::vector<std::size_t> daemons{3, 2, 2}; ///< Number of daemons in each data centre.
    bool proxied = false; ///< Routes the links to peers, workers and the store through the proxy.
    std::string cores = "16";
    std::string memoryMib = "32768";
    timing_settings timing;
};

/// One daemon. Its name is DATA_CENTRE-NUMBER.
struct cell_daemon {
    daemon_settings settings;
    port_reservation peerPort;
    child_process process;
    address http; ///< Changes with each start.
};

/// A running cell. Its destructor kills all processes. It also removes the logs, unless a test failed with an
/// exception, keepFolder is set, or the environment variable SESAMESPAR_KEEP_LOGS is set.
struct cell {
    cell() = default;
    cell(const cell &) = delete;
    cell &operator=(const cell &) = delete;
    ~cell();

    cell_shape shape;
    std::filesystem::path folder; ///< Directory of the settings files and logs.
    bool keepFolder = false; ///< Set if a process did not start, because the error message refers to its log.
    child_process platform;
    child_process workers;
    child_process proxy;
    address platformAddress;
    address workersControl;
    address proxyControl;
    vm_list vms; ///< With the direct addresses of the workers, without the proxy.
    std::vector<cell_daemon> daemons;

    std::mutex mutex; ///< Guards the members below.
    std::vector<received_answer> received;
    std::map<worker_id, utc_time> noStartsAfter;
    configuration_ptr settings;
};

/// Starts all processes. Errors: NotFound or Unknown if a process did not start; the message names the process and, if
/// it ran, its log.
result<std::unique_ptr<cell>> startCell(const cell_shape &shape);

/// Index of the daemon with the name, which must exist.
std::size_t daemonIndex(const cell &running, const std::string &name);

/// Starts a daemon that is not running.
result<void> startDaemon(cell &running, std::size_t index);

/// Kills a daemon with SIGKILL and reaps it.
void killDaemon(cell &running, std::size_t index);

/// Sends PUT TARGET to the control interface of a stand-in. Returns false unless the answer has status 200.
bool control(const address &standin, const std::string &target);

/// Sets the state of a VM: live, leaving or gone. Unless it is live, the oracle reports starts on the VM later than
/// `grace` from now.
bool setVm(cell &running, const worker_id &vm, const std::string &state, milliseconds grace = milliseconds(6000));

/// Sets the faults of links. `fault` has the query parameters of standin_proxy, for example cut=both. Links are named
/// store:DAEMON, peer:DAEMON>DAEMON and worker:VM.
bool setLinks(cell &running, const std::string &pattern, const std::string &fault);

/// Cuts a data centre off from the others and from the store, or restores these links.
bool cutDataCentre(cell &running, const std::string &dataCentre, bool cut);

/// Response to PUT /v1/configuration. The status is 0 if no response arrived.
struct apply_reply {
    int status = 0;
    config_version version; ///< 0 if the response contains no version.
    std::string body;
};

/// Applies a configuration through one daemon, on condition that the current version is `expected` if that is given. If
/// the daemon applied it, the oracle uses the configuration from then on.
apply_reply
apply(cell &running, std::size_t daemon, const std::string &text, std::optional<config_version> expected = {});

/// Version of the configuration at a daemon; 0 if the daemon has none or does not answer.
config_version versionAt(const cell &running, std::size_t daemon);

/// Creates a request with a unique key that starts with `prefix`. It expires in an hour.
submit_request
makeRequest(const std::string &team, const std::string &work, const std::string &prefix, const std::string &payload);

/// Submits a request to one daemon and keeps the answer for the oracle. Returns Unknown if no answer arrives; answers
/// with this status are not kept.
job_answer submit(cell &running, std::size_t daemon, const submit_request &request);

/// Queries the state of a job at one daemon.
job_answer status(cell &running, std::size_t daemon, const job_id &id, milliseconds wait);

/// Cancels a job through one daemon.
job_answer cancel(cell &running, std::size_t daemon, const job_id &id);

/// Submits the same request repeatedly, to the given daemon first and then to the other running daemons in turn, until
/// the answer is final or the limit has passed. Returns the last answer.
job_answer submitUntilFinal(cell &running, std::size_t daemon, submit_request request, milliseconds limit);

/// A request, and the daemon that receives it first.
struct submission {
    std::size_t daemon = 0;
    submit_request request;
};

/// Runs submitUntilFinal for all submissions concurrently, each on its own thread. The answers have the same order.
std::vector<job_answer>
submitAllUntilFinal(cell &running, const std::vector<submission> &submissions, milliseconds limit);

/// True if the status is a final outcome or a conflict. After Refused, NotFound, Accepted and Unknown a caller submits
/// again.
bool isFinalAnswer(answer_status status);

/// Report of the execution recorder of the workers.
result<execution_report> fetchExecutionReport(const cell &running);

/// All violations of the invariants so far.
std::vector<std::string> invariantViolations(cell &running);

/// Number of starts of a job's tasks so far; 0 if the report cannot be read.
std::size_t startsOf(const cell &running, const job_id &id);

/// A configuration with one team per data centre (team-DATA_CENTRE) and, for each team, work named KIND-DATA_CENTRE of
/// these kinds: batch, once (batch, not repeatable), gang (4 tasks), query and, if `services` is set, service (2
/// tasks). Task leases last 5 s.
std::string testConfiguration(const cell_shape &shape, bool services);

/// Applies testConfiguration and waits until a query of each data centre is done. Returns false if the configuration or
/// one of the queries takes longer than 60 s.
bool prepare(cell &running, bool services = false);

} // namespace sesamespar::harness
