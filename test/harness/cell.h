// A whole cell in processes of this machine: platform, workers, 7 daemons in 3 data centres, and optionally
// a proxy on every link between them. Keeps what callers were told, for the oracle.
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

/// What to start.
struct cell_shape {
    std::size_t workers = 50;
    std::vector<std::string> dataCentres{"metsovo", "ioannina", "zagori"};
    std::vector<std::size_t> daemons{3, 2, 2}; ///< In each data centre.
    bool proxied = false; ///< Puts the proxy on the links to peers, workers and the store.
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

/// The running cell. Its destructor kills all processes; it removes the logs unless a test failed with an
/// exception or SESAMESPAR_KEEP_LOGS is set.
struct cell {
    cell() = default;
    cell(const cell &) = delete;
    cell &operator=(const cell &) = delete;
    ~cell();

    cell_shape shape;
    std::filesystem::path folder; ///< Settings files and logs.
    bool keepFolder = false; ///< Set when something did not start, since the error names a log.
    child_process platform;
    child_process workers;
    child_process proxy;
    address platformAddress;
    address workersControl;
    address proxyControl;
    vm_list vms; ///< With the addresses of the workers themselves.
    std::vector<cell_daemon> daemons;

    std::mutex mutex; ///< Guards what follows.
    std::vector<told_answer> told;
    std::map<worker_id, utc_time> leavingSince;
    configuration_ptr settings;
};

/// Starts everything. Errors: Unknown with the name of what did not start and where its log is.
result<std::unique_ptr<cell>> startCell(const cell_shape &shape);

/// Index of the daemon of that name; the name must exist.
std::size_t daemonIndex(const cell &running, const std::string &name);

/// Starts a daemon that does not run.
result<void> startDaemon(cell &running, std::size_t index);

/// Sends SIGKILL and reaps.
void killDaemon(cell &running, std::size_t index);

/// A test's control call to a stand-in: PUT TARGET. False if it was not answered with 200.
bool control(const address &standin, const std::string &target);

/// Sets the state of a VM: live, leaving or gone. The oracle then tolerates starts for `grace` only.
bool setVm(cell &running, const worker_id &vm, const std::string &state, milliseconds grace = milliseconds(6000));

/// Sets the fault of links, as standin_proxy describes it, for example cut=both. Names: store:DAEMON,
/// peer:DAEMON>DAEMON, worker:VM.
bool setLinks(cell &running, const std::string &pattern, const std::string &fault);

/// Cuts a data centre from the others and from the store, or heals that.
bool cutDataCentre(cell &running, const std::string &dataCentre, bool cut);

/// HTTP status and body of PUT /v1/configuration at a daemon. Status 0 if no answer came.
struct apply_reply {
    int status = 0;
    config_version version; ///< 0 if the answer names none.
    std::string body;
};

/// Applies a configuration at one daemon, on that version if one is given. Sets the configuration that the
/// oracle uses if it was applied.
apply_reply
apply(cell &running, std::size_t daemon, const std::string &text, std::optional<config_version> expected = {});

/// Version of the configuration at a daemon; 0 if it has none or does not answer.
config_version versionAt(const cell &running, std::size_t daemon);

/// A request with a fresh key that starts with `prefix`, and expiry in an hour.
submit_request
makeRequest(const std::string &team, const std::string &work, const std::string &prefix, const std::string &payload);

/// Submits to one daemon. The answer is kept for the oracle. No answer at all becomes Unknown and is not kept.
job_answer submit(cell &running, std::size_t daemon, const submit_request &request);

/// Asks one daemon for the state of a job.
job_answer status(cell &running, std::size_t daemon, const job_id &id, milliseconds wait);

/// Cancels a job at one daemon.
job_answer cancel(cell &running, std::size_t daemon, const job_id &id);

/// Submits the same request again and again, at the given daemon first and then at the others that run, until
/// the answer is final or the limit has passed. Returns the last answer.
job_answer submitUntilFinal(cell &running, std::size_t daemon, submit_request request, milliseconds limit);

/// A request and the daemon that takes it first.
struct submission {
    std::size_t daemon = 0;
    submit_request request;
};

/// Runs submitUntilFinal for all of them at once, on threads of their own. Answers have the same order.
std::vector<job_answer>
submitAllUntilFinal(cell &running, const std::vector<submission> &submissions, milliseconds limit);

/// True if the job ended in one way or another.
bool isFinalAnswer(answer_status status);

/// What the workers' witness has seen.
result<witness_view> fetchExecutionReport(const cell &running);

/// All broken invariants so far.
std::vector<std::string> invariantViolations(cell &running);

/// Number of starts of a job's tasks so far.
std::size_t startsOf(const cell &running, const job_id &id);

/// A configuration with one team in each data centre (team-metsovo...) and, for each team, work of all kinds:
/// batch, once (batch, not repeatable), gang (4 tasks), query and, if asked for, service (2 tasks), each named
/// KIND-DATA_CENTRE. Task leases last 5 s.
std::string testConfiguration(const cell_shape &shape, bool services);

/// Applies testConfiguration and waits until a query of each data centre is done. False after 60 s.
bool prepare(cell &running, bool services = false);

} // namespace sesamespar::harness
