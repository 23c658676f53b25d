// Checks the exit statuses and error messages of the built command. Guards against scripts that take a refused or
// invalid request for a successful one, and against secrets on the command line.

#include "run_command.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <string>
#include <vector>

using namespace sesamespar;

namespace {

/// Runs the command without its environment variables and returns its stderr as output.
run_result runForErrors(const std::string &arguments)
{
    return runShell("env -u SESAMESPAR_SECRET -u SESAMESPAR_DAEMONS " COMMAND " " + arguments
                    + " 2>&1 >/dev/null </dev/null");
}

/// Runs the command without its environment variables and returns its stdout as output.
run_result runForResult(const std::string &arguments)
{
    return runShell("env -u SESAMESPAR_SECRET -u SESAMESPAR_DAEMONS " COMMAND " " + arguments
                    + " 2>/dev/null </dev/null");
}

/// Writes a file of this test to the build folder and returns its path.
std::string writeFile(const std::string &name, const std::string &text)
{
    std::string path = WORK_FOLDER "/command_line_" + name;
    std::ofstream stream(path, std::ios::binary);
    stream << text;
    return path;
}

void checkUsage(const std::string &arguments, const std::string &message)
{
    const run_result run = runForErrors(arguments);
    INFO(arguments);
    CHECK(run.status == 2);
    CHECK(run.output == "sesamespar: " + message + '\n');
}

const std::string someDaemon = " --daemon 127.0.0.1:1 ";

} // namespace

TEST_CASE("usage errors end with status 2 and name the error")
{
    checkUsage("", "the verb is missing; see sesamespar --help");
    checkUsage("chek f", "unknown verb \"chek\", did you mean check?; see sesamespar --help");
    checkUsage("--output json show", "the verb must come before its options; see sesamespar --help");
    checkUsage("check", "FILE is missing; see sesamespar check --help");
    checkUsage("status", "TEAM/KEY is missing; see sesamespar status --help");
    checkUsage("check a b", "unexpected argument \"b\"; see sesamespar check --help");
    checkUsage("explain", "ID is missing; see sesamespar explain --help");
    checkUsage("explain 5aa37524e8a79364", "FILE is missing; see sesamespar explain --help");
    checkUsage("nodes x", "unexpected argument \"x\"; see sesamespar nodes --help");
    checkUsage("check --daemon 127.0.0.1:1 f", "--daemon: unknown option; see sesamespar check --help");
    checkUsage("show --daemon", "--daemon: missing argument; see sesamespar show --help");
    checkUsage("show --daemon x", "--daemon: \"x\" is not an address, expected HOST:PORT; see sesamespar show --help");
    checkUsage("nodes --output xml",
               "--output: \"xml\" is not allowed, expected json or table; see sesamespar nodes --help");
    checkUsage("apply f --expect -1",
               "--expect: \"-1\" is negative, expected the number of a version; see sesamespar apply --help");
    checkUsage("status t/k --wait 61s",
               "--wait: \"61s\" is too large, expected at most 1m; see sesamespar status --help");
    checkUsage("show --limit 5",
               "--limit: \"5\" has no unit, expected a duration such as 500ms, 30s or 10m; see sesamespar show "
               "--help");
}

TEST_CASE("a secret on the command line is not accepted")
{
    checkUsage("show --secret abc", "--secret: unknown option; see sesamespar show --help");
    CHECK(runForResult("show --help").output.find("secret-file=FILE") != std::string::npos);
}

TEST_CASE("a call without a daemon or a secret ends with status 2")
{
    checkUsage("show", "no daemon, expected --daemon HOST:PORT or SESAMESPAR_DAEMONS in the environment");
    checkUsage("show" + someDaemon, "no secret, expected --secret-file FILE or SESAMESPAR_SECRET in the environment");
    checkUsage("show" + someDaemon + "--secret-file " + writeFile("empty", ""),
               "the secret is not valid, expected one or more printable ASCII characters without spaces");
    checkUsage("show" + someDaemon + "--secret-file " + writeFile("spaces", "a b\n"),
               "the secret is not valid, expected one or more printable ASCII characters without spaces");
    const run_result run = runShell("SESAMESPAR_DAEMONS=127.0.0.1:1,,x " COMMAND " show 2>&1");
    CHECK(run.status == 2);
    CHECK(run.output
          == "sesamespar: SESAMESPAR_DAEMONS: \"\" is not an address, expected HOST:PORT; see sesamespar show "
             "--help\n");
}

