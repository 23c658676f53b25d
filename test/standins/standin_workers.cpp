// Stand-in for many workers in one process, each on its own port, with a recorder of all executions.
//
// Tests control it on the port that it prints:
// PUT /test/worker?name=NAME&mode=normal|paused|vanished&fails=0|1&lose_answers=N (absent parameters keep their value)
// PUT /test/restart?name=NAME
// GET /test/report returns the report of the execution recorder, GET /test/vms the VM list of all workers.
// NAME may end in *, which matches any suffix.
#include "connection/codec.h"
#include "standins/http_caller.h"
#include "standins/http_service.h"
#include "standins/program_flags.h"
#include "standins/worker_fleet.h"
#include "standins/worker_host.h"

#include <glog/logging.h>

#include <future>
#include <optional>

namespace {

using namespace sesamespar;
using namespace sesamespar::standins;

/// The running workers. `services` and `vms` are indexed like the workers of the host.
struct worker_process {
    std::shared_ptr<worker_host> host;
    std::vector<std::shared_ptr<http_service>> services;
    vm_list vms;
};

void answerWorker(const http_responder &respond, const result<worker_reply> &reply)
{
    if (reply) {
        respond({200, encodeWorkerReply(reply.value())});
    } else {
        respond({503, reply.error().message, "text/plain"});
    }
}

void handleWorkerCall(worker_host &host, std::size_t index, const http_call &call, const http_responder &respond)
{
    const auto request = decodeWorkerRequest(call.path, call.body);
    if (!request) {
        const bool absent = request.error().kind == error_kind::NotFound;
        respond({absent ? 404 : 400, request.error().message, "text/plain"});
        return;
    }
    callHostedWorker(
        host, index, request.value(), [respond](const result<worker_reply> &reply) { answerWorker(respond, reply); });
}

bool matchesPattern(const std::string &pattern, const worker_id &name)
{
    if (pattern.ends_with('*')) {
        return name.value.starts_with(pattern.substr(0, pattern.size() - 1));
    }
    return pattern == name.value;
}

std::optional<worker_mode> modeFromName(const std::string &name)
{
    if (name == "normal") {
        return worker_mode::Normal;
    }
    if (name == "paused") {
        return worker_mode::Paused;
    }
    if (name == "vanished") {
        return worker_mode::Vanished;
    }
    return std::nullopt;
}

void changeWorkers(worker_process &process, const query_parameters &query)
{
    const auto mode = modeFromName(queryText(query, "mode"));
    for (std::size_t index = 0; index < process.vms.vms.size(); ++index) {
        if (!matchesPattern(queryText(query, "name"), process.vms.vms.at(index).name)) {
            continue;
        }
        if (query.contains("fails")) {
            setFailsEveryTask(*process.host, index, queryNumber(query, "fails", 0) != 0);
        }
        if (query.contains("lose_answers")) {
            loseAnswers(*process.host, index, queryNumber(query, "lose_answers", 0));
        }
        if (mode) {
            setWorkerMode(*process.host, index, *mode);
        }
    }
}

void restartWorkers(worker_process &process, const std::string &pattern)
{
    for (std::size_t index = 0; index < process.vms.vms.size(); ++index) {
        if (matchesPattern(pattern, process.vms.vms.at(index).name)) {
            restartHostedWorker(*process.host, index);
        }
    }
}

void handleControl(worker_process &process, const http_call &call, const http_responder &respond)
{
    if (call.path == "/test/report") {
        respond({200, encodeHostReport(*process.host)});
    } else if (call.path == "/test/vms") {
        respond({200, encodeVmList(process.vms)});
    } else if (call.path == "/test/restart") {
        restartWorkers(process, queryText(call.query, "name"));
        respond({200, "{}"});
    } else if (call.path == "/test/worker") {
        changeWorkers(process, call.query);
        respond({200, "{}"});
    } else {
        respond({404, R"({"error":"no such path"})"});
    }
}

fleet_shape readShape(const std::map<std::string, std::string> &flags)
{
    fleet_shape shape;
    shape.workers = static_cast<std::size_t>(flagNumber(flags, "workers"));
    shape.dataCentres = splitAtCommas(flags.at("data-centres"));
    shape.rackSize = static_cast<std::size_t>(flagNumber(flags, "rack-size"));
    shape.capacity.processors = millicores(flagNumber(flags, "cores") * 1000);
    shape.capacity.memory = mebibytes(flagNumber(flags, "memory-mib"));
    shape.accelerators = flagNumber(flags, "accelerators");
    shape.acceleratorWorkers = static_cast<std::size_t>(flagNumber(flags, "accelerator-workers"));
    return shape;
}

bool startWorkers(worker_process &process, const std::vector<fleet_worker> &fleet, const std::string &host)
{
    for (const fleet_worker &worker : fleet) {
        const std::size_t index = addWorker(*process.host, worker.vm.name, worker.capacity);
        const auto service = startHttpService(
            host, 0, [workers = process.host, index](const http_call &call, const http_responder &respond) {
                handleWorkerCall(*workers, index, call, respond);
            });
        if (!service) {
            LOG(ERROR) << service.error().message;
            return false;
        }
        process.services.push_back(service.value());
        vm_entry vm = worker.vm;
        vm.worker = boundAddress(*service.value());
        process.vms.vms.push_back(std::move(vm));
    }
    process.vms.revision = roster_revision(1);
    return true;
}

bool registerAtPlatform(const std::string &platform, const vm_list &vms)
{
    const auto reply = sendHttp({address(platform), "PUT", "/test/vms", encodeVmList(vms), {}, milliseconds(10000)});
    if (!reply || reply.value().status != 200) {
        LOG(ERROR) << "the platform at " << platform << " did not accept the VM list";
        return false;
    }
    return true;
}

std::vector<program_flag> workerFlags()
{
    return {{"host", "127.0.0.1", "address to listen on"},
            {"port", "0", "port of the control interface; 0 selects a free port"},
            {"platform", "", "HOST:PORT of the platform at which to register the workers; empty: none"},
            {"workers", "50", "number of workers"},
            {"data-centres", "metsovo,ioannina,zagori", "names of the data centres, separated by commas"},
            {"rack-size", "8", "workers per rack"},
            {"cores", "16", "processors per worker"},
            {"memory-mib", "32768", "memory per worker in MiB"},
            {"accelerators", "0", "accelerators of each worker that has accelerators"},
            {"accelerator-workers", "0", "workers per data centre that have accelerators"},
            {"threads", "3", "threads of the HTTP library"}};
}

} // namespace

int main(int count, const char **arguments)
{
    const auto flags = readFlags(count, arguments, workerFlags());
    startHttpThreads(static_cast<std::size_t>(flagNumber(flags, "threads")));
    worker_process process;
    process.host = makeWorkerHost(startTimerQueue());
    if (!startWorkers(process, makeFleet(readShape(flags)), flags.at("host"))) {
        return 1;
    }
    const auto control = startHttpService(
        flags.at("host"),
        static_cast<std::uint16_t>(flagNumber(flags, "port")),
        [&process](const http_call &call, const http_responder &respond) { handleControl(process, call, respond); });
    if (!control || (!flags.at("platform").empty() && !registerAtPlatform(flags.at("platform"), process.vms))) {
        return 1;
    }
    printReady(boundAddress(*control.value()).value);
    // Runs until a signal terminates the process.
    std::promise<void>().get_future().wait();
    return 0;
}
