// Checks that the built command maps answers of daemons to the documented exit statuses, and that it prints how to
// repeat or query a request with an unknown outcome. Guards against scripts that repeat a booking under another key, or
// take an unknown outcome for a known one.
#include "connection/codec.h"
#include "run_command.h"
#include "scripted_server.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <vector>

using namespace sesamespar;

namespace {

std::string writeFile(const std::string &name, const std::string &text)
{
    std::string path = WORK_FOLDER "/command_outcomes_" + name;
    std::ofstream stream(path, std::ios::binary);
    stream << text;
    return path;
}

/// Runs the command against a server and returns its exit status, and stdout and stderr as one text.
run_result runAt(const scripted_server &server, const std::string &arguments)
{
    return runShell("env SESAMESPAR_SECRET=secret-of-callers SESAMESPAR_DAEMONS=" + server.address() + " " COMMAND " "
                    + arguments + " --limit 400ms 2>&1 </dev/null");
}

scripted_step makeAnswerStep(int status, answer_status meaning)
{
    job_answer answer;
    answer.status = meaning;
    answer.id = {team_id("desk"), idempotency_key("k1")};
    answer.reason = "scripted";
    return {status, encodeJobAnswer(answer)};
}

const std::string job = "team: desk\nwork: booking\nkey: k1\nexpires: 2030-01-01T00:00:00Z\n";

} // namespace

TEST_CASE("each answer about a job has its exit status")
{
    const std::vector<std::tuple<int, answer_status, int>> cases{{202, answer_status::Accepted, 0},
                                                                 {200, answer_status::Done, 0},
                                                                 {200, answer_status::Failed, 0},
                                                                 {200, answer_status::Cancelled, 0},
                                                                 {503, answer_status::Refused, 1},
                                                                 {409, answer_status::Conflict, 1},
                                                                 {410, answer_status::Expired, 1},
                                                                 {404, answer_status::NotFound, 1},
                                                                 {200, answer_status::Lost, 3},
                                                                 {504, answer_status::Unknown, 3}};
    const std::string submit = "submit " + writeFile("job.yaml", job);
    for (const auto &[status, meaning, exit] : cases) {
        const scripted_server server({makeAnswerStep(status, meaning)});
        const std::vector<std::string> calls{submit, "status desk/k1", "cancel desk/k1"};
        for (const std::string &call : calls) {
            const run_result run = runAt(server, call);
            INFO(call << ": " << run.output);
            CHECK(run.status == exit);
            CHECK(run.output.find("desk/k1: " + std::string(answerStatusName(meaning))) != std::string::npos);
        }
    }
}

TEST_CASE("an unknown outcome comes with the command that repeats the same request")
{
    const scripted_server server({{0, "", true}});
    const std::string file = writeFile("job.yaml", job);
    const run_result given = runAt(server, "submit " + file);
    CHECK(given.status == 3);
    CHECK(given.output.find("sesamespar submit " + file + " --key k1 --expires 2030-01-01T00:00:00.000Z")
          != std::string::npos);
    CHECK(given.output.find("sesamespar status desk/k1") != std::string::npos);

    const std::string open = writeFile("open.yaml", "team: desk\nwork: booking\n");
    const run_result generated = runAt(server, "submit " + open);
    CHECK(generated.status == 3);
    const std::string announced = "submitting desk/";
    REQUIRE(generated.output.substr(0, announced.size()) == announced);
    const std::string key = generated.output.substr(announced.size(), 32);
    CHECK(generated.output.find(" --key " + key + " --expires 2") != std::string::npos);
}

TEST_CASE("each answer to a change has its exit status")
{
    const std::vector<std::tuple<scripted_step, int, std::string>> cases{
        {{200, "{\"version\":3}"}, 0, "version 3 is in force\n"},
        {{400, "{\"findings\":[{\"line\":2,\"column\":3,\"field\":\"f\",\"problem\":\"p\",\"allowed\":\"a\"}]}"},
         2,
         ":2:3: f: p, a\n"},
        {{409, "{\"error\":\"lost\",\"version\":4}"}, 1, "version 4 is in force"},
        {{503, "{\"error\":\"no store\"}"}, 1, "not applied: no store\n"},
        {{401, "{\"error\":\"x\"}"}, 1, "not applied: the daemon does not accept the secret\n"},
        {{504, "{\"error\":\"no answer\"}"}, 3, "sesamespar show"}};
    const std::string file = writeFile("cell.yaml", "cell: c\ndata_centres: [d]\n");
    for (const auto &[step, exit, message] : cases) {
        const scripted_server server({step});
        const run_result run = runAt(server, "apply " + file);
        INFO(run.output);
        CHECK(run.status == exit);
        CHECK(run.output.find(message) != std::string::npos);
    }
}

TEST_CASE("responses of daemons are printed as a table or unchanged")
{
    const std::string nodes = "{\"leader\":true,\"workers\":[{\"name\":\"w1\",\"tasks\":3},{\"name\":\"worker-2\"}]}";
    const scripted_server server({{200, nodes}});
    CHECK(runAt(server, "nodes --output json").output == nodes + "\n");
    CHECK(runAt(server, "nodes").output == "leader: true\nworkers:\nname      tasks\nw1        3\nworker-2\n");

    const scripted_server text({{200, "a{kind=\"query\"} 1\nb 2\n"}});
    CHECK(runAt(text, "metrics").output == "a{kind=\"query\"} 1\nb 2\n");

    const scripted_server shown({{200, "{\"version\":7,\"text\":\"cell: c\\n\"}"}});
    CHECK(runAt(shown, "show").output == "version 7\ncell: c\n");
    CHECK(runAt(shown, "show --output json").output == "{\"version\":7,\"text\":\"cell: c\\n\"}\n");

    const scripted_server missing({{404, "{\"error\":\"no such VM\"}"}});
    const run_result drained = runAt(missing, "drain vm-1");
    CHECK(drained.status == 1);
    CHECK(drained.output == "sesamespar: no such VM\n");
    const scripted_server gone({{0, "", true}});
    CHECK(runAt(gone, "drain vm-1").status == 3);
}
