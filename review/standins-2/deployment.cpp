#include "deployment.h"

#include "record.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>

namespace review {

namespace {

void writeSettings(const deployment &cell, const daemon_process &daemon)
{
    const std::string ip = "127.0.0.1";
    const auto at = [&ip](int port) {
        return "\"" + ip + ":" + std::to_string(port) + "\"";
    };
    std::ofstream file(cell.folder + "/" + daemon.name + ".yaml", std::ios::trunc);
    file << "node: \"" << daemon.name << "\"\nrole: \"daemon\"\nclass: \"front\"\nserves:\n  - \"front\"\nip: \"" << ip
         << "\"\nzone: \"metsovo\"\nregion: \"epirus\"\nzones:\n  metsovo: \"epirus\"\nlisten:\n  front: "
         << at(daemon.frontPort) << "\n  ready: " << at(daemon.readyPort) << "\nportRange:\n  - " << daemon.firstPort
         << "\n  - " << daemon.lastPort << "\nseeds: []\nbootstrap: true\ninTolerance: true\n"
         << "limits:\n  cpuShare: 0.25\n  cores: 1\n  memoryMb: 260\n  maxFds: 4100\n  linkMbps: 1000.0\n  diskMb: 0\n"
         << "dataDir: null\ndiscovery: \"platform\"\nentry: \"virtual_ip\"\nheartbeatMs: 1500\n"
         << "contracts:\n  - \"base\"\n  - \"drain\"\n  - \"config\"\n  - \"cost\"\n  - \"recover\"\n  - \"sched\"\n"
         << "  - \"platform\"\n"
         << "tolerate:\n  machines: 2\n  zones: 1\n  regions: 0\n"
         << "bounds:\n  seedLagS: 3\n  addrReuseS: 2\n  contactMs: 3000\n  ackMs: 4000\n  catchUpS: 4\n"
         << "  drainMs: 2000\n  graceS: 6\n  lossSlackMs: 200\n  configApplyMs: 2000\n  rollbackSlackMs: 250\n"
         << "  maxStretchMs: 5000\n  recoveryS: 12\n  maxHoldMs: 6000\n  stopMs: 200\n  gangTimeoutMs: 3000\n"
         << "  cancel_ms: 3000\n  visible_ms: 3000\n  early_ms: 250\n  finish_s: 14\n  status_s: 120\n"
         << "  remoteSlowdown: 3\n  checkpointS: 2\n  restoreMs: 100\n  requireFencing: false\n  leaseMs: 3000\n"
         << "orders: \"invoke\"\nplatform:\n  address: " << at(cell.platformPort)
         << "\n  form: \"kv\"\n  writesPerS: 400\n  readsPerS: 2000\n  retentionS: 20\n  valueBytes: 1048576\n"
         << "  ttlMinMs: 1000\n";
}

bool overlap(const execution &left, const execution &right)
{
    const auto endOf = [](const execution &entry) {
        return entry.endedAt < 0 ? nowMs() : entry.endedAt;
    };
    return left.startedAt < endOf(right) && right.startedAt < endOf(left);
}

std::string describe(const execution &entry)
{
    return "worker=" + entry.worker + " born=" + std::to_string(entry.born) + " label=" + entry.label
        + " run=" + std::to_string(entry.run) + " started=" + std::to_string(entry.startedAt)
        + " ended=" + std::to_string(entry.endedAt) + " how=" + (entry.how.empty() ? "running" : entry.how)
        + " noted=" + (entry.noted ? "yes" : "no");
}

} // namespace

void finish(deployment &cell, int status)
{
    for (daemon_process &daemon : cell.daemons) {
        if (daemon.pid > 0) {
            kill(daemon.pid, SIGKILL);
            waitpid(daemon.pid, nullptr, 0);
        }
    }
    record(status == 0 ? "RESULT held" : status == 1 ? "RESULT broken" : "RESULT could not run");
    _exit(status);
}

void startPlatform(deployment &cell, const std::vector<worker_options> &workers)
{
    cell.platformPort = cell.platform.serve();
    cell.platform.put(
        "op/config",
        "{\"version\":7,\"routes\":[{\"name\":\"r-3hwrr6x\",\"host\":\"" + queueHost + "\",\"prefix\":\"" + queuePrefix
            + "\",\"kind\":\"non_idempotent\",\"timeoutMs\":3000,\"targetLatencyMs\":1000,\"priority\":0,"
            + "\"service\":\"" + serviceName + "\",\"maxAttempts\":4,\"stretch\":1.5}],\"services\":[{\"name\":\""
            + serviceName + "\",\"healthPath\":\"/health\",\"maxConns\":64,\"protocol\":\"h1\",\"tls\":false,"
            + "\"enforcesCapacity\":false,\"spare\":false}],\"limits\":{\"maxHeaderBytes\":16384,"
            + "\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}");
    for (const worker_options &options : workers) {
        cell.workers.push_back(std::make_unique<worker>(options, cell.platform, cell.executions));
        cell.workers.back()->start();
    }
}

void startDaemon(deployment &cell, daemon_process &daemon)
{
    writeSettings(cell, daemon);
    const std::string settings = cell.folder + "/" + daemon.name + ".yaml";
    const std::string log = cell.folder + "/" + daemon.name + ".log";
    const pid_t parent = getpid();
    daemon.pid = fork();
    if (daemon.pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent) {
            _exit(1);
        }
        const int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(file, STDOUT_FILENO);
        dup2(file, STDERR_FILENO);
        setenv("SESAMESPAR_SETTINGS", settings.c_str(), 1);
        execl("target/bin/sesamespard", "target/bin/sesamespard", "--platform", nullptr);
        _exit(127);
    }
    record("daemon " + daemon.name + " started pid=" + std::to_string(daemon.pid));
}

