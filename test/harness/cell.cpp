#include "harness/cell.h"

#include "connection/codec.h"
#include "connection/json_text.h"
#include "harness/settings_text.h"
#include "harness/wait_until.h"
#include "standins/http_caller.h"
#include "standins/http_service.h"
#include "version/configuration_parser.h"

#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <future>
#include <sstream>

namespace sesamespar::harness {

namespace {

using standins::http_reply;
using standins::percentEncode;
using standins::sendHttp;

const std::string callerSecret = "test-caller-secret-0001";
const std::string operatorSecret = "test-operator-secret-0001";
/// Timeout of a call beyond its requested wait. Covers a takeover of a data centre on a loaded machine.
constexpr milliseconds extraCallTimeout{15000};
/// Limit on the time until a cell serves requests, which is about 5 s on an idle machine.
constexpr milliseconds prepareLimit{60000};

/// Sets a small number of HTTP library threads. The library accepts the number only once per process.
void startThreadsOnce()
{
    static std::once_flag once;
    std::call_once(once, [] { standins::startHttpThreads(8); });
}

std::string logPath(const cell &running, const std::string &name)
{
    return (running.folder / (name + ".log")).string();
}

std::string joinWithCommas(const std::vector<std::string> &parts)
{
    std::string text;
    for (const std::string &part : parts) {
        text += (text.empty() ? "" : ",") + part;
    }
    return text;
}

/// Starts a server, and stores its process and its address.
result<void> launchServer(cell &running,
                          const std::string &name,
                          const std::vector<std::string> &arguments,
                          child_process &process,
                          address &serverAddress)
{
    auto started = startServer(name, arguments, logPath(running, name));
    if (!started) {
        return started.error();
    }
    process = std::move(started.value().first);
    serverAddress = started.value().second;
    return boost::outcome_v2::success();
}

/// Address of the proxy of a link, or the target if the cell has no proxy.
result<address> linkAddress(const cell &running, const std::string &name, const address &target)
{
    if (!running.shape.proxied) {
        return target;
    }
    const auto reply = sendHttp({running.proxyControl,
                                 "PUT",
                                 "/test/link?name=" + percentEncode(name) + "&target=" + percentEncode(target.value),
                                 {},
                                 {}});
    if (!reply || reply.value().status != 200) {
        return makeError(error_kind::Unknown, "the proxy did not accept the link " + name);
    }
    return address(reply.value().body);
}

result<void> startStandins(cell &running)
{
    const cell_shape &shape = running.shape;
    BOOST_OUTCOME_TRY(launchServer(running, "standin_platform", {}, running.platform, running.platformAddress));
    BOOST_OUTCOME_TRY(launchServer(running,
                                   "standin_workers",
                                   {"--workers",
                                    std::to_string(shape.workers),
                                    "--data-centres",
                                    joinWithCommas(shape.dataCentres),
                                    "--cores",
                                    shape.cores,
                                    "--memory-mib",
                                    shape.memoryMib},
                                   running.workers,
                                   running.workersControl));
    if (shape.proxied) {
        BOOST_OUTCOME_TRY(launchServer(running, "standin_proxy", {}, running.proxy, running.proxyControl));
    }
    return boost::outcome_v2::success();
}

/// Registers the workers at the platform with the addresses of their links.
result<void> registerWorkers(cell &running)
{
    const auto listed = sendHttp({running.workersControl, "GET", "/test/vms", {}, {}});
    if (!listed) {
        return listed.error();
    }
    BOOST_OUTCOME_TRY(decoded, decodeVmList(listed.value().body));
    running.vms = std::move(decoded);
    vm_list visible = running.vms;
    for (vm_entry &vm : visible.vms) {
        BOOST_OUTCOME_TRY(workerLink, linkAddress(running, "worker:" + vm.name.value, vm.worker));
        vm.worker = std::move(workerLink);
    }
    const auto reply = sendHttp({running.platformAddress, "PUT", "/test/vms", encodeVmList(visible), {}});
    if (!reply || reply.value().status != 200) {
        return makeError(error_kind::Unknown, "the platform did not accept the VM list");
    }
    return boost::outcome_v2::success();
}

void configureDaemons(cell &running)
{
    for (std::size_t centre = 0; centre < running.shape.dataCentres.size(); ++centre) {
        for (std::size_t number = 1; number <= running.shape.daemons.at(centre); ++number) {
            cell_daemon &daemon = running.daemons.emplace_back();
            daemon.settings.name = daemon_id(running.shape.dataCentres.at(centre) + "-" + std::to_string(number));
            daemon.settings.dataCentre = data_centre_id(running.shape.dataCentres.at(centre));
            daemon.settings.http = address("127.0.0.1:0");
            daemon.settings.peerAddress = daemon.peerPort.reservedAddress();
            daemon.settings.callerSecret = callerSecret;
            daemon.settings.operatorSecret = operatorSecret;
            daemon.settings.trafficThreads = 2;
            daemon.settings.timing = running.shape.timing;
        }
    }
}

result<void> linkDaemon(cell &running, cell_daemon &daemon)
{
    daemon_settings &own = daemon.settings;
    BOOST_OUTCOME_TRY(storeLink, linkAddress(running, "store:" + own.name.value, running.platformAddress));
    own.store = std::move(storeLink);
    for (const cell_daemon &other : running.daemons) {
        if (other.settings.name == own.name) {
            continue;
        }
        const std::string name = "peer:" + own.name.value + ">" + other.settings.name.value;
        BOOST_OUTCOME_TRY(peerLink, linkAddress(running, name, other.settings.peerAddress));
        own.peers.push_back({other.settings.name, other.settings.dataCentre, std::move(peerLink)});
    }
    std::ofstream(running.folder / (own.name.value + ".yaml")) << writeSettings(own);
    return boost::outcome_v2::success();
}

result<void> startAll(cell &running)
{
    BOOST_OUTCOME_TRY(startStandins(running));
    BOOST_OUTCOME_TRY(registerWorkers(running));
    configureDaemons(running);
    for (cell_daemon &daemon : running.daemons) {
        BOOST_OUTCOME_TRY(linkDaemon(running, daemon));
    }
    for (std::size_t index = 0; index < running.daemons.size(); ++index) {
        BOOST_OUTCOME_TRY(startDaemon(running, index));
    }
    return boost::outcome_v2::success();
}

std::filesystem::path makeFolder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "sesamespar-test-XXXXXX").string();
    return mkdtemp(pattern.data()) == nullptr ? std::filesystem::temp_directory_path() : std::filesystem::path(pattern);
}

