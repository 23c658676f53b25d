// TCP proxy that injects faults into the links of a test.
//
// Tests control it on the port that it prints:
// PUT /test/link?name=NAME&target=HOST:PORT adds a link and returns its address as plain text.
// PUT /test/fault?name=PATTERN&delay_ms=N&cut=none|forward|backward|both&reset=0|1&drop_answers=0|1&
// silence=none|forward|backward|both sets the faults of links; an absent parameter clears its fault. PATTERN may end in
// *, which matches any suffix. `silence` affects the connections that are open at that moment, for good.
#include "standins/http_service.h"
#include "standins/link_proxy.h"
#include "standins/program_flags.h"

#include <future>

namespace {

using namespace sesamespar;
using namespace sesamespar::standins;

http_answer addLinkFrom(link_proxy &proxy, const query_parameters &query)
{
    const auto linkAddress = addLink(proxy, queryText(query, "name"), address(queryText(query, "target")));
    if (!linkAddress) {
        return {400, linkAddress.error().message, "text/plain"};
    }
    return {200, linkAddress.value().value, "text/plain"};
}

http_answer setFaultFrom(link_proxy &proxy, const query_parameters &query)
{
    const std::string cut = queryText(query, "cut");
    link_fault fault;
    fault.delay = milliseconds(queryNumber(query, "delay_ms", 0));
    fault.holdForward = cut == "forward" || cut == "both";
    fault.holdBackward = cut == "backward" || cut == "both";
    fault.reset = queryNumber(query, "reset", 0) != 0;
    const std::string silence = queryText(query, "silence");
    fault.silenceForward = silence == "forward" || silence == "both";
    fault.silenceBackward = silence == "backward" || silence == "both";
    fault.dropAnswers = queryNumber(query, "drop_answers", 0) != 0;
    const std::size_t count = setLinkFault(proxy, queryText(query, "name"), fault);
    return {count > 0 ? 200 : 404, std::to_string(count), "text/plain"};
}

void handle(link_proxy &proxy, const http_call &call, const http_responder &respond)
{
    if (call.path == "/test/link") {
        respond(addLinkFrom(proxy, call.query));
    } else if (call.path == "/test/fault") {
        respond(setFaultFrom(proxy, call.query));
    } else {
        respond({404, "no such path", "text/plain"});
    }
}

} // namespace

int main(int count, const char **arguments)
{
    const auto flags = readFlags(count,
                                 arguments,
                                 {{"host", "127.0.0.1", "address of the control interface"},
                                  {"port", "0", "port of the control interface; 0 selects a free port"}});
    startHttpThreads(2);
    const auto proxy = startLinkProxy();
    const auto control = startHttpService(
        flags.at("host"),
        static_cast<std::uint16_t>(flagNumber(flags, "port")),
        [proxy](const http_call &call, const http_responder &respond) { handle(*proxy, call, respond); });
    if (!control) {
        return 1;
    }
    printReady(boundAddress(*control.value()).value);
    // Runs until a signal terminates the process.
    std::promise<void>().get_future().wait();
    return 0;
}
