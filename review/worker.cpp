#include "worker.h"

#include "json.h"

#include <algorithm>

namespace review {

namespace {

constexpr int ok = 200;
constexpr int badRequest = 400;
constexpr int notFound = 404;
constexpr int conflict = 409;
constexpr int misdirected = 421;
constexpr int unavailable = 503;
const std::string startPath = "/sesamespar/run-start";
constexpr std::int64_t longestLeaseMs = 6000;
constexpr std::chrono::milliseconds heartbeat{1500};
constexpr std::chrono::milliseconds tick{5};
constexpr std::uint64_t longestWaitMs = 2000;

} // namespace

worker::worker(platform_store &store, event_record &record, worker_kind kind, duration_of duration)
    : m_store(store)
    , m_record(record)
    , m_duration(std::move(duration))
    , m_kind(std::move(kind))
{
    startLife();
}

worker::~worker()
{
    if (m_up) {
        crash();
    }
}

void worker::startLife()
{
    {
        const std::lock_guard lock(m_mutex);
        m_born = unixMilliseconds() + clockOffsetMs;
        m_begun = clock::now();
        m_sequence = 0;
        m_fence = 0;
        m_leaseEnd = 0;
        m_nextEnd = 1;
        m_running.clear();
        m_ends.clear();
        m_refusedUpTo.clear();
    }
    m_server = std::make_unique<http_server>(m_port, [this](const http_message &request) { return handle(request); });
    m_port = m_server->port();
    m_up = true;
    registerInStore();
    m_thread = std::thread([this] { live(); });
}

void worker::crash()
{
    {
        const std::lock_guard lock(m_mutex);
        m_up = false;
    }
    m_ended.notify_all();
    m_server->stop();
    m_thread.join();
    for (const auto &[task, state] : m_running) {
        m_starts[state.start].end = m_record.now();
        m_starts[state.start].how = "crashed";
    }
    m_record.write("worker " + m_kind.id + " crashes");
}

void worker::startAgain(worker_kind kind)
{
    m_kind = std::move(kind);
    std::string labels;
    for (const std::string &label : m_kind.labels) {
        labels += " " + label;
    }
    m_record.write("worker " + m_kind.id + " starts again: labels" + labels + ", " + std::to_string(m_kind.millicores)
                   + " millicores, time of day " + std::to_string(clockOffsetMs) + " ms off");
    startLife();
}

bool worker::isUp()
{
    return m_up;
}

void worker::resetChannels(double share)
{
    m_record.write("worker " + m_kind.id + " has channels reset");
    m_server->resetConnections(share, startPath);
}

std::vector<task_start> worker::starts()
{
    const std::lock_guard lock(m_mutex);
    return m_starts;
}

std::int64_t worker::clockMs() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - m_begun).count();
}

void worker::registerInStore()
{
    std::string labels;
    for (const std::string &label : m_kind.labels) {
        labels += (labels.empty() ? "" : ",") + quoteJson(label);
    }
    m_store.put("servers/" + m_kind.id,
                R"({"service":")" + m_kind.service + R"(","address":")" + m_server->address() + R"(","zone":")"
                    + m_kind.zone + R"(","version":"v1","slots":8,"state":"ready","coldLeftMs":0,"capacity":{"cpu":)"
                    + std::to_string(m_kind.millicores) + R"(,"memMb":)" + std::to_string(m_kind.memoryMb)
                    + R"(,"gpu":0},"labels":[)" + labels + R"(],"clockMs":)" + std::to_string(clockMs()) + R"(,"born":)"
                    + std::to_string(m_born) + R"(,"seq":)" + std::to_string(++m_sequence) + "}");
}

/// Ends tasks that are done or whose lease has expired, and writes the entry at each heartbeat.
void worker::live()
{
    auto nextBeat = clock::now() + heartbeat;
    while (m_up) {
        std::this_thread::sleep_for(tick);
        if (clock::now() >= nextBeat) {
            nextBeat += heartbeat;
            registerInStore();
        }
        const std::lock_guard lock(m_mutex);
        std::vector<std::pair<std::string, std::string>> ended;
        for (const auto &[task, state] : m_running) {
            if (clock::now() >= state.begun + std::chrono::milliseconds(state.durationMs)) {
                ended.emplace_back(task, "done");
            } else if (clockMs() >= m_leaseEnd) {
                ended.emplace_back(task, "lapsed");
            }
        }
        for (const auto &[task, how] : ended) {
            endTask(task, how);
        }
    }
}

void worker::endTask(const std::string &task, const std::string &how)
{
    const auto found = m_running.find(task);
    m_ends.push_back({m_nextEnd++, task, found->second.run, how});
    m_refusedUpTo[task] = std::max(m_refusedUpTo[task], found->second.run);
    m_starts[found->second.start].end = m_record.now();
    m_starts[found->second.start].how = how;
    m_record.write("worker " + m_kind.id + " ends " + task + " run " + std::to_string(found->second.run) + " " + how);
    m_running.erase(found);
    m_ended.notify_all();
}

http_message worker::refuse(const std::string &reason) const
{
    return jsonResponse(conflict, R"({"clockMs":)" + std::to_string(clockMs()) + R"(,"reason":")" + reason + R"("})");
}

void worker::extendLease(std::int64_t deadline)
{
    m_leaseEnd = std::max(m_leaseEnd, std::min(deadline, clockMs() + longestLeaseMs));
}

