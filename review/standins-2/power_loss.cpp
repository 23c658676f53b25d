// Case: the leading daemon loses power again and again, one at a time. A worker accepts 64 connections, as the
// operator's configuration says, and the connections of a machine without power stay open at its end.
#include "deployment.h"
#include "record.h"

#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <random>
#include <thread>

using namespace review;

namespace {

constexpr int daemonCount = 7;
constexpr int workerCount = 8;
constexpr long long cpuPerWorker = 16000;
constexpr long long cpuPerTask = 1000;
/// `maxConns` of the service in the operator's configuration.
constexpr int channelsPerWorker = 64;
constexpr long long trafficLength = 62000;
constexpr long long lastLossBeforeEnd = 4000;
constexpr long long pauseBetweenLosses = 2300;
/// Time for which a machine without power is dark (`for_s`).
constexpr long long dark = 3500;
/// Time after the kill in which the ends of connections belong to the machine that lost power.
constexpr long long powerLossWindow = 25;
/// `finish_s`.
constexpr long long finishTime = 14000;
/// A job may have nothing running for this long.
constexpr long long idleAllowed = 3000;
constexpr int senders = 16;
constexpr long long senderPause = 530;

/// Passes connections on to a worker and bounds their number.
struct worker_door {
    int listener = -1;
    int port = 0;
    std::atomic<int> target = 0; ///< Port of the worker.
    std::atomic<int> open = 0;
    std::atomic<int> leftOpen = 0; ///< Connections of machines that lost power; they count as open for good.
    std::atomic<int> refused = 0;
};

/// Until this time connections that end on the daemons' side stay open on the workers' side.
std::atomic<long long> powerLossUntil = 0;

bool passOn(int from, int to)
{
    std::array<char, 16384> buffer{};
    const ssize_t count = recv(from, buffer.data(), buffer.size(), 0);
    ssize_t sent = 0;
    while (sent < count) {
        const ssize_t part = send(to, buffer.data() + sent, static_cast<std::size_t>(count - sent), MSG_NOSIGNAL);
        if (part <= 0) {
            return false;
        }
        sent += part;
    }
    return count > 0;
}

void serveConnection(worker_door &door, int daemon, int worker)
{
    std::array<pollfd, 2> ends{pollfd{daemon, POLLIN, 0}, pollfd{worker, POLLIN, 0}};
    bool both = true;
    while (both) {
        poll(ends.data(), ends.size(), -1);
        if (ends[0].revents != 0) {
            both = passOn(daemon, worker);
        } else if (ends[1].revents != 0) {
            both = passOn(worker, daemon);
        }
    }
    close(daemon);
    if (nowMs() < powerLossUntil) {
        ++door.leftOpen;
        return;
    }
    close(worker);
    --door.open;
}

void reset(int socket)
{
    const linger now{1, 0};
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    close(socket);
}

void acceptConnections(worker_door &door)
{
    while (true) {
        const int accepted = accept4(door.listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) {
            continue;
        }
        const int worker = door.open < channelsPerWorker ? connectToLoopback(door.target) : -1;
        if (worker < 0) {
            ++door.refused;
            reset(accepted);
            continue;
        }
        ++door.open;
        std::thread(serveConnection, std::ref(door), accepted, worker).detach();
    }
}

struct sent_job {
    std::string key;
    int tasks = 0;
    bool completed = false;
    long long idleSince = -1; ///< Since when nothing of it runs although there is room; -1 if something does.
};

struct job_list {
    std::mutex mutex;
    std::vector<sent_job> accepted;
};

/// A copy of the daemons for the requesters, with a flag for those that have power.
struct requester_view {
    std::vector<daemon_process> daemons;
    std::array<std::atomic<bool>, daemonCount> powered{};
};

const daemon_process *choose(const requester_view &view, std::mt19937 &random)
{
    for (int tries = 0; tries < 100; ++tries) {
        const std::size_t index = random() % view.daemons.size();
        if (view.powered.at(index)) {
            return &view.daemons[index];
        }
    }
    return nullptr;
}

void sendJobs(const requester_view &view, job_list &jobs, int sender, long long until)
{
    std::mt19937 random(static_cast<unsigned>(sender) + 1);
    for (int number = 0; nowMs() < until; ++number) {
        std::string key = std::to_string(1000000 + sender * 10000 + number);
        key.insert(0, 16 - key.size(), '5');
        const int tasks = 1 + static_cast<int>(random() % 4);
        const std::string body = jobBody("booking " + key, tasks, cpuPerTask, 700, "");
        for (int attempt = 0; attempt < 5; ++attempt) {
            const daemon_process *daemon = choose(view, random);
            if (daemon != nullptr && request(*daemon, "POST", key, body, 3000).status == 200) {
                const std::lock_guard lock(jobs.mutex);
                jobs.accepted.push_back({key, tasks});
                break;
            }
            sleepMs(500);
        }
        sleepMs(senderPause);
    }
}

/// Asks for the state of every job that was not shown as completed yet.
void askForJobs(const requester_view &view, job_list &jobs)
{
    std::atomic<std::size_t> next = 0;
    std::vector<std::thread> threads;
    threads.reserve(senders);
    for (int number = 0; number < senders; ++number) {
        threads.emplace_back([&, number] {
            std::mt19937 random(static_cast<unsigned>(number) + 100);
            for (std::size_t index = next++; index < jobs.accepted.size(); index = next++) {
                sent_job &job = jobs.accepted[index];
                const daemon_process *daemon = job.completed ? nullptr : choose(view, random);
                if (daemon != nullptr) {
                    const http_message state = request(*daemon, "GET", job.key, "", 3000);
                    job.completed = state.body.find("completed") != std::string::npos;
                }
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
}

/// Notes which jobs have nothing running although all their tasks fit twice over and under half of the capacity is in
/// use.
void noteIdle(deployment &cell, job_list &jobs)
{
    std::map<std::string, int> running;
    std::map<std::string, long long> used;
    long long total = 0;
    {
        const std::lock_guard lock(cell.executions.mutex);
        for (const execution &entry : cell.executions.entries) {
            if (entry.endedAt < 0) {
                ++running[entry.task.substr(0, entry.task.find('.'))];
                used[entry.worker] += cpuPerTask;
                total += cpuPerTask;
            }
        }
    }
    long long fits = 0;
    for (const auto &worker : cell.workers) {
        fits += (cpuPerWorker - used[worker->id()]) / cpuPerTask;
    }
    const bool halfFree = total * 2 < cpuPerWorker * workerCount;
    for (sent_job &job : jobs.accepted) {
        const bool room = halfFree && fits >= 2LL * job.tasks;
        if (job.completed || !room || running.contains(job.key)) {
            job.idleSince = -1;
        } else if (job.idleSince < 0) {
            job.idleSince = nowMs();
        }
    }
}

/// Starts the daemons again whose dark time is over.
void restorePower(deployment &cell, requester_view &view, std::array<long long, daemonCount> &darkUntil)
{
    for (std::size_t index = 0; index < cell.daemons.size(); ++index) {
        if (cell.daemons[index].pid <= 0 && nowMs() >= darkUntil.at(index)) {
            startDaemon(cell, cell.daemons[index]);
            view.powered.at(index) = true;
        }
    }
}

/// Takes the power from the daemon that leads, if one does. Returns true if it did.
bool losePower(deployment &cell, requester_view &view, std::array<long long, daemonCount> &darkUntil)
{
    const auto value = cell.platform.value("cell/leader");
    const std::string name = value ? value->substr(0, value->find(' ')) : std::string();
    for (std::size_t index = 0; index < cell.daemons.size(); ++index) {
        daemon_process &daemon = cell.daemons[index];
        if (daemon.name == name && daemon.pid > 0) {
            record("daemon " + name + " leads and loses power");
            view.powered.at(index) = false;
            powerLossUntil = nowMs() + powerLossWindow;
            kill(daemon.pid, SIGKILL);
            waitpid(daemon.pid, nullptr, 0);
            daemon.pid = -1;
            darkUntil.at(index) = nowMs() + dark;
            return true;
        }
    }
    return false;
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
    std::array<worker_door, workerCount> doors;
    std::vector<worker_options> options;
    for (int number = 0; number < workerCount; ++number) {
        worker_door &door = doors.at(static_cast<std::size_t>(number));
        std::tie(door.listener, door.port) = listenOnLoopback();
        options.push_back({"i-" + std::to_string(number + 1), serviceName, "a", cpuPerWorker, 32768, door.port});
        std::thread(acceptConnections, std::ref(door)).detach();
    }
    startPlatform(cell, options);
    for (std::size_t index = 0; index < cell.workers.size(); ++index) {
        doors.at(index).target = cell.workers[index]->port();
        cell.workers[index]->workOf = [](const std::string &task) {
            return 350 + static_cast<long long>(std::hash<std::string>()(task) % 700);
        };
    }
    if (!startDaemons(cell, daemonCount)) {
        finish(cell, 2);
    }
    requester_view view;
    view.daemons = cell.daemons;
    std::fill(view.powered.begin(), view.powered.end(), true);
    job_list jobs;
    const long long end = nowMs() + trafficLength;
    std::vector<std::thread> threads;
    threads.reserve(senders);
    for (int sender = 0; sender < senders; ++sender) {
        threads.emplace_back(sendJobs, std::cref(view), std::ref(jobs), sender, end);
    }
    std::array<long long, daemonCount> darkUntil{};
    int losses = 0;
    long long nextLoss = nowMs() + pauseBetweenLosses;
    while (nowMs() < end) {
        restorePower(cell, view, darkUntil);
        if (trouble && nowMs() >= nextLoss && nowMs() < end - lastLossBeforeEnd && losePower(cell, view, darkUntil)) {
            ++losses;
            nextLoss = nowMs() + pauseBetweenLosses;
        }
        sleepMs(10);
    }
    record("traffic ends after " + std::to_string(losses) + " losses of power");
    for (std::thread &thread : threads) {
        thread.join();
    }
    sleepMs(end + finishTime - nowMs());
    askForJobs(view, jobs);
    const long long judged = nowMs() + idleAllowed + 500;
    while (nowMs() < judged) {
        noteIdle(cell, jobs);
        sleepMs(50);
    }
    askForJobs(view, jobs);
    int breaks = 0;
    for (const sent_job &job : jobs.accepted) {
        if (!job.completed && job.idleSince >= 0 && nowMs() - job.idleSince >= idleAllowed) {
            record("BREAK LOST job " + job.key + " was accepted and has nothing running for 3 s");
            ++breaks;
        }
    }
    for (const worker_door &door : doors) {
        record("worker at port " + std::to_string(door.port) + ": connections " + std::to_string(door.open)
               + ", of machines without power " + std::to_string(door.leftOpen) + ", reset above the limit "
               + std::to_string(door.refused));
    }
    record("accepted " + std::to_string(jobs.accepted.size()) + ", lost " + std::to_string(breaks));
    finish(cell, jobs.accepted.empty() ? 2 : breaks == 0 ? 0 : 1);
}
