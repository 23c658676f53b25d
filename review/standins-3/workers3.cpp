#include "workers3.h"

#include "fields3.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <thread>

namespace {

constexpr std::int64_t maxHoldMs = 6000;
constexpr std::int64_t heartbeatMs = 1500;
constexpr std::int64_t stopTakesMs = 50;
constexpr std::int64_t checkpointMs = 2000;
constexpr std::size_t endsListed = 500;

std::string jobOf(const std::string &task)
{
    return task.substr(0, task.find('.'));
}

int stepOf(const std::string &task)
{
    const std::size_t first = task.find('.');
    const std::size_t second = task.find('.', first + 1);
    return std::stoi(task.substr(second + 1));
}

std::string savedText(const run3 &run, std::int64_t now)
{
    const std::int64_t work = run.savedMs + (now - run.beganAt);
    const std::int64_t saved = work / checkpointMs * checkpointMs;
    return saved == 0 ? std::string() : std::to_string(saved);
}

http_reply3 refusal(const std::string &clock, const char *reason)
{
    return {409, "{" + clock + ",\"reason\":\"" + reason + "\"}"};
}

} // namespace

std::int64_t steadyMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

record3::record3(const std::string &path)
    : stream(path)
    , startedAt(steadyMs())
{
}

void record3::line(const std::string &text)
{
    const std::lock_guard lock(mutex);
    stream << (steadyMs() - startedAt) << ' ' << text << '\n';
    stream.flush();
}

worker_fleet3::worker_fleet3(platform_store3 &kept, record3 &log, int count, std::uint64_t seed)
    : store(kept)
    , record(log)
    , random(seed)
{
    for (int i = 0; i < count; ++i) {
        auto worker = std::make_unique<worker3>();
        worker->id = "i-" + std::to_string(100 + i) + "c4f2";
        worker->rack = "r1-" + std::to_string(1 + i / 4);
        worker3 *at = worker.get();
        worker->server = std::make_unique<http_server3>(
            "127.0.0.1", [this, at](const http_request3 &request) { return handle(*at, request); });
        workers.push_back(std::move(worker));
    }
    {
        const std::lock_guard lock(mutex);
        for (const auto &worker : workers) {
            bear(*worker);
        }
    }
    std::thread([this] {
        for (;;) {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
            const std::lock_guard lock(mutex);
            if (finished) {
                return;
            }
            tick();
        }
    }).detach();
}

worker_fleet3::~worker_fleet3()
{
    const std::lock_guard lock(mutex);
    finished = true;
    ended.notify_all();
}

void worker_fleet3::with(const std::function<void(std::vector<std::unique_ptr<worker3>> &)> &use)
{
    const std::lock_guard lock(mutex);
    use(workers);
}

void worker_fleet3::addJob(const job3 &job)
{
    const std::lock_guard lock(mutex);
    jobs[job.id] = job;
}

void worker_fleet3::allowJob(const std::string &id)
{
    const std::lock_guard lock(mutex);
    jobs[id].mayRun = true;
}

void worker_fleet3::cancelled(const std::string &id, int boundMs)
{
    const std::lock_guard lock(mutex);
    jobs[id].noStartAfter = steadyMs() + boundMs;
}

std::vector<std::string> worker_fleet3::violations()
{
    const std::lock_guard lock(mutex);
    return found;
}

void worker_fleet3::violate(const std::string &text)
{
    found.push_back(text);
    record.line("BROKEN " + text);
}

std::set<std::string> worker_fleet3::doneTasks(const std::string &job)
{
    const std::lock_guard lock(mutex);
    std::set<std::string> done;
    for (const auto &[task, past] : history) {
        if (past.doneAt != 0 && jobOf(task) == job) {
            done.insert(task);
        }
    }
    return done;
}

bool worker_fleet3::runsSomething(const std::string &job)
{
    const std::lock_guard lock(mutex);
    for (const auto &worker : workers) {
        for (const auto &[task, run] : worker->runs) {
            if (worker->up && jobOf(task) == job) {
                return true;
            }
        }
    }
    return false;
}

