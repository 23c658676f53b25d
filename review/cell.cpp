#include "cell.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fstream>

namespace review {

namespace {

constexpr std::array<const char *, 3> zones{"metsovo", "ioannina", "zagori"};
constexpr int ok = 200;
constexpr std::chrono::milliseconds pause{20};

std::string at(unsigned port)
{
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace

cell::cell(event_record &record, std::string folder, const platform_store &store, std::size_t daemons)
    : m_record(record)
    , m_folder(std::move(folder))
{
    for (std::size_t index = 0; index < daemons; ++index) {
        daemon_process daemon;
        daemon.zone = zones[index % zones.size()];
        daemon.name = "front-" + daemon.zone + "-" + std::to_string(index / zones.size() + 1);
        daemon.front = findFreePorts(portsPerDaemon);
        daemon.ready = daemon.front + 1;
        daemon.firstPort = daemon.front + 2;
        daemon.storeAddress = store.address(index);
        m_daemons.push_back(daemon);
    }
    for (daemon_process &daemon : m_daemons) {
        start(daemon);
    }
}

cell::~cell()
{
    for (daemon_process &daemon : m_daemons) {
        if (daemon.pid > 0) {
            kill(daemon.pid, SIGKILL);
            waitpid(daemon.pid, nullptr, 0);
        }
    }
}

/// Settings as DEPLOY shows them, with the figures of the small sites.
std::string cell::writeSettings(const daemon_process &daemon) const
{
    std::string path = m_folder + "/" + daemon.name + ".yaml";
    std::ofstream file(path);
    file << "node: \"" << daemon.name << "\"\nrole: \"daemon\"\nclass: \"front\"\nserves:\n  - \"front\"\n"
         << "ip: \"127.0.0.1\"\nzone: \"" << daemon.zone << "\"\nregion: \"epirus\"\nzones:\n";
    for (const char *zone : zones) {
        file << "  " << zone << ": \"epirus\"\n";
    }
    file
        << "listen:\n  front: \"" << at(daemon.front) << "\"\n  ready: \"" << at(daemon.ready) << "\"\nportRange:\n  - "
        << daemon.firstPort << "\n  - " << daemon.firstPort + 1 << "\nseeds: []\nbootstrap: true\ninTolerance: false\n"
        << "limits:\n  cpuShare: 0.25\n  cores: 1\n  memoryMb: 260\n  maxFds: 4100\n  linkMbps: 1000.0\n  diskMb: 0\n"
        << "dataDir: null\ndiscovery: \"platform\"\nentry: \"virtual_ip\"\nheartbeatMs: 1500\n"
        << "contracts: [\"base\", \"drain\", \"config\", \"cost\", \"recover\", \"sched\", \"platform\"]\n"
        << "tolerate:\n  machines: 2\n  zones: 1\n  regions: 0\n"
        << "bounds:\n  seedLagS: 3\n  addrReuseS: 2\n  contactMs: 3000\n  ackMs: 4000\n  catchUpS: 4\n  drainMs: 2000\n"
        << "  graceS: 6\n  lossSlackMs: 200\n  configApplyMs: 2000\n  rollbackSlackMs: 250\n  maxStretchMs: 5000\n"
        << "  recoveryS: 12\n  maxHoldMs: 6000\n  stopMs: 200\n  gangTimeoutMs: 3000\n  cancel_ms: 3000\n"
        << "  visible_ms: 3000\n  early_ms: 250\n  finish_s: 14\n  status_s: 120\n  remoteSlowdown: 3\n"
        << "  checkpointS: 2\n  restoreMs: 100\n  noticeMs: 4500\n  leaseMs: 3000\n  thawSlackMs: 300\n"
        << "orders: \"invoke\"\nadvice: \"127.0.0.1:9\"\n"
        << "platform:\n  address: \"" << daemon.storeAddress
        << "\"\n  form: \"kv\"\n  writesPerS: 400\n  readsPerS: 2000\n"
        << "  retentionS: 20\n  valueBytes: 1048576\n  ttlMinMs: 1000\n";
    return path;
}

void cell::start(daemon_process &daemon)
{
    const std::string settings = "SESAMESPAR_SETTINGS=" + writeSettings(daemon);
    const std::string log = m_folder + "/" + daemon.name + ".log";
    const std::string path = std::string("PATH=") + (std::getenv("PATH") == nullptr ? "" : std::getenv("PATH"));
    std::array<const char *, 3> arguments{"target/bin/sesamespard", "--platform", nullptr};
    std::array<const char *, 3> environment{settings.c_str(), path.c_str(), nullptr};
    daemon.pid = fork();
    if (daemon.pid == 0) {
        // The daemon ends with this program, also if that is killed.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        execve(
            arguments[0], const_cast<char *const *>(arguments.data()), const_cast<char *const *>(environment.data()));
        _exit(127);
    }
    m_record.write("platform starts " + daemon.name);
}

void cell::signal(daemon_process &daemon, int number)
{
    if (daemon.pid > 0) {
        m_record.write(std::string("platform sends signal ") + strsignal(number) + " to " + daemon.name);
        kill(daemon.pid, number);
    }
}

bool cell::waitForExit(daemon_process &daemon, int limitMs)
{
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(limitMs);
    while (daemon.pid > 0 && waitpid(daemon.pid, nullptr, WNOHANG) == 0) {
        if (std::chrono::steady_clock::now() >= until) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    daemon.pid = -1;
    m_record.write(daemon.name + " has ended");
    return true;
}

bool cell::isReady(const daemon_process &daemon)
{
    http_connection connection(daemon.ready);
    if (!connection.send("GET", "/sesamespar/ready", "127.0.0.1", "")) {
        return false;
    }
    const auto response = connection.receive(1000);
    return response && response->status == ok;
}

bool cell::waitUntilReady(int limitMs)
{
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(limitMs);
    while (!std::all_of(m_daemons.begin(), m_daemons.end(), isReady)) {
        if (std::chrono::steady_clock::now() >= until) {
            return false;
        }
        std::this_thread::sleep_for(pause);
    }
    return true;
}

void writeConfiguration(platform_store &store, int version, const std::vector<queue> &queues)
{
    std::string routes;
    std::string services;
    for (const queue &entry : queues) {
        routes += (routes.empty() ? "" : ",") + (R"({"name":")" + entry.name) + R"(","host":")" + entry.host
            + R"(","prefix":")" + entry.prefix + R"(","kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":1000,)"
            + R"("priority":)" + std::to_string(entry.priority) + R"(,"service":")" + entry.service
            + R"(","maxAttempts":)" + std::to_string(entry.maxAttempts) + R"(,"stretch":2.2})";
        if (services.find("\"" + entry.service + "\"") == std::string::npos) {
            services += (services.empty() ? "" : ",") + (R"({"name":")" + entry.service)
                + R"(","healthPath":"/health","maxConns":64,"protocol":"h1","tls":false,"enforcesCapacity":false,)"
                + R"("spare":false})";
        }
    }
    store.put("op/config",
              R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes + R"(],"services":[)" + services
                  + R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,)"
                  + R"("idleTimeoutMs":15000}})");
}

call_result callDaemon(const daemon_process &daemon,
                       const std::string &method,
                       const std::string &host,
                       const std::string &path,
                       const std::string &body,
                       int limitMs)
{
    http_connection connection(daemon.front);
    if (!connection.send(method, path, host, body)) {
        return {};
    }
    const auto response = connection.receive(limitMs);
    return response ? call_result{response->status, response->body} : call_result{};
}

std::string jobKey(std::uint64_t number)
{
    static const char digits[] = "0123456789abcdef";
    std::string key(16, '0');
    for (std::size_t index = 0; index < key.size(); ++index) {
        key[key.size() - 1 - index] = digits[(number >> (4 * index)) & 15U];
    }
    return key;
}

bool withTrouble()
{
    const char *trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::strcmp(trouble, "0") != 0;
}

} // namespace review
