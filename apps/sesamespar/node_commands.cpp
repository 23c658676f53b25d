#include "node_commands.h"

#include "call_daemon.h"
#include "version/yaml_reader.h"

namespace sesamespar {

namespace {

exit_status runRead(const command_options &options, result<std::string> (*read)(caller_client &client))
{
    const caller_client_ptr client = openClient(options);
    if (!client) {
        return exit_status::Invalid;
    }
    return printAnswer(options, read(*client));
}

} // namespace

exit_status runDrain(const command_options &options)
{
    const std::string &vm = options.arguments.front();
    if (!isDeclaredName(vm)) {
        printError(quoteForMessage(vm) + " is not the name of a VM");
        return exit_status::Invalid;
    }
    const caller_client_ptr client = openClient(options);
    if (!client) {
        return exit_status::Invalid;
    }
    const auto answer = drainVm(*client, worker_id(vm));
    if (!answer && answer.error().kind == error_kind::Unknown) {
        printError("it is unknown whether the drain began: " + answer.error().message
                   + "; it may be repeated: sesamespar drain " + vm);
        return exit_status::Unknown;
    }
    return printAnswer(options, answer);
}

exit_status runNodes(const command_options &options)
{
    return runRead(options, fetchNodes);
}

exit_status runDump(const command_options &options)
{
    return runRead(options, fetchDump);
}

exit_status runMetrics(const command_options &options)
{
    return runRead(options, fetchMetrics);
}

} // namespace sesamespar
