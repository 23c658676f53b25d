// Workers as PROTOCOL.md describes them ("Running tasks"), and what can be seen at them.
#pragma once

#include "http3.h"
#include "store3.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <vector>

std::int64_t steadyMs();

/// Writes what was sent, answered and run, with milliseconds since the start.
class record3
{
public:
    explicit record3(const std::string &path);
    void line(const std::string &text);

private:
    std::mutex mutex;
    std::ofstream stream;
    std::int64_t startedAt;
};

struct step3 {
    int count = 1;
    int cpu = 1000;
    int memMb = 500;
    std::vector<int> after;
    bool checkpointing = false;
    int workMs = 500;
};

/// A job as its requester knows it.
struct job3 {
    std::string id;
    std::string spec;
    std::vector<step3> steps;
    bool acknowledged = false;
    bool mayRun = false; ///< Some attempt had neither a 429, 503 nor 404.
    std::int64_t noStartAfter = 0; ///< 0 unless its cancelling was acknowledged.
    std::string state;
};

struct end_row3 {
    std::uint64_t number = 0;
    std::string task;
    std::uint64_t run = 0;
    std::string how;
    std::string saved;
    std::int64_t endedAt = 0;
};

struct run3 {
    std::uint64_t run = 0;
    std::int64_t beganAt = 0;
    std::int64_t workMs = 0;
    std::int64_t savedMs = 0; ///< Work done before this run, from its checkpoint.
    std::int64_t stopAt = 0; ///< 0 unless it is being stopped.
};

struct worker3 {
    std::string id;
    std::string rack;
    int cpu = 16000;
    int memMb = 32768;
    std::unique_ptr<http_server3> server;
    bool up = false;
    bool listed = false;
    std::int64_t born = 0;
    std::int64_t startedAt = 0;
    std::int64_t nextBeat = 0;
    std::uint64_t seq = 0;
    std::uint64_t fence = 0;
    std::int64_t deadline = 0;
    std::int64_t lapsedAt = 0; ///< When the lease was last seen to have lapsed.
    std::uint64_t lastEnd = 0;
    std::map<std::string, run3> runs;
    std::vector<end_row3> ends;
    std::map<std::string, std::uint64_t> closedRuns; ///< Highest run that was stopped or ended here, by task.
    // Troubles.
    double startsUnanswered = 0; ///< Share of the starts that are carried out and get no answer.
    double startsLate = 0; ///< Share of the orders that get no answer and are carried out 2 to 6 s later.
    double holdsUnanswered = 0;
    /// A start that arrives early in a waiting hold gets no answer; a crash follows the next look that lists its run.
    bool crashAfterLook = false;
    std::int64_t holdSince = 0; ///< When the last hold with a wait arrived.
    std::string watchedTask;
    std::int64_t crashAt = 0;
    std::int64_t restartAt = 0;
};

class worker_fleet3
{
public:
    worker_fleet3(platform_store3 &store, record3 &record, int count, std::uint64_t seed);
    ~worker_fleet3();

    void addJob(const job3 &job);
    void allowJob(const std::string &id);
    /// The cancelling of the job was acknowledged now: no task of it may start later than the bound from now.
    void cancelled(const std::string &id, int boundMs);
    std::vector<std::string> violations();
    /// Applies a trouble, or reads, with the fleet locked.
    void with(const std::function<void(std::vector<std::unique_ptr<worker3>> &)> &use);
    void crash(worker3 &worker, int downMs);
    /// Tasks of the job that have ended `done`.
    std::set<std::string> doneTasks(const std::string &job);
    bool runsSomething(const std::string &job);
    /// True if half of the capacity of the workers is free and two workers have room for the step.
    bool hasRoomTwice(const step3 &step);

private:
    std::optional<http_reply3> handle(worker3 &worker, const http_request3 &request);
    std::optional<http_reply3> start(worker3 &worker, const std::string &body, bool late);
    void tick();
    void bear(worker3 &worker);
    void beat(worker3 &worker);
    void endRun(worker3 &worker, const std::string &task, const char *how);
    void noteEnds(worker3 &worker, std::uint64_t seen);
    void violate(const std::string &text);
    std::int64_t clockOf(const worker3 &worker) const;
    std::string clockField(const worker3 &worker) const;

    platform_store3 &store;
    record3 &record;
    std::mutex mutex;
    std::condition_variable ended;
    std::mt19937_64 random;
    std::vector<std::unique_ptr<worker3>> workers;
    std::map<std::string, job3> jobs;
    struct task_history {
        std::int64_t doneAt = 0;
        bool doneNoted = false;
        std::int64_t lastStart = 0;
    };
    std::map<std::string, task_history> history;
    struct late_call {
        std::int64_t at = 0;
        worker3 *worker = nullptr;
        std::int64_t born = 0;
        std::string path;
        std::string body;
    };
    std::vector<late_call> late;
    std::vector<std::string> found;
    bool finished = false;
};
