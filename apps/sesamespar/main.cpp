// The command sesamespar for operators and callers.
#include "command_line.h"
#include "configuration_commands.h"
#include "explain_command.h"
#include "job_commands.h"
#include "node_commands.h"

#include <array>
#include <exception>

namespace {

using namespace sesamespar;

std::array<command_verb, 11> makeVerbs()
{
    using enum option_group;
    return {{
        {"check", "FILE", "Check a configuration file offline.", {}, runCheck},
        {"apply", "FILE", "Apply a configuration file atomically.", {Daemon, Expect}, runApply},
        {"show", "", "Print the configuration in force.", {Daemon}, runShow},
        {"submit", "FILE|-", "Submit the job that a YAML or JSON file describes.", {Daemon, Submission}, runSubmit},
        {"status", "TEAM/KEY", "Print the state of a job.", {Daemon, Wait}, runStatus},
        {"cancel", "TEAM/KEY", "Cancel a job.", {Daemon}, runCancel},
        {"drain", "VM", "Stop placing tasks on a VM and move its services.", {Daemon}, runDrain},
        {"nodes", "", "Print the daemons and workers that a daemon sees.", {Daemon}, runNodes},
        {"dump", "", "Print the state of a daemon.", {Daemon}, runDump},
        {"metrics", "", "Print the metrics of a daemon.", {Daemon}, runMetrics},
        {"explain", "ID FILE...", "Print the timeline of a request from log files of daemons.", {}, runExplain},
    }};
}

} // namespace

int main(int argc, const char **argv)
{
    try {
        return static_cast<int>(runCommandLine(argc, argv, makeVerbs()));
    } catch (const std::exception &failure) {
        // No exception is expected. A request may have been sent before, so the outcome is unknown.
        printError(std::string("internal error: ") + failure.what());
        return static_cast<int>(exit_status::Unknown);
    }
}
