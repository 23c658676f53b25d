// The store goes down while it handles a transaction with new jobs: the transaction is executed, its channel is reset
// before the answer, and new calls get 503. Counts the jobs that run although all attempts to hand them in were
// rejected.
#include "../cell.h"
#include "../worker.h"

#include <cstdio>

using namespace review;

namespace {

constexpr int taskMs = 500;
constexpr int accepted = 200;
constexpr int tooMany = 429;
constexpr int unavailable = 503;
constexpr std::size_t daemonCount = 3;
constexpr std::size_t workerCount = 12;
constexpr std::size_t clients = 6;
constexpr std::chrono::milliseconds jobPeriod{150};
constexpr std::chrono::seconds traffic{60};
constexpr std::chrono::milliseconds troublePeriod{8000};
constexpr std::chrono::milliseconds downTime{2000};
/// Largest share of connections that `reset_conns` of the site resets.
constexpr double resetShare = 0.55;
const std::string host = "desk.example";
const std::string prefix = "/bookings/";
const std::string service = "tourdesk";

std::string jobBody(std::uint64_t number)
{
    return R"({"spec":"job )" + std::to_string(number)
        + R"(","steps":[{"count":2,"cpu":1400,"memMb":2000,"estimateMs":500}]})";
}

/// What a client was told about one job.
struct submission {
    record_time at = 0;
    std::vector<int> answers; ///< Status of each attempt; 0 for none.
};

struct submissions {
    std::mutex mutex;
    std::map<std::string, submission> jobs;
};

/// Submits jobs. An attempt without an answer or with 504 is repeated; 429 and 503 are taken at their word.
void submitJobs(
    event_record &record, cell &daemons, std::size_t client, submissions &told, const std::atomic<bool> &finished)
{
    constexpr int attempts = 4;
    for (std::uint64_t number = client + 1; !finished; number += clients) {
        const std::string key = jobKey(number);
        submission sent;
        sent.at = record.now();
        for (int attempt = 0; attempt < attempts; ++attempt) {
            const auto answer = callDaemon(
                daemons.daemons()[(client + attempt) % daemonCount], "POST", host, prefix + key, jobBody(number));
            record.write("client submits " + key + ": " + std::to_string(answer.status));
            sent.answers.push_back(answer.status);
            if (answer.status == accepted || answer.status == tooMany || answer.status == unavailable) {
                break;
            }
        }
        {
            const std::lock_guard lock(told.mutex);
            told.jobs[key] = sent;
        }
        std::this_thread::sleep_for(jobPeriod);
    }
}

bool wasRejected(const submission &sent)
{
    for (const int answer : sent.answers) {
        if (answer != tooMany && answer != unavailable) {
            return false;
        }
    }
    return !sent.answers.empty();
}

int run(const std::string &folder, const std::string &recordPath)
{
    event_record record(recordPath);
    platform_store store(daemonCount);
    writeConfiguration(store, 1, {{"bookings", host, prefix, service}});
    std::atomic<bool> armed = false;
    store.onExecuted = [&](std::size_t entrance, const http_message &request) {
        const bool storesJobs = request.path == "/sesamespar/kv-txn"
            && request.body.find(R"("puts":[{"key":"jobs/)") != std::string::npos
            && request.body.find("/cancel") == std::string::npos;
        if (storesJobs && armed.exchange(false)) {
            store.behaviour.busy = true;
            store.resetChannels(entrance, resetShare, request.path);
            record.write("the store is down: resets channels of " + std::to_string(entrance) + ", answers 503");
        }
    };
    std::vector<std::unique_ptr<worker>> workers;
    for (std::size_t number = 0; number < workerCount; ++number) {
        const worker_kind kind{
            "i-" + std::to_string(number), service, "metsovo", {"a", "r1-" + std::to_string(number / 8)}, 16000, 32768};
        workers.push_back(std::make_unique<worker>(store, record, kind, [](const std::string &) { return taskMs; }));
    }
    cell daemons(record, folder, store, daemonCount);
    if (!daemons.waitUntilReady(10000)) {
        record.write("the daemons are not ready");
        return 2;
    }
    std::atomic<bool> finished = false;
    submissions told;
    std::vector<std::thread> callers;
    for (std::size_t client = 0; client < clients; ++client) {
        callers.emplace_back([&, client] { submitJobs(record, daemons, client, told, finished); });
    }
    const auto until = std::chrono::steady_clock::now() + traffic;
    while (std::chrono::steady_clock::now() < until) {
        std::this_thread::sleep_for(troublePeriod - downTime);
        armed = withTrouble();
        std::this_thread::sleep_for(downTime);
        armed = false;
        store.behaviour.busy = false;
        record.write("the store answers");
    }
    finished = true;
    for (std::thread &caller : callers) {
        caller.join();
    }
    std::this_thread::sleep_for(std::chrono::seconds(4));
    std::map<std::string, std::size_t> starts;
    for (const auto &each : workers) {
        for (const task_start &start : each->starts()) {
            ++starts[start.task.substr(0, start.task.find('.'))];
        }
    }
    std::size_t rejected = 0;
    std::size_t wrong = 0;
    for (const auto &[key, sent] : told.jobs) {
        if (wasRejected(sent)) {
            ++rejected;
            if (starts.contains(key)) {
                ++wrong;
                record.write("BROKEN REFUSED: " + key + ", submitted at " + std::to_string(sent.at)
                             + " ms and answered only with " + std::to_string(sent.answers.front()) + ", was started "
                             + std::to_string(starts.at(key)) + " times");
            }
        }
    }
    record.write(std::to_string(told.jobs.size()) + " jobs, " + std::to_string(rejected) + " rejected, "
                 + std::to_string(wrong) + " of these started");
    std::printf("%zu jobs, %zu rejected, %zu of these started\n", told.jobs.size(), rejected, wrong);
    return starts.empty() ? 2 : (wrong > 0 ? 1 : 0);
}

} // namespace

int main(int count, char **arguments)
{
    return count == 3 ? run(arguments[1], arguments[2]) : 2;
}