std::optional<http_message> worker::handle(const http_message &request)
{
    const auto instance = request.headers.find("sesamespar-expect-instance");
    if (instance != request.headers.end() && instance->second != m_kind.id) {
        return jsonResponse(misdirected, "{}");
    }
    if (request.path == startPath) {
        if (shedding) {
            m_record.write("worker " + m_kind.id + " sheds a start with 503");
            return jsonResponse(unavailable, "{}");
        }
        http_message response = startTask(request.body);
        if (onStarted && response.status == ok) {
            rapidjson::Document order;
            order.Parse(request.body.data(), request.body.size());
            onStarted(*this, textOf(order, "task"));
        }
        return response;
    }
    if (request.path == "/sesamespar/run-stop") {
        return stopTask(request.body);
    }
    if (request.path == "/sesamespar/hold") {
        return hold(request.body);
    }
    return jsonResponse(request.path == "/health" ? ok : notFound, "{}");
}

http_message worker::startTask(const std::string &body)
{
    rapidjson::Document order;
    order.Parse(body.data(), body.size());
    if (order.HasParseError() || !order.IsObject()) {
        return jsonResponse(badRequest, "{}");
    }
    const std::string task = textOf(order, "task");
    const std::uint64_t run = integerOf(order, "run");
    const std::lock_guard lock(m_mutex);
    if (integerOf(order, "fencingToken") < m_fence) {
        return refuse("fence");
    }
    m_fence = integerOf(order, "fencingToken");
    const auto deadline = static_cast<std::int64_t>(integerOf(order, "deadlineMs"));
    extendLease(deadline);
    const auto found = m_running.find(task);
    const auto refused = m_refusedUpTo.find(task);
    if (found != m_running.end() && found->second.run == run) {
        return jsonResponse(ok, R"({"clockMs":)" + std::to_string(clockMs()) + "}");
    }
    if (found != m_running.end() || (refused != m_refusedUpTo.end() && run <= refused->second)) {
        return refuse("old");
    }
    if (deadline <= clockMs()) {
        return refuse("late");
    }
    const std::string spec = textOf(order, "spec");
    m_running[task] = {m_starts.size(), run, clock::now(), m_duration(spec)};
    m_starts.push_back({m_record.now(), m_kind.id, m_kind.labels, task, run, spec, 0, {}});
    m_record.write("worker " + m_kind.id + " starts " + task + " run " + std::to_string(run) + " fence "
                   + std::to_string(m_fence) + " spec " + spec);
    return jsonResponse(ok, R"({"clockMs":)" + std::to_string(clockMs()) + "}");
}

http_message worker::stopTask(const std::string &body)
{
    rapidjson::Document order;
    order.Parse(body.data(), body.size());
    if (order.HasParseError() || !order.IsObject()) {
        return jsonResponse(badRequest, "{}");
    }
    const std::string task = textOf(order, "task");
    const std::uint64_t run = integerOf(order, "run");
    const std::lock_guard lock(m_mutex);
    if (integerOf(order, "fencingToken") < m_fence) {
        return refuse("fence");
    }
    m_fence = integerOf(order, "fencingToken");
    const auto found = m_running.find(task);
    if (found != m_running.end() && found->second.run <= run) {
        endTask(task, "stopped");
    }
    m_refusedUpTo[task] = std::max(m_refusedUpTo[task], run);
    return jsonResponse(ok, R"({"clockMs":)" + std::to_string(clockMs()) + "}");
}

http_message worker::hold(const std::string &body)
{
    rapidjson::Document call;
    call.Parse(body.data(), body.size());
    if (call.HasParseError() || !call.IsObject()) {
        return jsonResponse(badRequest, "{}");
    }
    std::unique_lock lock(m_mutex);
    if (integerOf(call, "fencingToken") < m_fence) {
        return refuse("fence");
    }
    m_fence = integerOf(call, "fencingToken");
    extendLease(static_cast<std::int64_t>(integerOf(call, "deadlineMs")));
    const std::uint64_t seen = integerOf(call, "lastSeen");
    std::erase_if(m_ends, [seen](const ended_task &end) { return end.number <= seen; });
    const auto wait = std::chrono::milliseconds(std::min(integerOf(call, "waitMs"), longestWaitMs));
    m_ended.wait_for(lock, wait, [this] { return !m_ends.empty() || !m_up; });
    std::string running;
    for (const auto &[task, state] : m_running) {
        const auto worked = std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - state.begun).count();
        running += (running.empty() ? "[" : ",[") + quoteJson(task) + "," + std::to_string(state.run) + R"(,"",)"
            + std::to_string(std::min<std::int64_t>(100 * worked / std::max(state.durationMs, 1), 99)) + ",0]";
    }
    std::string ended;
    for (const ended_task &end : m_ends) {
        ended += (ended.empty() ? "[" : ",[") + std::to_string(end.number) + "," + quoteJson(end.task) + ","
            + std::to_string(end.run) + "," + quoteJson(end.how) + R"(,""])";
    }
    return jsonResponse(ok,
                        R"({"clockMs":)" + std::to_string(clockMs()) + R"(,"born":)" + std::to_string(m_born)
                            + R"(,"running":[)" + running + R"(],"ended":[)" + ended + "]}");
}

} // namespace review