TEST_CASE("malformed arguments end with status 2")
{
    checkUsage("status desk" + someDaemon, "\"desk\" is not TEAM/KEY, expected the name of a team, a slash and a key");
    checkUsage("cancel Desk/1" + someDaemon,
               "\"Desk/1\" is not TEAM/KEY, expected the name of a team, a slash and a key");
    checkUsage("drain A" + someDaemon, "\"A\" is not the name of a VM");
    checkUsage("check " WORK_FOLDER "/no-such-file",
               "cannot open \"" WORK_FOLDER "/no-such-file\": No such file or directory");
}

TEST_CASE("an invalid file ends with status 2 and all findings, and is not sent")
{
    const std::string file = writeFile("invalid.yaml", "cell: C\ndata_centres: [d]\nretention: 1\n");
    const std::string findings = file
        + ":1:7: cell: \"C\" is not a name, expected a-z, 0-9 and -, not first -, at most 128 characters\n" + file
        + ":3:12: retention: \"1\" has no unit, expected a duration such as 500ms, 90s, 10m or 24h, from 1m to 24h\n";
    const std::string check = "check " + file;
    const std::string apply = "apply " + file + someDaemon;
    for (const std::string &arguments : std::vector<std::string>{check, apply}) {
        const run_result run = runForErrors(arguments);
        CHECK(run.status == 2);
        CHECK(run.output == findings);
    }
    const run_result json = runForResult("check --output json " + file);
    CHECK(json.status == 2);
    CHECK(json.output.find("\"line\":3,\"column\":12,\"field\":\"retention\"") != std::string::npos);
}

TEST_CASE("an invalid description of a job ends with status 2 and all findings")
{
    const std::string file = writeFile("job.yaml", "team: T\nwork: w\nkey: 'a b'\nexpires: soon\ntasks: 0\nwait: 2m\n");
    const run_result run = runForErrors("submit " + file + someDaemon + "--expires never");
    CHECK(run.status == 2);
    CHECK(run.output
          == file + ":0:0: --expires: \"never\" is not a time, expected a time such as 2026-12-04T10:00:00Z or +1h\n"
              + file + ":1:7: team: \"T\" is not a name, expected a-z, 0-9 and -, not first -, at most 128 characters\n"
              + file + ":3:6: key: \"a b\" is not a key, expected 1 to 128 printable characters without spaces\n" + file
              + ":4:10: expires: \"soon\" is not a time, expected a time such as 2026-12-04T10:00:00Z or +1h\n" + file
              + ":5:8: tasks: \"0\" is too small, expected a whole number from 1 to 10000\n" + file
              + ":6:7: wait: \"2m\" is too large, expected a duration such as 500ms, 90s, 10m or 24h, from 0ms to "
                "1m\n");
}

TEST_CASE("a valid file ends with status 0")
{
    const std::string file = writeFile("valid.yaml", "cell: c\ndata_centres: [d]\n");
    const run_result run = runForResult("check " + file);
    CHECK(run.status == 0);
    CHECK(run.output == file + ": valid, cell c, 1 data centres, 0 teams, 0 pieces of work\n");
    const run_result json = runForResult("check --output json " + file);
    CHECK(json.status == 0);
    CHECK(json.output == "{\"findings\":[]}\n");
}

TEST_CASE("help and version end with status 0")
{
    for (const std::string verb :
         {"", "check", "apply", "show", "submit", "status", "cancel", "drain", "nodes", "dump", "metrics", "explain"}) {
        const run_result help = runForResult(verb + " --help");
        CHECK(help.status == 0);
        CHECK(help.output.find("Usage: sesamespar " + (verb.empty() ? "VERB" : verb)) != std::string::npos);
        const run_result version = runForResult(verb + " --version");
        CHECK(version.status == 0);
        CHECK(version.output.substr(0, 11) == "sesamespar ");
    }
}

TEST_CASE("calls without a reachable daemon end with status 1")
{
    // Nothing listens on port 1 of the loopback address.
    const std::string options =
        someDaemon + "--limit 300ms --secret-file " + writeFile("secret", "a-secret-of-callers\n");
    const std::string cell = writeFile("valid.yaml", "cell: c\ndata_centres: [d]\n");
    const std::string job = writeFile("valid-job.yaml", "{\"team\": \"t\", \"work\": \"w\", \"tasks\": 2}");
    for (const std::string &call :
         std::vector<std::string>{"apply " + cell, "submit " + job, "status t/k", "cancel t/k", "show"}) {
        const run_result run = runForErrors(call + options);
        INFO(call);
        CHECK(run.status == 1);
        CHECK(run.output.find("no daemon could be reached") != std::string::npos);
        CHECK(run.output.find("a-secret") == std::string::npos);
    }
    const run_result submitted = runForErrors("submit " + job + options);
    CHECK(submitted.output.substr(0, 13) == "submitting t/");
}