bool worker_fleet3::hasRoomTwice(const step3 &step)
{
    const std::lock_guard lock(mutex);
    int cpu = 0;
    int cpuUsed = 0;
    int memory = 0;
    int memoryUsed = 0;
    int fitting = 0;
    for (const auto &worker : workers) {
        if (!worker->up) {
            continue;
        }
        int usedHere = 0;
        int memoryHere = 0;
        for (const auto &[task, run] : worker->runs) {
            const step3 &of = jobs[jobOf(task)].steps[static_cast<std::size_t>(stepOf(task))];
            usedHere += of.cpu;
            memoryHere += of.memMb;
        }
        cpu += worker->cpu;
        memory += worker->memMb;
        cpuUsed += usedHere;
        memoryUsed += memoryHere;
        fitting += std::min(step.cpu > 0 ? (worker->cpu - usedHere) / step.cpu : 1,
                            step.memMb > 0 ? (worker->memMb - memoryHere) / step.memMb : 1);
    }
    return fitting >= 2 * step.count && 2 * cpuUsed < cpu && 2 * memoryUsed < memory;
}

std::int64_t worker_fleet3::clockOf(const worker3 &worker) const
{
    return steadyMs() - worker.startedAt + 1000;
}

std::string worker_fleet3::clockField(const worker3 &worker) const
{
    return "\"clockMs\":" + std::to_string(clockOf(worker)) + ",\"born\":" + std::to_string(worker.born);
}

void worker_fleet3::bear(worker3 &worker)
{
    worker.up = true;
    worker.born =
        std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
            .count();
    worker.startedAt = steadyMs();
    worker.seq = 0;
    worker.fence = 0;
    worker.deadline = 0;
    worker.lastEnd = 0;
    worker.runs.clear();
    worker.ends.clear();
    worker.closedRuns.clear();
    worker.crashAt = 0;
    worker.restartAt = 0;
    worker.server->open();
    beat(worker);
}

void worker_fleet3::beat(worker3 &worker)
{
    worker.nextBeat = steadyMs() + heartbeatMs;
    worker.listed = true;
    store.put("servers/" + worker.id,
              "{\"service\":\"tourdesk\",\"address\":\"" + worker.server->address()
                  + "\",\"zone\":\"metsovo\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,"
                    "\"capacity\":{\"cpu\":"
                  + std::to_string(worker.cpu) + ",\"memMb\":" + std::to_string(worker.memMb)
                  + ",\"gpu\":0},\"labels\":[\"a\",\"" + worker.rack + "\"]," + clockField(worker)
                  + ",\"seq\":" + std::to_string(++worker.seq) + "}");
}

void worker_fleet3::crash(worker3 &worker, int downMs)
{
    if (!worker.up) {
        return;
    }
    record.line("worker " + worker.id + " crashes with " + std::to_string(worker.runs.size())
                + " runs, back under its id in " + std::to_string(downMs) + " ms");
    worker.up = false;
    worker.runs.clear();
    worker.server->close();
    worker.crashAt = 0;
    worker.restartAt = steadyMs() + downMs;
}

void worker_fleet3::endRun(worker3 &worker, const std::string &task, const char *how)
{
    const auto found = worker.runs.find(task);
    const run3 run = found->second;
    worker.runs.erase(found);
    const std::string end = how;
    worker.ends.push_back(
        {++worker.lastEnd, task, run.run, end, end == "done" ? std::string() : savedText(run, steadyMs()), steadyMs()});
    worker.closedRuns[task] = std::max(worker.closedRuns[task], run.run);
    if (end == "done") {
        history[task].doneAt = steadyMs();
    }
    record.line("worker " + worker.id + " ends " + task + " run " + std::to_string(run.run) + " " + how);
    ended.notify_all();
}

