// Stand-in for a worker, as PROTOCOL.md describes it: keeps runs under a lease on its own clock, lists ends until they
// are acknowledged, refuses lower fences and runs that were stopped or have ended there.
#pragma once

#include "http.h"
#include "store.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace review {

/// One execution of a task, as the worker saw it.
struct execution {
    std::string worker;
    std::string label;
    long long born = 0;
    std::string task;
    long long run = 0;
    long long startedAt = 0; ///< Milliseconds of nowMs().
    long long endedAt = -1;
    std::string how; ///< Empty while it runs; "lost" if the worker crashed.
    bool noted = false; ///< `lastSeen` has reached the end.
};

/// All executions on all workers.
struct execution_log {
    std::mutex mutex;
    std::vector<execution> entries;
};

struct worker_options {
    std::string id;
    std::string service;
    std::string label;
    long long cpu = 4000;
    long long memMb = 8192;
    int advertisedPort = 0; ///< Port in the entry, if it is not that of the worker itself.
};

class worker
{
public:
    worker(worker_options options, store &entries, execution_log &log);

    /// Starts to serve and to write its entry.
    void start();

    /// Milliseconds of work of a task; 1000 if not set.
    std::function<long long(const std::string &task)> workOf;

    /// If set, decides whether a start is left unanswered and carried out later: the milliseconds, or -1.
    std::function<long long(const std::string &task, long long run)> delayStart;

    /// If set, is called for each poll when it arrives. The worker is locked.
    std::function<void()> onPoll;

    /// If set, is called for each poll just before its answer is sent; true cuts the worker off after the answer.
    std::function<bool()> cutAfterPoll;

    /// Cuts the worker off from all daemons, silently, or ends the cut. A request that was sent meanwhile arrives with
    /// the first retransmission after the cut, as TCP makes them: 0.2, 0.6, 1.4 and 3 s after it was sent. It is lost
    /// if its sender has closed the connection by then. If the worker has crashed since the connection was opened, the
    /// connection is reset then.
    void cut(bool on);

    /// Crashes: sends nothing, and is silent for good on all connections from before. All runs are lost.
    void crash();

    /// Starts again under its id with the label, with a new birth. Writes its entry at once.
    void restart(const std::string &label);

    int port() const
    {
        return m_port;
    }

    const std::string &id() const
    {
        return m_options.id;
    }

private:
    struct live_run {
        long long run = 0;
        long long startedAt = 0; ///< Milliseconds of nowMs().
        long long endsAt = 0;
        std::size_t entry = 0; ///< Index in the log.
    };
    struct listed_end {
        long long number = 0;
        std::string task;
        long long run = 0;
        std::string how;
        std::size_t entry = 0;
    };

    http_outcome handle(const http_channel &channel, const http_message &request, http_message &response);
    void handleStart(const std::string &body, http_message &response);
    void handleStop(const std::string &body, http_message &response);
    void handleHold(std::unique_lock<std::mutex> &lock, const std::string &body, http_message &response);
    bool isFenced(long long fence, http_message &response);
    void endRun(const std::string &task, const std::string &how);
    void advance();
    long long clock() const;
    void writeEntry();

    worker_options m_options;
    store &m_entries;
    execution_log &m_log;
    int m_port = 0;

    std::mutex m_mutex;
    std::condition_variable m_ended;
    bool m_cut = false;
    bool m_up = true;
    long long m_bornAt = 0; ///< Milliseconds of nowMs().
    long long m_born = 0; ///< Unix milliseconds.
    long long m_seq = 0;
    long long m_fence = 0;
    long long m_deadline = 0; ///< On its clock.
    long long m_lastEnd = 0;
    std::map<std::string, live_run> m_runs;
    std::map<std::string, long long> m_over; ///< Highest run that was stopped or has ended, for each task.
    std::vector<listed_end> m_ends;
};

} // namespace review
