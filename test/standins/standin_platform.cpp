// Stand-in for the platform's key-value store and VM list, in one process.
//
// Tests control it with these requests, which the rate limiter does not count:
// PUT /test/faults?outage=none|refusing|silent&delay_ms=N&lose_put_answers=N (absent parameters keep their value)
// PUT /test/rates?reads=N&writes=N sets the rate limits per second
// PUT /test/vms with a VM list as body adds VMs
// PUT /test/vm_lag?ms=N sets the time after which readers see a change of the VM list
// PUT /test/vm?name=NAME&state=live|leaving|gone
// GET /test/report returns the counters
#include "connection/codec.h"
#include "standins/http_service.h"
#include "standins/platform_host.h"
#include "standins/program_flags.h"

#include <future>

namespace {

using namespace sesamespar;
using namespace sesamespar::standins;

void answerStore(const http_responder &respond, const store_outcome &outcome)
{
    if (const auto *reply = std::get_if<store_reply>(&outcome)) {
        respond({200, encodeStoreReply(*reply)});
    } else if (std::get<store_refusal>(outcome) == store_refusal::TooMany) {
        respond({429, R"({"error":"the call exceeds the rate limit"})"});
    } else {
        respond({503, R"({"error":"the store is unavailable"})"});
    }
}

http_answer setFaultsFrom(platform_host &host, const query_parameters &query)
{
    store_faults faults = currentFaults(host);
    const std::string outage = queryText(query, "outage");
    if (outage == "none") {
        faults.outage = store_outage::None;
    } else if (outage == "refusing") {
        faults.outage = store_outage::Refusing;
    } else if (outage == "silent") {
        faults.outage = store_outage::Silent;
    } else if (!outage.empty()) {
        return {400, R"({"error":"outage: must be none, refusing or silent"})"};
    }
    faults.delay = milliseconds(queryNumber(query, "delay_ms", faults.delay.count()));
    faults.putAnswersToLose = queryNumber(query, "lose_put_answers", faults.putAnswersToLose);
    setFaults(host, faults);
    return {200, "{}"};
}

http_answer addVmsFrom(platform_host &host, const std::string &body)
{
    const auto list = decodeVmList(body);
    if (!list) {
        return {400, list.error().message, "text/plain"};
    }
    addVms(host, list.value().vms);
    return {200, "{}"};
}

http_answer changeVmFrom(platform_host &host, const query_parameters &query)
{
    const worker_id name(queryText(query, "name"));
    const std::string state = queryText(query, "state");
    bool known = false;
    if (state == "gone") {
        known = unregisterVm(host, name);
    } else if (state == "live" || state == "leaving") {
        known = updateVm(host, name, state == "live" ? vm_state::Live : vm_state::Leaving);
    }
    return known ? http_answer{200, "{}"}
                 : http_answer{404, R"({"error":"no VM has this name, or the state is not live, leaving or gone"})"};
}

http_answer handleControl(platform_host &host, const http_call &call)
{
    if (call.path == "/test/report") {
        return {200, platformReport(host)};
    }
    if (call.path == "/test/faults") {
        return setFaultsFrom(host, call.query);
    }
    if (call.path == "/test/vms") {
        return addVmsFrom(host, call.body);
    }
    if (call.path == "/test/vm") {
        return changeVmFrom(host, call.query);
    }
    if (call.path == "/test/vm_lag") {
        setVmLag(host, milliseconds(queryNumber(call.query, "ms", 0)));
        return {200, "{}"};
    }
    if (call.path == "/test/rates") {
        setRates(host,
                 static_cast<std::uint64_t>(queryNumber(call.query, "reads", 2000)),
                 static_cast<std::uint64_t>(queryNumber(call.query, "writes", 500)));
        return {200, "{}"};
    }
    return {404, R"({"error":"no such path"})"};
}

void handle(platform_host &host, const http_call &call, const http_responder &respond)
{
    if (call.path.starts_with("/test/")) {
        respond(handleControl(host, call));
        return;
    }
    const auto request = decodeStoreRequest({call.method, call.target, call.body});
    if (!request) {
        const bool absent = request.error().kind == error_kind::NotFound;
        respond({absent ? 404 : 400, request.error().message, "text/plain"});
        return;
    }
    callPlatform(host, request.value(), [respond](const store_outcome &outcome) { answerStore(respond, outcome); });
}

} // namespace

int main(int count, const char **arguments)
{
    const auto flags = readFlags(count,
                                 arguments,
                                 {{"host", "127.0.0.1", "address to listen on"},
                                  {"port", "0", "port to listen on; 0 selects a free port"},
                                  {"threads", "3", "threads of the HTTP library"}});
    startHttpThreads(static_cast<std::size_t>(flagNumber(flags, "threads")));
    const auto host = makePlatformHost(startTimerQueue());
    const auto service = startHttpService(
        flags.at("host"),
        static_cast<std::uint16_t>(flagNumber(flags, "port")),
        [host](const http_call &call, const http_responder &respond) { handle(*host, call, respond); });
    if (!service) {
        return 1;
    }
    printReady(boundAddress(*service.value()).value);
    // Runs until a signal terminates the process.
    std::promise<void>().get_future().wait();
    return 0;
}
