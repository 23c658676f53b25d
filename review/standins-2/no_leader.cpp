// Case: two machines leave for good, each while it leads, and the store forgets its history in between. The machines
// that stay take the second leader for present for ever.
#include "deployment.h"
#include "record.h"

#include <sys/wait.h>

#include <csignal>
#include <cstdlib>

using namespace review;

namespace {

const std::string leaderKey = "cell/leader";

/// Name of the daemon that the key of the leader names, or an empty string.
std::string leaderName(deployment &cell)
{
    const auto value = cell.platform.value(leaderKey);
    return value ? value->substr(0, value->find(' ')) : std::string();
}

daemon_process *findDaemon(deployment &cell, const std::string &name)
{
    for (daemon_process &daemon : cell.daemons) {
        if (daemon.name == name) {
            return &daemon;
        }
    }
    return nullptr;
}

/// Waits up to 5 s until the key is present or absent.
bool waitForLeader(deployment &cell, bool present)
{
    const long long until = nowMs() + 5000;
    while (leaderName(cell).empty() == present) {
        if (nowMs() > until) {
            return false;
        }
        sleepMs(1);
    }
    return true;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        return 2;
    }
    const char *value = std::getenv("TROUBLE");
    const bool trouble = value == nullptr || std::string(value) != "0";
    openRecord(argv[1]);
    deployment cell;
    cell.folder = argv[2];
    startPlatform(cell, {{"i-1", serviceName, "a", 4000, 8192}, {"i-2", serviceName, "b", 4000, 8192}});
    if (!startDaemons(cell, 5)) {
        finish(cell, 2);
    }
    const std::string first = "5c0e7a21d94b3600";
    if (request(cell.daemons[0], "POST", first, jobBody("booking 1", 1, 1000, 1000, ""), 3000).status != 200) {
        finish(cell, 2);
    }
    sleepMs(3000);
    if (trouble) {
        daemon_process *leader = findDaemon(cell, leaderName(cell));
        if (leader == nullptr) {
            finish(cell, 2);
        }
        record("daemon " + leader->name + " is removed without SIGTERM");
        kill(leader->pid, SIGKILL);
        waitpid(leader->pid, nullptr, 0);
        leader->pid = -1;
        if (!waitForLeader(cell, false)) {
            finish(cell, 2);
        }
        record("store removes the key of the leader, whose lease has ended");
        sleepMs(100);
        cell.platform.compact(1000);
        if (!waitForLeader(cell, true)) {
            finish(cell, 2);
        }
        daemon_process *next = findDaemon(cell, leaderName(cell));
        if (next == nullptr) {
            finish(cell, 2);
        }
        record("daemon " + next->name + " leads");
        sleepMs(450);
        record("daemon " + next->name + " gets SIGTERM and is removed");
        kill(next->pid, SIGTERM);
        waitpid(next->pid, nullptr, 0);
        next->pid = -1;
    }
    sleepMs(4000);
    // Beyond contactMs after the last disruption. Requesters hand in a job through each machine that is left.
    std::vector<std::string> keys;
    daemon_process *left = nullptr;
    for (daemon_process &daemon : cell.daemons) {
        if (daemon.pid <= 0) {
            continue;
        }
        left = &daemon;
        keys.push_back("5c0e7a21d94b361" + std::to_string(keys.size()));
        request(daemon, "POST", keys.back(), jobBody("booking", 1, 500, 1000, ""), 3000);
    }
    // finish_s is 14 s.
    const long long until = nowMs() + 30000;
    while (nowMs() < until && trouble) {
        sleepMs(5000);
        record("store key of the leader: " + (leaderName(cell).empty() ? "absent" : leaderName(cell)));
    }
    sleepMs(trouble ? 0 : 15000);
    int breaks = countBreaks(cell, "");
    for (const std::string &key : keys) {
        const http_message state = request(*left, "GET", key, "", 3000);
        if (state.body.find("completed") == std::string::npos) {
            record("BREAK LOST job " + key + " was accepted and does not run: " + state.body);
            ++breaks;
        }
    }
    finish(cell, breaks == 0 ? 0 : 1);
}