std::string jobPath(const job_id &id)
{
    return "/v1/jobs/" + percentEncode(id.team.value) + "/" + percentEncode(id.key.value);
}

job_answer unknownAnswer(const job_id &id, const std::string &reason)
{
    job_answer answer;
    answer.id = id;
    answer.reason = reason;
    return answer;
}

/// Decodes the answer of a response. Without a decodable answer, returns status Unknown with the reason.
job_answer readAnswer(const result<http_reply> &reply, const job_id &id)
{
    if (!reply) {
        return unknownAnswer(id, reply.error().message);
    }
    const auto answer = decodeJobAnswer(reply.value().body);
    if (!answer) {
        return unknownAnswer(
            id, "HTTP status " + std::to_string(reply.value().status) + " without a job answer: " + reply.value().body);
    }
    return answer.value();
}

result<http_reply> call(const cell &running,
                        std::size_t daemon,
                        const std::string &method,
                        const std::string &target,
                        const std::string &body,
                        const std::string &secret,
                        milliseconds limit)
{
    return sendHttp({running.daemons.at(daemon).http, method, target, body, secret, limit});
}

} // namespace

cell::~cell()
{
    daemons.clear();
    const bool failed = keepFolder || std::uncaught_exceptions() > 0;
    if (!failed && std::getenv("SESAMESPAR_KEEP_LOGS") == nullptr
        && folder.filename().string().starts_with("sesamespar-")) {
        std::error_code ignored;
        std::filesystem::remove_all(folder, ignored);
    }
}

result<std::unique_ptr<cell>> startCell(const cell_shape &shape)
{
    startThreadsOnce();
    auto running = std::make_unique<cell>();
    running->shape = shape;
    running->folder = makeFolder();
    const auto started = startAll(*running);
    if (!started) {
        running->keepFolder = true;
        return started.error();
    }
    return running;
}

std::size_t daemonIndex(const cell &running, const std::string &name)
{
    const auto found = std::find_if(running.daemons.begin(), running.daemons.end(), [&](const cell_daemon &daemon) {
        return daemon.settings.name.value == name;
    });
    return static_cast<std::size_t>(found - running.daemons.begin());
}

