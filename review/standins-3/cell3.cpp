// Plays one case with real daemons: starts the store and the workers as stand-ins and the daemons as processes, sends
// jobs, applies the disruption of the case, and judges what requesters and workers have seen.
//
//     cell3 CASE RECORD SEED
//
// TROUBLE=0 leaves the disruption out. Exits with 0 if the rules held, 1 if one was broken, 2 if it couldn't run.
#include "fields3.h"
#include "workers3.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <cstring>
#include <iostream>
#include <stdexcept>
#include <thread>

namespace {

constexpr int visibleMs = 3000;
constexpr int cancelMs = 3000;
constexpr int finishMs = 14000;
constexpr int observedMs = 3000;
const std::string routeHost = "nony24.example";
const std::string routePrefix = "/lohu930/";

void pause(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

struct daemon3 {
    std::string name;
    std::string ip;
    int firstPort = 0;
    std::string settings;
    std::string log;
    pid_t pid = 0;
    std::string front() const
    {
        return ip + ":" + std::to_string(firstPort);
    }
    std::string ready() const
    {
        return ip + ":" + std::to_string(firstPort + 1);
    }
};

class cell3
{
public:
    cell3(const std::string &recordPath, int daemonCount, int workerCount, std::uint64_t seed)
        : record(recordPath)
        , fleet(store, record, workerCount, seed)
        , random(seed)
    {
        char pattern[] = "/tmp/cell3.XXXXXX";
        if (mkdtemp(pattern) == nullptr) {
            throw std::runtime_error("no temporary folder");
        }
        folder = pattern;
        store.put("op/config",
                  "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"" + routeHost + "\",\"prefix\":\""
                      + routePrefix
                      + "\",\"kind\":\"non_idempotent\",\"timeoutMs\":3000,\"targetLatencyMs\":250,\"priority\":0,"
                        "\"service\":\"tourdesk\",\"maxAttempts\":4,\"stretch\":1.5}],\"services\":[{\"name\":"
                        "\"tourdesk\",\"healthPath\":\"/health\",\"maxConns\":64,\"protocol\":\"h1\",\"tls\":false,"
                        "\"enforcesCapacity\":false,\"spare\":false}],\"limits\":{\"maxHeaderBytes\":16384,"
                        "\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}");
        for (int i = 0; i < daemonCount; ++i) {
            daemon3 one;
            one.name = "front-metsovo-" + std::to_string(i + 1);
            one.ip = "127.0.0." + std::to_string(11 + i);
            one.firstPort = freePorts(one.ip, 12);
            one.settings = folder + "/" + one.name + ".yaml";
            one.log = folder + "/" + one.name + ".log";
            daemons.push_back(one);
        }
        for (daemon3 &one : daemons) {
            writeSettings(one);
            start(one);
        }
    }

    /// Ends all processes of the case.
    void end()
    {
        for (daemon3 &one : daemons) {
            stop(one, SIGKILL);
        }
        if (std::getenv("KEEP_LOGS") == nullptr) {
            for (const daemon3 &one : daemons) {
                unlink(one.settings.c_str());
                unlink(one.log.c_str());
            }
            rmdir(folder.c_str());
        } else {
            std::cerr << "logs in " << folder << '\n';
        }
    }

    void start(daemon3 &one)
    {
        one.pid = fork();
        if (one.pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int log = open(one.log.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0600);
            dup2(log, 1);
            dup2(log, 2);
            setenv("SESAMESPAR_SETTINGS", one.settings.c_str(), 1);
            execl("target/bin/sesamespard", "target/bin/sesamespard", "--platform", nullptr);
            _exit(127);
        }
        record.line("daemon " + one.name + " started");
    }

    void stop(daemon3 &one, int signal)
    {
        if (one.pid > 0) {
            kill(one.pid, signal);
            waitpid(one.pid, nullptr, 0);
            one.pid = 0;
        }
    }

    /// Waits until all daemons report themselves ready.
    bool waitReady()
    {
        const std::int64_t until = steadyMs() + 20000;
        for (const daemon3 &one : daemons) {
            for (;;) {
                const auto reply = callHttp(one.ready(), "GET", "/sesamespar/ready", {{"Host", "x"}}, "", 1000);
                if (reply && reply->status == 200) {
                    break;
                }
                if (steadyMs() > until || waitpid(one.pid, nullptr, WNOHANG) != 0) {
                    return false;
                }
                pause(100);
            }
        }
        return true;
    }

    /// The daemon that began the latest term, as the logs say.
    daemon3 &leader()
    {
        daemon3 *latest = &daemons.front();
        long long when = 0;
        for (daemon3 &one : daemons) {
            std::ifstream log(one.log);
            for (std::string line; std::getline(log, line);) {
                const long long at = std::atoll(line.c_str() + line.find('=') + 1);
                if (line.find("event=term_begun") != std::string::npos && at > when) {
                    when = at;
                    latest = &one;
                }
            }
        }
        return *latest;
    }

    std::optional<http_reply3> call(const std::string &method, const std::string &id, const std::string &body)
    {
        const daemon3 &one = daemons[nextDaemon++ % daemons.size()];
        return callHttp(one.front(),
                        method,
                        routePrefix + id,
                        {{"Host", routeHost}, {"Sesamespar-Deadline-Ms", "3000"}},
                        body,
                        3200);
    }

    /// Submits a job in a thread of its own, with the repetitions that requesters make.
    void submit(const std::vector<step3> &steps)
    {
        const auto [id, body] = describe(steps);
        callers.emplace_back([this, id = id, body = body] { submitUntilAnswered(id, body); });
    }

    /// Makes a job; returns its id and the body of its request.
    std::pair<std::string, std::string> describe(const std::vector<step3> &steps)
    {
        job3 job;
        char id[32];
        std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(random()));
        job.id = id;
        job.spec = "spec-" + job.id;
        job.steps = steps;
        std::string body = "{\"spec\":\"" + job.spec + "\",\"steps\":[";
        for (std::size_t i = 0; i < steps.size(); ++i) {
            const step3 &step = steps[i];
            body += i == 0 ? "{" : ",{";
            body += "\"count\":" + std::to_string(step.count) + ",\"cpu\":" + std::to_string(step.cpu)
                + ",\"memMb\":" + std::to_string(step.memMb) + ",\"estimateMs\":" + std::to_string(step.workMs);
            if (!step.after.empty()) {
                body += ",\"after\":[";
                for (std::size_t k = 0; k < step.after.size(); ++k) {
                    body += (k == 0 ? "" : ",") + std::to_string(step.after[k]);
                }
                body += "]";
            }
            body += step.checkpointing ? ",\"checkpointing\":true}" : "}";
        }
        body += "]}";
        fleet.addJob(job);
        {
            const std::lock_guard lock(mutex);
            jobs[job.id] = job;
        }
        return {job.id, body};
    }

    void submitUntilAnswered(const std::string &id, const std::string &body)
    {
        for (int attempt = 0; attempt < 5; ++attempt) {
            // Until the answer is known, it may run.
            fleet.allowJob(id);
            const auto reply = call("POST", id, body);
            record.line("POST " + id + " -> " + (reply ? std::to_string(reply->status) : "no response"));
            if (reply && reply->status / 100 == 2) {
                const std::lock_guard lock(mutex);
                jobs[id].acknowledged = true;
                return;
            }
            pause(300);
        }
    }

    /// Waits for the requesters, then `finish_s`, and judges LOST, TWICE, ORDER, LIMIT and UNASKED as they are written.
    bool judge()
    {
        for (std::thread &caller : callers) {
            caller.join();
        }
        callers.clear();
        record.line("end of the traffic");
        pause(finishMs);
        std::vector<std::string> open;
        for (auto &[id, job] : jobs) {
            if (!job.acknowledged) {
                continue;
            }
            const std::string state = stateOf(id);
            if (state != "completed") {
                record.line(joined3({"GET ", id, " -> ", state}));
            }
            if (state == "none" || state == "410") {
                broken.push_back(joined3({"LOST ", id, " isn't known or gets no answer, ", state}));
            } else if (state == "failed" || state == "cancelled") {
                broken.push_back(joined3({"LOST ", id, " is shown as ", state, " without cause"}));
            } else if (state == "completed") {
                for (std::size_t s = 0; s < job.steps.size(); ++s) {
                    const auto done = fleet.doneTasks(id);
                    for (int i = 0; i < job.steps[s].count; ++i) {
                        const std::string task = id + ".0." + std::to_string(s) + "." + std::to_string(i);
                        if (done.count(task) == 0) {
                            broken.push_back(
                                joined3({"MIXED ", id, " is shown as completed, ", task, " hasn't ended done"}));
                        }
                    }
                }
            } else {
                open.push_back(id);
            }
        }
        std::set<std::string> idle(open.begin(), open.end());
        const std::int64_t until = steadyMs() + observedMs;
        while (!idle.empty() && steadyMs() < until) {
            for (const std::string &id : open) {
                if (idle.count(id) != 0 && (fleet.runsSomething(id) || !mayProceed(jobs[id]))) {
                    idle.erase(id);
                }
            }
            pause(20);
        }
        for (const std::string &id : idle) {
            const std::string state = stateOf(id);
            record.line(joined3({"GET ", id, " -> ", state}));
            if (state == "queued" || state == "running") {
                broken.push_back(joined3({"LOST ",
                                          id,
                                          " is ",
                                          state,
                                          ", had nothing running for 3 s, ",
                                          std::to_string(finishMs / 1000),
                                          " s after the end of the traffic"}));
            }
        }
        const auto seen = fleet.violations();
        broken.insert(broken.end(), seen.begin(), seen.end());
        std::size_t accepted = 0;
        for (const auto &[id, job] : jobs) {
            accepted += job.acknowledged ? 1 : 0;
        }
        record.line("jobs sent " + std::to_string(jobs.size()) + ", accepted " + std::to_string(accepted));
        for (const std::string &one : broken) {
            record.line("RULE " + one);
            std::cout << one << '\n';
        }
        if (accepted == 0) {
            throw std::runtime_error("no job was accepted");
        }
        return broken.empty();
    }

    /// True if a task of the job has its turn and there is room for its step twice over.
    bool mayProceed(const job3 &job)
    {
        const auto done = fleet.doneTasks(job.id);
        const auto stepDone = [&](std::size_t s) {
            for (int i = 0; i < job.steps[s].count; ++i) {
                if (done.count(job.id + ".0." + std::to_string(s) + "." + std::to_string(i)) == 0) {
                    return false;
                }
            }
            return true;
        };
        for (std::size_t s = 0; s < job.steps.size(); ++s) {
            const bool turn = std::all_of(job.steps[s].after.begin(), job.steps[s].after.end(), [&](int earlier) {
                return stepDone(static_cast<std::size_t>(earlier));
            });
            if (turn && !stepDone(s) && fleet.hasRoomTwice(job.steps[s])) {
                return true;
            }
        }
        return false;
    }

    std::string stateOf(const std::string &id)
    {
        for (int attempt = 0; attempt < 3; ++attempt) {
            const auto reply = call("GET", id, "");
            if (reply && reply->status == 410) {
                return "410";
            }
            const std::string mark = "\"state\":\"";
            if (reply && reply->status == 200 && reply->body.find(mark) != std::string::npos) {
                const std::size_t at = reply->body.find(mark) + mark.size();
                return reply->body.substr(at, reply->body.find('"', at) - at);
            }
        }
        return "none";
    }

    platform_store3 store;
    record3 record;
    worker_fleet3 fleet;
    std::mt19937_64 random;
    std::vector<daemon3> daemons;

    void writeSettings(const daemon3 &one)
    {
        std::ofstream out(one.settings);
        const auto at = [&](int offset) {
            return "\"" + one.ip + ":" + std::to_string(one.firstPort + offset) + "\"";
        };
        out << "node: \"" << one.name << "\"\nrole: \"daemon\"\nclass: \"front\"\nserves:\n  - \"front\"\nip: \""
            << one.ip
            << "\"\nzone: \"metsovo\"\nregion: \"epirus\"\nzones:\n  metsovo: \"epirus\"\nlisten:\n  front: " << at(0)
            << "\n  ready: " << at(1) << "\nportRange:\n  - " << one.firstPort + 2 << "\n  - " << one.firstPort + 11
            << "\nseeds: []\nbootstrap: true\ninTolerance: false\nlimits:\n  cpuShare: 0.25\n  cores: 1\n"
               "  memoryMb: 260\n  maxFds: 4100\n  linkMbps: 1000.0\n  diskMb: 0\ndataDir: null\n"
               "discovery: \"platform\"\nentry: \"virtual_ip\"\nheartbeatMs: 1500\nbounds:\n  contactMs: 3000\n"
               "  ackMs: 4000\n  drainMs: 2000\n  graceS: 6\n  configApplyMs: 2000\n  recoveryS: 12\n"
               "  maxHoldMs: 6000\n  stopMs: 200\n  gangTimeoutMs: 3000\n  cancel_ms: 3000\n  visible_ms: "
            << visibleMs
            << "\n  finish_s: 14\n  status_s: 120\n  checkpointS: 2\n  restoreMs: 100\n  requireFencing: false\n"
               "  leaseMs: 3000\norders: \"invoke\"\nadvice: null\nplatform:\n  address: \""
            << store.address()
            << "\"\n  form: \"kv\"\n  writesPerS: 400\n  readsPerS: 2000\n  retentionS: 20\n  valueBytes: 1048576\n"
               "  ttlMinMs: 1000\n";
    }

    std::string folder;
    std::atomic<std::size_t> nextDaemon{0};
    std::mutex mutex;
    std::map<std::string, job3> jobs;
    std::vector<std::thread> callers;
    std::vector<std::string> broken;
};

/// A worker loses the answer to one start, answers the look that follows, and then crashes and starts again.
bool playLostAnswer(cell3 &cell, bool trouble)
{
    for (int i = 0; i < 50; ++i) {
        if (i == 12 && trouble) {
            cell.fleet.with([](auto &workers) {
                for (auto &worker : workers) {
                    worker->crashAfterLook = true;
                }
            });
        }
        // One task a worker, on fewer than half of the workers.
        cell.submit({{1, 9000, 9000, {}, false, 1500}});
        pause(430);
    }
    return cell.judge();
}

/// The machine of the leader is 5.5 times as slow for 5 s at a time; meanwhile a worker crashes and starts again.
bool playSlowLeader(cell3 &cell, bool trouble)
{
    constexpr int rounds = 5;
    constexpr int calmMs = 2000;
    constexpr int slowUntilMs = 7000;
    constexpr int roundMs = 8000;
    constexpr int runsMs = 50;
    constexpr int stoppedMs = 225;
    constexpr int downMs = 50;
    for (int round = 0; round < rounds; ++round) {
        const std::int64_t begun = steadyMs();
        const daemon3 &slow = cell.leader();
        std::thread slowing([&cell, &slow, begun, trouble] {
            pause(calmMs);
            cell.record.line("daemon " + slow.name + (trouble ? " is slow" : " goes on"));
            while (trouble && steadyMs() < begun + slowUntilMs) {
                kill(slow.pid, SIGSTOP);
                pause(stoppedMs);
                kill(slow.pid, SIGCONT);
                pause(runsMs);
            }
        });
        std::int64_t nextCrash = begun + calmMs + 500;
        while (steadyMs() < begun + roundMs) {
            if (trouble && steadyMs() >= nextCrash && steadyMs() < begun + slowUntilMs) {
                nextCrash = steadyMs() + 700 + static_cast<std::int64_t>(cell.random() % 300);
                cell.fleet.with([&](auto &workers) { cell.fleet.crash(*workers[0], downMs); });
            }
            cell.submit({{1, 1400, 2000, {}, false, 150}});
            pause(50);
        }
        slowing.join();
    }
    return cell.judge();
}

/// The store carries out the write of a job late, without an answer; its requester leaves and cancels it.
bool playLateWrite(cell3 &cell, bool trouble)
{
    for (int i = 0; i < 8; ++i) {
        cell.submit({{1, 1000, 500, {}, false, 500}});
        pause(250);
    }
    const auto [id, body] = cell.describe({{1, 1000, 500, {}, false, 500}});
    if (trouble) {
        cell.store.holdWrites(id, 4000, 9000);
    }
    cell.fleet.allowJob(id);
    const auto submitted = cell.call("POST", id, body);
    cell.record.line("POST " + id + " -> " + (submitted ? std::to_string(submitted->status) : "no response"));
    for (int attempt = 0; attempt < 5; ++attempt) {
        const auto reply = cell.call("DELETE", id, "");
        cell.record.line("DELETE " + id + " -> " + (reply ? std::to_string(reply->status) : "no response"));
        if (reply && (reply->status / 100 == 2 || reply->status == 410)) {
            cell.fleet.cancelled(id, cancelMs);
            break;
        }
        pause(300);
    }
    for (int i = 0; i < 40; ++i) {
        cell.submit({{1, 1000, 500, {}, false, 500}});
        pause(250);
    }
    return cell.judge();
}

/// Workers lose answers, hold orders up, crash and come back under their ids; daemons are killed and frozen.
bool playMixture(cell3 &cell, bool trouble)
{
    std::uniform_int_distribution<int> kind(0, 99);
    std::vector<std::pair<std::int64_t, pid_t>> frozen;
    for (int i = 0; i < 400; ++i) {
        if (trouble && i > 20 && i < 340 && i % 8 == 0) {
            const int drawn = kind(cell.random);
            const std::size_t named = cell.random() % 12;
            if (drawn < 45) {
                cell.fleet.with([&](auto &workers) {
                    cell.fleet.crash(*workers[named], 200 + static_cast<int>(cell.random() % 6000));
                });
            } else if (drawn < 60) {
                cell.fleet.with([&](auto &workers) {
                    workers[named]->startsUnanswered = workers[named]->startsUnanswered > 0 ? 0 : 0.5;
                });
            } else if (drawn < 75) {
                cell.fleet.with(
                    [&](auto &workers) { workers[named]->startsLate = workers[named]->startsLate > 0 ? 0 : 0.3; });
            } else if (drawn < 85) {
                cell.fleet.with([&](auto &workers) {
                    workers[named]->holdsUnanswered = workers[named]->holdsUnanswered > 0 ? 0 : 0.5;
                });
            } else if (drawn < 93) {
                daemon3 &one = cell.daemons[named % cell.daemons.size()];
                cell.record.line("daemon " + one.name + " is killed");
                cell.stop(one, SIGKILL);
                cell.start(one);
            } else {
                daemon3 &one = cell.daemons[named % cell.daemons.size()];
                cell.record.line("daemon " + one.name + " freezes");
                kill(one.pid, SIGSTOP);
                frozen.emplace_back(steadyMs() + 1000 + static_cast<std::int64_t>(cell.random() % 6000), one.pid);
            }
        }
        if (i == 340) {
            cell.fleet.with([](auto &workers) {
                for (auto &worker : workers) {
                    worker->startsUnanswered = worker->startsLate = worker->holdsUnanswered = 0;
                }
            });
        }
        for (auto &[until, pid] : frozen) {
            if (pid != 0 && (steadyMs() >= until || i > 340)) {
                kill(pid, SIGCONT);
                pid = 0;
            }
        }
        if (i % 3 == 0) {
            cell.submit({{3, 1400, 2000, {}, false, 800}, {2, 1000, 1000, {0}, true, 2500}});
        } else {
            cell.submit({{2, 1400, 2000, {}, false, 800}});
        }
        pause(100);
    }
    return cell.judge();
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4) {
        std::cerr << "usage: cell3 CASE RECORD SEED\n";
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    const char *setting = std::getenv("TROUBLE");
    const bool trouble = setting == nullptr || std::strcmp(setting, "0") != 0;
    const std::string name = argv[1];
    std::unique_ptr<cell3> cell;
    int outcome = 2;
    try {
        cell = std::make_unique<cell3>(argv[2],
                                       name == "slow-leader" ? 7 : 3,
                                       12,
                                       static_cast<std::uint64_t>(std::strtoull(argv[3], nullptr, 10)));
        if (!cell->waitReady()) {
            throw std::runtime_error("the daemons did not become ready");
        }
        const bool held = name == "lost-answer" ? playLostAnswer(*cell, trouble)
            : name == "slow-leader"             ? playSlowLeader(*cell, trouble)
            : name == "late-write"              ? playLateWrite(*cell, trouble)
                                                : playMixture(*cell, trouble);
        cell->record.line(held ? "held" : "broken");
        outcome = held ? 0 : 1;
    } catch (const std::exception &problem) {
        std::cerr << problem.what() << '\n';
    }
    if (cell) {
        cell->end();
    }
    // Threads of the stand-ins may still run, so no destructor does.
    std::cout.flush();
    std::_Exit(outcome);
}