void worker_fleet3::noteEnds(worker3 &worker, std::uint64_t seen)
{
    for (const end_row3 &row : worker.ends) {
        // An end isn't taken note of if the worker's lease has lapsed since.
        if (row.number > seen || row.how != "done" || worker.lapsedAt >= row.endedAt) {
            continue;
        }
        task_history &past = history[row.task];
        past.doneNoted = true;
        record.line("worker " + worker.id + " forgets the end " + std::to_string(row.number) + " of " + row.task
                    + ": it is polled with lastSeen " + std::to_string(seen));
        if (past.lastStart > row.endedAt) {
            violate("TWICE " + row.task + " started after its run had ended done");
        }
    }
    worker.ends.erase(
        std::remove_if(worker.ends.begin(), worker.ends.end(), [&](const end_row3 &row) { return row.number <= seen; }),
        worker.ends.end());
}

std::optional<http_reply3> worker_fleet3::start(worker3 &worker, const std::string &body, bool late)
{
    rapidjson::Document order;
    order.Parse(body.data(), body.size());
    if (!order.IsObject() || !has3(order, "task") || !has3(order, "run")) {
        return http_reply3{400, "{" + clockField(worker) + "}"};
    }
    const std::string task = text3(order, "task");
    const std::uint64_t run = count3(order, "run");
    const std::uint64_t fence = count3(order, "fencingToken");
    if (fence < worker.fence) {
        return refusal(clockField(worker), "fence");
    }
    worker.fence = fence;
    const std::int64_t now = clockOf(worker);
    worker.lapsedAt = worker.deadline <= now ? steadyMs() : worker.lapsedAt;
    if (has3(order, "deadlineMs")) {
        worker.deadline = std::max(worker.deadline, std::min(number3(order, "deadlineMs"), now + maxHoldMs));
    }
    const auto present = worker.runs.find(task);
    if (present != worker.runs.end() && present->second.run == run) {
        return http_reply3{200, "{" + clockField(worker) + "}"};
    }
    if (const auto closed = worker.closedRuns.find(task); closed != worker.closedRuns.end() && run <= closed->second) {
        return refusal(clockField(worker), "old");
    }
    if (present != worker.runs.end()) {
        return refusal(clockField(worker), "old");
    }
    if (worker.deadline <= now) {
        return refusal(clockField(worker), "late");
    }
    const auto job = jobs.find(jobOf(task));
    const std::string spec = text3(order, "spec");
    if (job == jobs.end() || static_cast<std::size_t>(stepOf(task)) >= job->second.steps.size()
        || job->second.spec != spec) {
        violate("UNASKED " + task + " on " + worker.id);
        return http_reply3{400, "{" + clockField(worker) + "}"};
    }
    if (job->second.noStartAfter != 0 && steadyMs() > job->second.noStartAfter) {
        violate("UNASKED " + task + " run " + std::to_string(run) + " started on " + worker.id + " "
                + std::to_string(steadyMs() - job->second.noStartAfter)
                + " ms later than cancel_ms after the acknowledgement of its cancelling");
    }
    if (!job->second.mayRun) {
        violate("REFUSED " + task + " started though every attempt was rejected");
    }
    const step3 &step = job->second.steps[static_cast<std::size_t>(stepOf(task))];
    for (const auto &other : workers) {
        if (other->up && other->runs.count(task) != 0) {
            violate("TWICE " + task + " run " + std::to_string(run) + " on " + worker.id + " beside run "
                    + std::to_string(other->runs[task].run) + " on " + other->id);
        }
    }
    task_history &past = history[task];
    past.lastStart = steadyMs();
    if (past.doneNoted) {
        violate("TWICE " + task + " run " + std::to_string(run) + " on " + worker.id
                + " started after its end was taken note of");
    }
    for (const int earlier : step.after) {
        for (int i = 0; i < job->second.steps[static_cast<std::size_t>(earlier)].count; ++i) {
            const std::string before =
                joined3({job->second.id, ".0.", std::to_string(earlier), ".", std::to_string(i)});
            if (history[before].doneAt == 0) {
                violate(joined3({"ORDER ", task, " before ", before}));
            }
        }
    }
    int cpu = step.cpu;
    int memory = step.memMb;
    for (const auto &[name, held] : worker.runs) {
        const step3 &of = jobs[jobOf(name)].steps[static_cast<std::size_t>(stepOf(name))];
        cpu += of.cpu;
        memory += of.memMb;
    }
    if (cpu > worker.cpu || memory > worker.memMb) {
        violate("LIMIT " + worker.id + " at " + std::to_string(cpu) + " and " + std::to_string(memory) + " by " + task);
    }
    run3 begun;
    begun.run = run;
    begun.beganAt = steadyMs();
    begun.workMs = step.workMs;
    if (has3(order, "checkpoint")) {
        begun.savedMs = std::atoll(text3(order, "checkpoint").c_str());
    }
    worker.runs[task] = begun;
    record.line("worker " + worker.id + " starts " + task + " run " + std::to_string(run) + " fence "
                + std::to_string(fence) + (late ? " (carried out late)" : ""));
    return http_reply3{200, "{" + clockField(worker) + "}"};
}

