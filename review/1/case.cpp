// A worker's channels are reset after it has begun a task and before its answer is sent, and for a moment it sheds
// starts with 503. Counts the tasks of which two runs work at the same time.
#include "../cell.h"
#include "../worker.h"

#include <algorithm>
#include <cstdio>

using namespace review;

namespace {

constexpr int taskMs = 2000;
constexpr std::size_t daemonCount = 3;
constexpr std::size_t workerCount = 12;
constexpr std::chrono::milliseconds jobPeriod{200};
constexpr std::chrono::seconds traffic{60};
constexpr std::chrono::milliseconds troublePeriod{6000};
constexpr std::chrono::milliseconds sheddingTime{1000};
/// Largest share of connections that `reset_conns` of the site resets.
constexpr double resetShare = 0.55;
const std::string host = "desk.example";
const std::string prefix = "/bookings/";
const std::string service = "tourdesk";

std::string jobBody(std::uint64_t number)
{
    return R"({"spec":"job )" + std::to_string(number)
        + R"(","steps":[{"count":4,"cpu":1400,"memMb":2000,"estimateMs":2000}]})";
}

void submitJobs(event_record &record, cell &daemons, const std::atomic<bool> &finished)
{
    for (std::uint64_t number = 1; !finished; ++number) {
        const auto answer =
            callDaemon(daemons.daemons()[number % daemonCount], "POST", host, prefix + jobKey(number), jobBody(number));
        record.write("client submits " + jobKey(number) + ": " + std::to_string(answer.status));
        std::this_thread::sleep_for(jobPeriod);
    }
}

/// A run of a task at a worker, from its start to its end.
struct work_span {
    std::string worker;
    std::uint64_t run = 0;
    record_time from = 0;
    record_time to = 0;
};

/// Records each pair of runs of one task that worked at the same time. Returns the number of pairs.
std::size_t countOverlaps(event_record &record, const std::vector<std::unique_ptr<worker>> &workers)
{
    std::map<std::string, std::vector<work_span>> spans;
    for (const auto &each : workers) {
        for (const task_start &start : each->starts()) {
            spans[start.task].push_back({start.worker, start.run, start.at, start.end});
        }
    }
    std::size_t overlaps = 0;
    for (const auto &[task, runs] : spans) {
        for (std::size_t first = 0; first < runs.size(); ++first) {
            for (std::size_t second = first + 1; second < runs.size(); ++second) {
                const record_time from = std::max(runs[first].from, runs[second].from);
                const record_time to = std::min(runs[first].to, runs[second].to);
                if (from < to) {
                    ++overlaps;
                    record.write("BROKEN TWICE: " + task + " ran as run " + std::to_string(runs[first].run) + " on "
                                 + runs[first].worker + " and as run " + std::to_string(runs[second].run) + " on "
                                 + runs[second].worker + " from " + std::to_string(from) + " to " + std::to_string(to)
                                 + " ms");
                }
            }
        }
    }
    return overlaps;
}

int run(const std::string &folder, const std::string &recordPath)
{
    event_record record(recordPath);
    platform_store store(daemonCount);
    writeConfiguration(store, 1, {{"bookings", host, prefix, service}});
    std::atomic<bool> armed = false;
    std::vector<std::unique_ptr<worker>> workers;
    for (std::size_t number = 0; number < workerCount; ++number) {
        const worker_kind kind{
            "i-" + std::to_string(number), service, "metsovo", {"a", "r1-" + std::to_string(number / 8)}, 16000, 32768};
        workers.push_back(std::make_unique<worker>(store, record, kind, [](const std::string &) { return taskMs; }));
        workers.back()->onStarted = [&](worker &started, const std::string &) {
            if (armed.exchange(false)) {
                started.shedding = true;
                started.resetChannels(resetShare);
            }
        };
    }
    cell daemons(record, folder, store, daemonCount);
    if (!daemons.waitUntilReady(10000)) {
        record.write("the daemons are not ready");
        return 2;
    }
    std::atomic<bool> finished = false;
    std::thread client([&] { submitJobs(record, daemons, finished); });
    const auto until = std::chrono::steady_clock::now() + traffic;
    while (std::chrono::steady_clock::now() < until) {
        std::this_thread::sleep_for(troublePeriod - sheddingTime);
        armed = withTrouble();
        std::this_thread::sleep_for(sheddingTime);
        for (const auto &each : workers) {
            each->shedding = false;
        }
    }
    finished = true;
    client.join();
    std::this_thread::sleep_for(std::chrono::milliseconds(taskMs + 1000));
    std::size_t starts = 0;
    for (const auto &each : workers) {
        starts += each->starts().size();
    }
    const std::size_t overlaps = countOverlaps(record, workers);
    record.write(std::to_string(starts) + " starts, " + std::to_string(overlaps) + " pairs of runs at the same time");
    std::printf("%zu starts, %zu pairs of runs at the same time\n", starts, overlaps);
    return starts == 0 ? 2 : (overlaps > 0 ? 1 : 0);
}

} // namespace

int main(int count, char **arguments)
{
    return count == 3 ? run(arguments[1], arguments[2]) : 2;
}