bool isReady(const daemon_process &daemon)
{
    http_connection connection(daemon.readyPort);
    return connection.call("GET", "/sesamespar/ready", "ready", "", 500).status == 200;
}

bool startDaemons(deployment &cell, std::size_t count)
{
    for (std::size_t index = 0; index < count; ++index) {
        daemon_process daemon;
        daemon.name = "front-metsovo-" + std::to_string(index + 1);
        daemon.frontPort = freePort();
        daemon.readyPort = freePort();
        daemon.firstPort = freePort();
        daemon.lastPort = freePort();
        if (daemon.firstPort > daemon.lastPort) {
            std::swap(daemon.firstPort, daemon.lastPort);
        }
        startDaemon(cell, daemon);
        cell.daemons.push_back(daemon);
    }
    const long long until = nowMs() + 20000;
    while (nowMs() < until) {
        if (std::all_of(cell.daemons.begin(), cell.daemons.end(), isReady)) {
            // The first term needs a second to be elected and to poll the workers.
            sleepMs(2500);
            return true;
        }
        sleepMs(50);
    }
    return false;
}

std::string jobBody(const std::string &spec, int count, int cpu, int estimateMs, const std::string &label)
{
    return "{\"spec\":" + quoted(spec) + ",\"steps\":[{\"count\":" + std::to_string(count)
        + ",\"cpu\":" + std::to_string(cpu) + ",\"memMb\":512,\"estimateMs\":" + std::to_string(estimateMs)
        + (label.empty() ? "" : ",\"requirements\":\"" + label + "\"") + "}]}";
}

http_message request(const daemon_process &daemon,
                     const std::string &method,
                     const std::string &key,
                     const std::string &body,
                     int limitMs)
{
    http_connection connection(daemon.frontPort);
    record("requester sends " + method + " " + key + " to " + daemon.name);
    http_message answer = connection.call(method, queuePrefix + key, queueHost, body, limitMs);
    record("requester gets " + std::to_string(answer.status) + " " + answer.body + " for " + method + " " + key
           + " from " + daemon.name);
    return answer;
}

int countBreaks(deployment &cell, const std::string &label)
{
    const std::lock_guard lock(cell.executions.mutex);
    const auto &entries = cell.executions.entries;
    int breaks = 0;
    for (std::size_t i = 0; i < entries.size(); ++i) {
        record("execution task=" + entries[i].task + " " + describe(entries[i]));
        if (!label.empty() && entries[i].label != label) {
            record("BREAK ROUTE task=" + entries[i].task + " needs label " + label + ": " + describe(entries[i]));
            ++breaks;
        }
        for (std::size_t j = 0; j < entries.size(); ++j) {
            if (i == j || entries[i].task != entries[j].task) {
                continue;
            }
            if (i < j && overlap(entries[i], entries[j])) {
                record("BREAK TWICE two runs of task=" + entries[i].task + " at the same time: " + describe(entries[i])
                       + " | " + describe(entries[j]));
                ++breaks;
            }
            if (entries[i].how == "done" && entries[i].noted && entries[j].startedAt > entries[i].endedAt) {
                record("BREAK TWICE a start after a done run of task=" + entries[i].task + ": " + describe(entries[i])
                       + " | " + describe(entries[j]));
                ++breaks;
            }
        }
    }
    return breaks;
}

} // namespace review
