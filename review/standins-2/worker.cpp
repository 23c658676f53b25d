#include "worker.h"

#include "fields.h"
#include "record.h"

#include <rapidjson/document.h>

#include <algorithm>
#include <chrono>
#include <thread>

namespace review {

namespace {

constexpr long long heartbeat = 1500;
constexpr long long longestLease = 6000;
constexpr std::size_t maxListedEnds = 500;

long long unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

rapidjson::Document parse(const std::string &body)
{
    rapidjson::Document document;
    document.Parse(body.c_str(), body.size());
    return document;
}

long long number(const rapidjson::Document &document, const char *name)
{
    return document.HasMember(name) ? memberOf(document, name).GetInt64() : 0;
}

} // namespace

worker::worker(worker_options options, store &entries, execution_log &log)
    : m_options(std::move(options))
    , m_entries(entries)
    , m_log(log)
{
}

void worker::start()
{
    m_bornAt = nowMs();
    m_born = unixMs();
    m_port = serveHttp([this](const http_channel &channel, const http_message &request, http_message &response) {
        return handle(channel, request, response);
    });
    std::thread([this] {
        while (true) {
            {
                const std::lock_guard lock(m_mutex);
                if (m_up) {
                    writeEntry();
                }
            }
            sleepMs(heartbeat);
        }
    }).detach();
    std::thread([this] {
        while (true) {
            sleepMs(2);
            const std::lock_guard lock(m_mutex);
            advance();
        }
    }).detach();
}

long long worker::clock() const
{
    return nowMs() - m_bornAt + 1000;
}

void worker::writeEntry()
{
    m_entries.put("servers/" + m_options.id,
                  "{\"service\":\"" + m_options.service + "\",\"address\":\"127.0.0.1:"
                      + std::to_string(m_options.advertisedPort > 0 ? m_options.advertisedPort : m_port)
                      + "\",\"zone\":\"metsovo\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,"
                      + "\"capacity\":{\"cpu\":" + std::to_string(m_options.cpu)
                      + ",\"memMb\":" + std::to_string(m_options.memMb) + ",\"gpu\":0},\"labels\":[\"" + m_options.label
                      + "\",\"r1-1\"],\"born\":" + std::to_string(m_born) + ",\"clockMs\":" + std::to_string(clock())
                      + ",\"seq\":" + std::to_string(++m_seq) + "}");
}

void worker::endRun(const std::string &task, const std::string &how)
{
    const auto found = m_runs.find(task);
    const live_run ended = found->second;
    m_runs.erase(found);
    m_over[task] = std::max(m_over[task], ended.run);
    m_ends.push_back({++m_lastEnd, task, ended.run, how, ended.entry});
    {
        const std::lock_guard lock(m_log.mutex);
        m_log.entries[ended.entry].endedAt = nowMs();
        m_log.entries[ended.entry].how = how;
    }
    record("worker " + m_options.id + " ended task=" + task + " run=" + std::to_string(ended.run) + " how=" + how);
    m_ended.notify_all();
}

void worker::advance()
{
    if (!m_up) {
        return;
    }
    std::vector<std::string> done;
    const bool lapsed = clock() > m_deadline;
    for (const auto &[task, run] : m_runs) {
        if (lapsed || nowMs() >= run.endsAt) {
            done.push_back(task);
        }
    }
    for (const std::string &task : done) {
        endRun(task, lapsed ? "lapsed" : "done");
    }
}

bool worker::isFenced(long long fence, http_message &response)
{
    if (fence < m_fence) {
        response.status = 409;
        response.body = "{\"clockMs\":" + std::to_string(clock()) + ",\"reason\":\"fence\"}";
        return true;
    }
    m_fence = fence;
    return false;
}

void worker::handleStart(const std::string &body, http_message &response)
{
    const rapidjson::Document order = parse(body);
    const std::string task = memberOf(order, "task").GetString();
    const long long run = memberOf(order, "run").GetInt64();
    const auto refuse = [&](const char *reason) {
        response.status = 409;
        response.body = "{\"clockMs\":" + std::to_string(clock()) + ",\"reason\":\"" + reason + "\"}";
        record("worker " + m_options.id + " refused_start task=" + task + " run=" + std::to_string(run)
               + " reason=" + reason);
    };
    response.body = "{\"clockMs\":" + std::to_string(clock()) + "}";
    if (isFenced(number(order, "fencingToken"), response)) {
        record("worker " + m_options.id + " refused_start task=" + task + " reason=fence");
        return;
    }
    const auto present = m_runs.find(task);
    if (present != m_runs.end() && present->second.run == run) {
        return;
    }
    if (number(order, "deadlineMs") <= clock()) {
        refuse("late");
        return;
    }
    m_deadline = std::max(m_deadline, std::min(number(order, "deadlineMs"), clock() + longestLease));
    const auto over = m_over.find(task);
    if (present != m_runs.end() || (over != m_over.end() && run <= over->second)) {
        refuse("old");
        return;
    }
    const long long work = workOf ? workOf(task) : 1000;
    {
        const std::lock_guard lock(m_log.mutex);
        m_log.entries.push_back({m_options.id, m_options.label, m_born, task, run, nowMs(), -1, "", false});
        m_runs[task] = {run, nowMs(), nowMs() + work, m_log.entries.size() - 1};
    }
    record("worker " + m_options.id + " started task=" + task + " run=" + std::to_string(run)
           + " fence=" + std::to_string(number(order, "fencingToken")) + " label=" + m_options.label
           + " born=" + std::to_string(m_born));
}

void worker::handleStop(const std::string &body, http_message &response)
{
    const rapidjson::Document order = parse(body);
    const std::string task = memberOf(order, "task").GetString();
    const long long run = memberOf(order, "run").GetInt64();
    response.body = "{\"clockMs\":" + std::to_string(clock()) + "}";
    if (isFenced(number(order, "fencingToken"), response)) {
        return;
    }
    record("worker " + m_options.id + " stop task=" + task + " run=" + std::to_string(run));
    const auto present = m_runs.find(task);
    if (present != m_runs.end() && present->second.run <= run) {
        endRun(task, "stopped");
    }
    m_over[task] = std::max(m_over[task], run);
}

void worker::handleHold(std::unique_lock<std::mutex> &lock, const std::string &body, http_message &response)
{
    const rapidjson::Document order = parse(body);
    if (isFenced(number(order, "fencingToken"), response)) {
        return;
    }
    const long long seen = number(order, "lastSeen");
    for (const listed_end &end : m_ends) {
        if (end.number <= seen) {
            const std::lock_guard logLock(m_log.mutex);
            m_log.entries[end.entry].noted = true;
            record("worker " + m_options.id + " forgets end " + std::to_string(end.number) + " of task=" + end.task
                   + " run=" + std::to_string(end.run) + " lastSeen=" + std::to_string(seen));
        }
    }
    std::erase_if(m_ends, [seen](const listed_end &end) { return end.number <= seen; });
    if (order.HasMember("deadlineMs")) {
        m_deadline = std::max(m_deadline, std::min(number(order, "deadlineMs"), clock() + longestLease));
    }
    const long long born = m_born;
    const auto until = std::chrono::steady_clock::now()
        + std::chrono::milliseconds(std::min<long long>(number(order, "waitMs"), 2000));
    m_ended.wait_until(lock, until, [&] { return !m_ends.empty() || m_born != born || m_cut; });
    std::string running;
    for (const auto &[task, run] : m_runs) {
        const long long percent = 100 * (nowMs() - run.startedAt) / std::max(run.endsAt - run.startedAt, 1LL);
        running += (running.empty() ? "[\"" : ",[\"") + task + "\"," + std::to_string(run.run) + ",\"\","
            + std::to_string(std::min(percent, 100LL)) + ",0]";
    }
    std::string ended;
    for (std::size_t i = 0; i < std::min(m_ends.size(), maxListedEnds); ++i) {
        const listed_end &end = m_ends[i];
        ended += (ended.empty() ? "" : ",")
            + ("[" + std::to_string(end.number) + ",\"" + end.task + "\"," + std::to_string(end.run) + ",\"" + end.how
               + "\",\"\"]");
    }
    response.body = "{\"clockMs\":" + std::to_string(clock()) + ",\"born\":" + std::to_string(m_born) + ",\"running\":["
        + running + "],\"ended\":[" + ended + "]}";
}

http_outcome worker::handle(const http_channel &channel, const http_message &request, http_message &response)
{
    std::unique_lock lock(m_mutex);
    if (m_cut || !m_up) {
        const long long sentAt = nowMs();
        for (const long long pause : {200, 600, 1400, 3000, 6200}) {
            lock.unlock();
            sleepMs(sentAt + pause - nowMs());
            lock.lock();
            if (!m_cut && m_up) {
                break;
            }
        }
        if (m_cut || !m_up || isClosedByPeer(channel)) {
            return http_outcome::Silent;
        }
        if (channel.openedAt < m_bornAt) {
            record("worker " + m_options.id + " resets a connection from before its start: " + request.path);
            return http_outcome::Reset;
        }
    }
    if (channel.openedAt < m_bornAt) {
        return http_outcome::Reset;
    }
    const auto instance = request.headers.find("sesamespar-expect-instance");
    if (instance != request.headers.end() && instance->second != m_options.id) {
        response.status = 421;
        response.body = "{}";
        return http_outcome::Answered;
    }
    if (request.path == "/sesamespar/run-start") {
        const rapidjson::Document order = parse(request.body);
        const long long late =
            delayStart ? delayStart(memberOf(order, "task").GetString(), memberOf(order, "run").GetInt64()) : -1;
        if (late >= 0) {
            record("worker " + m_options.id + " leaves_unanswered start task=" + memberOf(order, "task").GetString()
                   + " run=" + std::to_string(memberOf(order, "run").GetInt64()) + " late_ms=" + std::to_string(late));
            std::thread([this, body = request.body, late] {
                sleepMs(late);
                const std::lock_guard relock(m_mutex);
                http_message outcome;
                outcome.status = 200;
                record("worker " + m_options.id + " carries_out_late start");
                handleStart(body, outcome);
            }).detach();
            return http_outcome::Silent;
        }
        handleStart(request.body, response);
    } else if (request.path == "/sesamespar/run-stop") {
        handleStop(request.body, response);
    } else if (request.path == "/sesamespar/hold") {
        if (onPoll) {
            onPoll();
        }
        handleHold(lock, request.body, response);
        if (m_cut || !m_up || channel.openedAt < m_bornAt) {
            // The answer is lost: a crashed worker sends nothing, and neither does its machine on old connections.
            return http_outcome::Silent;
        }
        if (cutAfterPoll && cutAfterPoll()) {
            m_cut = true;
            record("worker " + m_options.id + " cut_off after the answer to a poll");
        }
    } else {
        response.status = request.path == "/health" ? 200 : 404;
        response.body = "{}";
    }
    return http_outcome::Answered;
}

void worker::cut(bool on)
{
    const std::lock_guard lock(m_mutex);
    m_cut = on;
    record("worker " + m_options.id + (on ? " cut_off" : " reachable_again"));
    m_ended.notify_all();
}

void worker::crash()
{
    const std::lock_guard lock(m_mutex);
    m_up = false;
    const std::lock_guard logLock(m_log.mutex);
    for (const auto &[task, run] : m_runs) {
        m_log.entries[run.entry].endedAt = nowMs();
        m_log.entries[run.entry].how = "lost";
    }
    m_runs.clear();
    m_over.clear();
    m_ends.clear();
    m_lastEnd = 0;
    m_fence = 0;
    m_deadline = 0;
    record("worker " + m_options.id + " crashed");
    m_ended.notify_all();
}

void worker::restart(const std::string &label)
{
    const std::lock_guard lock(m_mutex);
    m_options.label = label;
    m_bornAt = nowMs();
    m_born = unixMs();
    m_seq = 0;
    m_up = true;
    record("worker " + m_options.id + " started_again label=" + label + " born=" + std::to_string(m_born));
    writeEntry();
}

} // namespace review
