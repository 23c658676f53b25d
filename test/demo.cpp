// The demo: starts a complete cell as processes on this machine, runs work of all kinds, kills one daemon during the
// run, and checks that every request is answered. The only argument is the folder apps of the repository.
#include "harness/cell.h"
#include "harness/wait_until.h"
#include "version/configuration_parser.h"

#include <csignal>
#include <fstream>
#include <future>
#include <iostream>
#include <sstream>

namespace {

using namespace sesamespar;
using namespace sesamespar::harness;

/// Timeout of one request; a request takes a few seconds, even if a daemon is killed meanwhile.
constexpr milliseconds requestLimit{30000};

/// A request of the demo and the index of the daemon that receives it.
struct demo_request {
    std::size_t daemon = 0;
    submit_request request;
};

std::string readFile(const std::string &path)
{
    std::ifstream stream(path);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

/// Applies the configuration with the command sesamespar, as an operator does, and prints its output.
bool applyByCommand(const cell &running, const std::string &file)
{
    const std::string secretFile = (running.folder / "operator.secret").string();
    std::ofstream(secretFile) << running.daemons.front().settings.operatorSecret << '\n';
    auto started =
        startProgram("sesamespar",
                     {"apply", file, "--daemon", running.daemons.front().http.value, "--secret-file", secretFile},
                     (running.folder / "apply.log").string());
    if (!started) {
        return false;
    }
    std::cout << "sesamespar apply " << file << ": " << started.value().readAll(requestLimit);
    return started.value().wait(requestLimit) == 0;
}

std::vector<demo_request> makeRequests(const cell &running)
{
    std::vector<demo_request> all;
    const auto add = [&](const char *team, const char *work, std::uint32_t tasks, const std::string &payload) {
        demo_request single{all.size() % running.daemons.size(), makeRequest(team, work, work, payload)};
        single.request.job.tasks = tasks;
        all.push_back(std::move(single));
    };
    for (int round = 0; round < 6; ++round) {
        add("ice-house", "tour-manifest", 4, "run_ms=1500 result=manifest-" + std::to_string(round));
        add("booking-desk", "availability", 1, "run_ms=100 result=free");
        add("booking-desk", "group-booking", 1, "run_ms=300 result=booked");
        add("merged-desks", "merged-availability", 1, "run_ms=100 result=free");
        add("pricing", "price-quotes", 8, "run_ms=800 result=quoted");
        add("pricing", "season-plan", 0, "run_ms=700 result=planned");
    }
    return all;
}

std::string describe(const job_answer &answer)
{
    std::ostringstream text;
    text << answer.id << ' ' << answerStatusName(answer.status);
    std::map<worker_id, int> places;
    for (const task_record &task : answer.tasks) {
        ++places[task.worker];
    }
    for (const auto &[worker, count] : places) {
        text << ' ' << worker << 'x' << count;
    }
    if (!answer.reason.empty()) {
        text << " (" << answer.reason << ')';
    }
    return text.str();
}

/// Returns the number of running service tasks.
std::size_t runningServices(const cell &running)
{
    const auto report = fetchExecutionReport(running);
    std::size_t count = 0;
    if (!report) {
        return 0;
    }
    for (const auto &[id, starts] : report.value().starts) {
        for (const recorded_start &start : starts) {
            count += id.key.value.starts_with("service:") && start.ended.value == 0 ? 1 : 0;
        }
    }
    return count;
}

/// Submits all requests at once, kills one daemon while they run, and returns the number of jobs that are done.
std::size_t runRequests(cell &running, const std::vector<demo_request> &requests)
{
    std::vector<std::future<job_answer>> answers;
    answers.reserve(requests.size());
    for (const demo_request &single : requests) {
        answers.push_back(std::async(std::launch::async, [&running, &single] {
            return submitUntilFinal(running, single.daemon, single.request, requestLimit);
        }));
    }
    waitUntil(milliseconds(1000), [] { return false; });
    std::cout << "SIGKILL to " << running.daemons.front().settings.name << std::endl;
    running.daemons.front().process.signal(SIGKILL);
    std::size_t done = 0;
    for (std::future<job_answer> &pending : answers) {
        const job_answer answer = pending.get();
        std::cout << describe(answer) << '\n';
        done += answer.status == answer_status::Done ? 1 : 0;
    }
    return done;
}

int runDemo(const std::string &apps)
{
    cell_shape shape;
    auto started = startCell(shape);
    if (!started) {
        std::cerr << started.error().message << '\n';
        return 1;
    }
    cell &running = *started.value();
    const std::string file = apps + "/paguri/cell.yaml";
    if (!applyByCommand(running, file)) {
        std::cerr << "the configuration was not applied; logs are in " << running.folder << '\n';
        return 1;
    }
    running.settings = parseConfiguration(readFile(file), file, config_version(1)).settings;
    const std::vector<demo_request> requests = makeRequests(running);
    const std::size_t done = runRequests(running, requests);
    constexpr std::size_t replicas = 6;
    const bool served = waitUntil(requestLimit, [&] { return runningServices(running) >= replicas; });
    const std::vector<std::string> violations = invariantViolations(running);
    for (const std::string &violation : violations) {
        std::cout << "invariant violation: " << violation << '\n';
    }
    std::cout << "demo: " << done << " of " << requests.size() << " jobs done, " << runningServices(running)
              << " service tasks running, " << shape.workers << " workers, 6 of 7 daemons left, " << violations.size()
              << " invariant violations" << std::endl;
    return done == requests.size() && served && violations.empty() ? 0 : 1;
}

} // namespace

int main(int count, const char **arguments)
{
    if (count != 2) {
        std::cerr << "usage: demo APPS_FOLDER\n";
        return 2;
    }
    return runDemo(arguments[1]);
}