result<void> startDaemon(cell &running, std::size_t index)
{
    cell_daemon &daemon = running.daemons.at(index);
    const std::string &name = daemon.settings.name.value;
    auto started = startServer(
        "sesamespard", {"--settings", (running.folder / (name + ".yaml")).string()}, logPath(running, name));
    if (!started) {
        return started.error();
    }
    daemon.process = std::move(started.value().first);
    daemon.http = started.value().second;
    return boost::outcome_v2::success();
}

void killDaemon(cell &running, std::size_t index)
{
    running.daemons.at(index).process.kill();
}

bool control(const address &standin, const std::string &target)
{
    const auto reply = sendHttp({standin, "PUT", target, {}, {}});
    return reply && reply.value().status == 200;
}

bool setVm(cell &running, const worker_id &vm, const std::string &state, milliseconds grace)
{
    if (!control(running.platformAddress, "/test/vm?name=" + percentEncode(vm.value) + "&state=" + state)) {
        return false;
    }
    const std::lock_guard lock(running.mutex);
    if (state == "live") {
        running.noStartsAfter.erase(vm);
    } else {
        running.noStartsAfter[vm] = utc_time(readClocks().utc.value + grace.count());
    }
    return true;
}

bool setLinks(cell &running, const std::string &pattern, const std::string &fault)
{
    return control(running.proxyControl, "/test/fault?name=" + percentEncode(pattern) + "&" + fault);
}

bool cutDataCentre(cell &running, const std::string &dataCentre, bool cut)
{
    const std::string fault = cut ? "cut=both" : "cut=none";
    bool done = true;
    for (const cell_daemon &from : running.daemons) {
        const bool inside = from.settings.dataCentre.value == dataCentre;
        if (inside) {
            done = setLinks(running, "store:" + from.settings.name.value, fault) && done;
        }
        for (const peer_settings &to : from.settings.peers) {
            if (inside != (to.dataCentre.value == dataCentre)) {
                done = setLinks(running, "peer:" + from.settings.name.value + ">" + to.name.value, fault) && done;
            }
        }
    }
    return done;
}

apply_reply apply(cell &running, std::size_t daemon, const std::string &text, std::optional<config_version> expected)
{
    std::string target = "/v1/configuration";
    if (expected) {
        target += "?expected=" + std::to_string(expected->value);
    }
    const auto reply = call(running, daemon, "PUT", target, text, operatorSecret, extraCallTimeout);
    if (!reply) {
        return {0, {}, reply.error().message};
    }
    apply_reply read{reply.value().status, {}, reply.value().body};
    read.version = config_version(jsonNumber(read.body, "version").value_or(0));
    if (read.status == 200) {
        const std::lock_guard lock(running.mutex);
        running.settings = parseConfiguration(text, "test", read.version).settings;
    }
    return read;
}

config_version versionAt(const cell &running, std::size_t daemon)
{
    const auto reply = call(running, daemon, "GET", "/v1/configuration", {}, operatorSecret, milliseconds(5000));
    if (!reply || reply.value().status != 200) {
        return {};
    }
    return config_version(jsonNumber(reply.value().body, "version").value_or(0));
}

submit_request
makeRequest(const std::string &team, const std::string &work, const std::string &prefix, const std::string &payload)
{
    static std::atomic<std::uint64_t> counter{0};
    submit_request request;
    request.job.id = {team_id(team), idempotency_key(prefix + "-" + std::to_string(++counter))};
    request.job.work = work_id(work);
    request.job.expires = utc_time(readClocks().utc.value + 3600000);
    request.job.payload = payload;
    return request;
}

job_answer submit(cell &running, std::size_t daemon, const submit_request &request)
{
    const auto reply = call(running,
                            daemon,
                            "POST",
                            "/v1/jobs",
                            encodeSubmitRequest(request),
                            callerSecret,
                            request.wait + extraCallTimeout);
    job_answer answer = readAnswer(reply, request.job.id);
    if (answer.status != answer_status::Unknown) {
        const std::lock_guard lock(running.mutex);
        running.received.push_back({request.job, answer});
    }
    return answer;
}

job_answer status(cell &running, std::size_t daemon, const job_id &id, milliseconds wait)
{
    const std::string target = jobPath(id) + "?wait_ms=" + std::to_string(wait.count());
    return readAnswer(call(running, daemon, "GET", target, {}, callerSecret, wait + extraCallTimeout), id);
}

job_answer cancel(cell &running, std::size_t daemon, const job_id &id)
{
    return readAnswer(call(running, daemon, "DELETE", jobPath(id), {}, callerSecret, extraCallTimeout), id);
}