std::optional<http_reply3> worker_fleet3::handle(worker3 &worker, const http_request3 &request)
{
    std::unique_lock lock(mutex);
    if (!worker.up || finished) {
        return std::nullopt;
    }
    if (request.path == "/health") {
        return http_reply3{};
    }
    const auto expected = request.headers.find("sesamespar-expect-instance");
    if (expected != request.headers.end() && expected->second != worker.id) {
        return http_reply3{421, "{" + clockField(worker) + "}"};
    }
    const std::int64_t born = worker.born;
    std::uniform_real_distribution<double> share(0, 1);
    if (request.path == "/sesamespar/run-start") {
        if (share(random) < worker.startsLate) {
            std::uniform_int_distribution<int> delay(2000, 6000);
            late.push_back({steadyMs() + delay(random), &worker, born, request.path, request.body});
            record.line("worker " + worker.id + " holds up a start");
            return std::nullopt;
        }
        auto reply = start(worker, request.body, false);
        if (worker.crashAfterLook && worker.watchedTask.empty() && reply && reply->status == 200
            && steadyMs() - worker.holdSince < 300) {
            rapidjson::Document order;
            order.Parse(request.body.data(), request.body.size());
            worker.watchedTask = text3(order, "task");
            for (const auto &other : workers) {
                other->crashAfterLook = false;
            }
            record.line("worker " + worker.id + " loses the answer to the start of " + worker.watchedTask);
            return std::nullopt;
        }
        if (share(random) < worker.startsUnanswered) {
            record.line("worker " + worker.id + " loses the answer to a start");
            return std::nullopt;
        }
        return reply;
    }
    rapidjson::Document order;
    order.Parse(request.body.data(), request.body.size());
    if (!order.IsObject()) {
        return http_reply3{400, "{" + clockField(worker) + "}"};
    }
    const std::uint64_t fence = count3(order, "fencingToken");
    if (fence < worker.fence) {
        return refusal(clockField(worker), "fence");
    }
    worker.fence = fence;
    if (request.path == "/sesamespar/run-stop") {
        const std::string task = text3(order, "task");
        const std::uint64_t run = count3(order, "run");
        const auto present = worker.runs.find(task);
        if (present != worker.runs.end() && present->second.run <= run) {
            if (present->second.stopAt == 0) {
                present->second.stopAt = steadyMs() + stopTakesMs;
            }
        }
        worker.closedRuns[task] = std::max(worker.closedRuns[task], run);
        record.line("worker " + worker.id + " is told to stop " + task + " run " + std::to_string(run));
        return http_reply3{200, "{" + clockField(worker) + "}"};
    }
    if (request.path != "/sesamespar/hold") {
        return http_reply3{404, "{}"};
    }
    worker.lapsedAt = worker.deadline <= clockOf(worker) ? steadyMs() : worker.lapsedAt;
    if (has3(order, "deadlineMs")) {
        worker.deadline =
            std::max(worker.deadline, std::min(number3(order, "deadlineMs"), clockOf(worker) + maxHoldMs));
    }
    noteEnds(worker, count3(order, "lastSeen"));
    const bool look = !has3(order, "waitMs") && !has3(order, "deadlineMs");
    const std::int64_t waitMs = number3(order, "waitMs");
    worker.holdSince = waitMs > 0 ? steadyMs() : worker.holdSince;
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(waitMs);
    while (worker.ends.empty() && worker.up && worker.born == born && !finished
           && ended.wait_until(lock, until) != std::cv_status::timeout) { }
    if (!worker.up || worker.born != born || finished) {
        return std::nullopt;
    }
    if (share(random) < worker.holdsUnanswered) {
        return std::nullopt;
    }
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
    writer.StartObject();
    writer.Key("clockMs");
    writer.Int64(clockOf(worker));
    writer.Key("born");
    writer.Int64(worker.born);
    writer.Key("running");
    writer.StartArray();
    for (const auto &[task, run] : worker.runs) {
        const std::string saved = savedText(run, steadyMs());
        writer.StartArray();
        writer.String(task.c_str());
        writer.Uint64(run.run);
        writer.String(saved.c_str());
        writer.Int(static_cast<int>(std::min<std::int64_t>(
            99, (run.savedMs + steadyMs() - run.beganAt) * 100 / std::max<std::int64_t>(1, run.workMs))));
        writer.Int(0);
        writer.EndArray();
    }
    writer.EndArray();
    writer.Key("ended");
    writer.StartArray();
    std::size_t listed = 0;
    for (const end_row3 &row : worker.ends) {
        if (++listed > endsListed) {
            break;
        }
        writer.StartArray();
        writer.Uint64(row.number);
        writer.String(row.task.c_str());
        writer.Uint64(row.run);
        writer.String(row.how.c_str());
        writer.String(row.saved.c_str());
        writer.EndArray();
    }
    writer.EndArray();
    writer.EndObject();
    if (look && !worker.watchedTask.empty() && worker.runs.count(worker.watchedTask) != 0 && worker.crashAt == 0) {
        record.line("worker " + worker.id + " answers a look; it lists " + worker.watchedTask);
        worker.crashAt = steadyMs() + 100;
    }
    return http_reply3{200, buffer.GetString()};
}

