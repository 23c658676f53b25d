// Stand-in of one worker, as PROTOCOL describes it: registers in the store, runs tasks under a lease, lists their ends.
#pragma once

#include "record.h"
#include "store.h"

#include <vector>

namespace review {

/// What one life of a worker is.
struct worker_kind {
    std::string id;
    std::string service;
    std::string zone;
    std::vector<std::string> labels;
    int millicores = 16000;
    int memoryMb = 32768;
};

/// A task that a worker has begun on an order.
struct task_start {
    record_time at = 0;
    std::string worker;
    std::vector<std::string> labels; ///< Of the life of the worker.
    std::string task;
    std::uint64_t run = 0;
    std::string spec;
    record_time end = 0; ///< 0 while the task runs.
    std::string how; ///< How it ended; "crashed" with its worker.
};

/// Time that a task works, from its payload.
using duration_of = std::function<int(const std::string &spec)>;

class worker;

/// Called after a start was executed and before it is answered.
using started_hook = std::function<void(worker &, const std::string &task)>;

class worker
{
public:
    worker(platform_store &store, event_record &record, worker_kind kind, duration_of duration);
    ~worker();
    worker(const worker &) = delete;
    worker &operator=(const worker &) = delete;

    /// Ends at once, with all that it runs; its entry stays in the store.
    void crash();
    /// Starts again under its id and at its address, as a new life that knows nothing of before.
    void startAgain(worker_kind kind);
    const worker_kind &kind() const
    {
        return m_kind;
    }
    bool isUp();
    /// Resets a share of the channels, first those with a start that is not answered yet.
    void resetChannels(double share);

    std::atomic<int> clockOffsetMs = 0; ///< Of the time of day of its machine, which `born` shows.
    std::atomic<bool> shedding = false; ///< Answers starts with 503 and does nothing for them.
    started_hook onStarted; ///< Set before the daemons start.
    std::vector<task_start> starts();

private:
    using clock = std::chrono::steady_clock;
    struct running_task {
        std::size_t start = 0; ///< Index in m_starts.
        std::uint64_t run = 0;
        clock::time_point begun;
        int durationMs = 0;
    };
    struct ended_task {
        std::uint64_t number = 0;
        std::string task;
        std::uint64_t run = 0;
        std::string how;
    };

    void startLife();
    void live();
    void registerInStore();
    std::int64_t clockMs() const;
    std::optional<http_message> handle(const http_message &request);
    http_message startTask(const std::string &body);
    http_message stopTask(const std::string &body);
    http_message hold(const std::string &body);
    void endTask(const std::string &task, const std::string &how);
    http_message refuse(const std::string &reason) const;
    void extendLease(std::int64_t deadline);

    platform_store &m_store;
    event_record &m_record;
    const duration_of m_duration;
    worker_kind m_kind;
    std::uint16_t m_port = 0;
    std::unique_ptr<http_server> m_server;
    std::thread m_thread;
    std::atomic<bool> m_up = false;
    std::mutex m_mutex;
    std::condition_variable m_ended;
    std::vector<task_start> m_starts;

    // State of the current life.
    std::int64_t m_born = 0;
    clock::time_point m_begun;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_fence = 0;
    std::int64_t m_leaseEnd = 0; ///< On the worker's clock.
    std::uint64_t m_nextEnd = 1;
    std::map<std::string, running_task> m_running;
    std::vector<ended_task> m_ends;
    std::map<std::string, std::uint64_t> m_refusedUpTo; ///< Highest run of each task that ended or was stopped here.
};

} // namespace review