job_answer submitUntilFinal(cell &running, std::size_t daemon, submit_request request, milliseconds limit)
{
    const time_point end = std::chrono::steady_clock::now() + limit;
    job_answer answer = unknownAnswer(request.job.id, "no daemon is running");
    request.wait = milliseconds(5000);
    for (std::size_t turn = 0; !isFinalAnswer(answer.status) && std::chrono::steady_clock::now() < end; ++turn) {
        const std::size_t index = (daemon + turn) % running.daemons.size();
        if (running.daemons.at(index).process.pid() != 0) {
            answer = submit(running, index, request);
        }
        if (!isFinalAnswer(answer.status) && answer.status != answer_status::Accepted) {
            waitUntil(milliseconds(200), [] { return false; });
        }
    }
    return answer;
}

std::vector<job_answer>
submitAllUntilFinal(cell &running, const std::vector<submission> &submissions, milliseconds limit)
{
    std::vector<std::future<job_answer>> pending;
    pending.reserve(submissions.size());
    for (const submission &single : submissions) {
        pending.push_back(std::async(std::launch::async, [&running, &single, limit] {
            return submitUntilFinal(running, single.daemon, single.request, limit);
        }));
    }
    std::vector<job_answer> answers;
    answers.reserve(pending.size());
    for (std::future<job_answer> &single : pending) {
        answers.push_back(single.get());
    }
    return answers;
}

bool isFinalAnswer(answer_status status)
{
    return status == answer_status::Done || status == answer_status::Failed || status == answer_status::Cancelled
        || status == answer_status::Lost || status == answer_status::Conflict || status == answer_status::Expired;
}

result<execution_report> fetchExecutionReport(const cell &running)
{
    const auto reply = sendHttp({running.workersControl, "GET", "/test/report", {}, {}});
    if (!reply) {
        return reply.error();
    }
    return readExecutionReport(reply.value().body);
}

std::size_t startsOf(const cell &running, const job_id &id)
{
    const auto executions = fetchExecutionReport(running);
    if (!executions) {
        return 0;
    }
    const auto known = executions.value().starts.find(id);
    return known == executions.value().starts.end() ? 0 : known->second.size();
}

std::vector<std::string> invariantViolations(cell &running)
{
    auto executions = fetchExecutionReport(running);
    if (!executions) {
        return {executions.error().message};
    }
    const std::lock_guard lock(running.mutex);
    return invariantViolations(
        oracle_input{std::move(executions.value()), running.received, running.settings, running.noStartsAfter});
}

std::string testConfiguration(const cell_shape &shape, bool services)
{
    std::ostringstream text;
    text << "cell: test\ndata_centres: [" << joinWithCommas(shape.dataCentres) << "]\npolicies:\n";
    for (const char *kind : {"query", "service", "gang", "batch"}) {
        text << "  " << kind << ": {task_lease: 5s}\n";
    }
    text << "teams:\n";
    for (const std::string &dataCentre : shape.dataCentres) {
        text << "  - {name: team-" << dataCentre << ", home: " << dataCentre << "}\n";
    }
    text << "work:\n";
    for (const std::string &dataCentre : shape.dataCentres) {
        const auto declare = [&](const std::string &name, const std::string &rest) {
            text << "  - {name: " << name << "-" << dataCentre << ", team: team-" << dataCentre << ", " << rest
                 << "}\n";
        };
        declare("batch", "kind: batch, processors: 1, memory: 512MiB, run_time: 500ms, repeatable: true");
        declare("once", "kind: batch, processors: 1, memory: 512MiB, run_time: 500ms, repeatable: false");
        declare("gang", "kind: gang, tasks: 4, processors: 2, memory: 1GiB, run_time: 500ms, repeatable: true");
        declare("query", "kind: query, processors: 250m, memory: 128MiB, run_time: 100ms, repeatable: true");
        if (services) {
            declare("service", "kind: service, tasks: 2, processors: 500m, memory: 256MiB");
        }
    }
    return text.str();
}

bool prepare(cell &running, bool services)
{
    const std::string text = testConfiguration(running.shape, services);
    if (!waitUntil(prepareLimit, [&] { return apply(running, 0, text).status == 200; })) {
        return false;
    }
    return std::all_of(
        running.shape.dataCentres.begin(), running.shape.dataCentres.end(), [&](const std::string &dataCentre) {
            const submit_request probe =
                makeRequest("team-" + dataCentre, "query-" + dataCentre, "prepare", "run_ms=10");
            return submitUntilFinal(running, 0, probe, prepareLimit).status == answer_status::Done;
        });
}

} // namespace sesamespar::harness