void worker_fleet3::tick()
{
    const std::int64_t now = steadyMs();
    for (std::size_t i = 0; i < late.size();) {
        if (late[i].at > now) {
            ++i;
            continue;
        }
        const late_call call = late[i];
        late.erase(late.begin() + static_cast<std::ptrdiff_t>(i));
        if (call.worker->up && call.worker->born == call.born) {
            start(*call.worker, call.body, true);
        }
    }
    for (const auto &owned : workers) {
        worker3 &worker = *owned;
        if (!worker.up) {
            if (worker.listed && now > worker.nextBeat + 2 * heartbeatMs) {
                worker.listed = false;
                store.remove("servers/" + worker.id);
            }
            if (worker.restartAt != 0 && now >= worker.restartAt) {
                bear(worker);
                record.line("worker " + worker.id + " is back, born " + std::to_string(worker.born));
            }
            continue;
        }
        if (worker.crashAt != 0 && now >= worker.crashAt) {
            crash(worker, 1000);
            continue;
        }
        if (now >= worker.nextBeat) {
            beat(worker);
        }
        worker.lapsedAt = worker.deadline <= clockOf(worker) ? now : worker.lapsedAt;
        std::vector<std::pair<std::string, const char *>> endings;
        for (auto &[task, run] : worker.runs) {
            if (worker.deadline <= clockOf(worker)) {
                endings.emplace_back(task, "lapsed");
            } else if (run.stopAt != 0 && now >= run.stopAt) {
                endings.emplace_back(task, "stopped");
            } else if (now >= run.beganAt + run.workMs - run.savedMs) {
                endings.emplace_back(task, "done");
            }
        }
        for (const auto &[task, how] : endings) {
            endRun(worker, task, how);
        }
    }
}
