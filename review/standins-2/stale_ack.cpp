// Case: a worker is cut off right after it has answered a poll, crashes behind the cut and starts again under its id.
// The next poll was sent into the cut; it still names the ends that the earlier incarnation had listed.
#include "deployment.h"
#include "record.h"

#include <atomic>
#include <cstdlib>

using namespace review;

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
    for (const auto &each : cell.workers) {
        each->workOf = [](const std::string &) {
            return 400;
        };
    }
    if (!startDaemons(cell, 3)) {
        finish(cell, 2);
    }
    // One task runs first, so that the leader has seen an end of the worker.
    const std::string first = "5c0e7a21d94b3600";
    if (request(cell.daemons[0], "POST", first, jobBody("booking 1", 1, 1000, 400, "a"), 3000).status != 200) {
        finish(cell, 2);
    }
    sleepMs(3000);
    worker &target = *cell.workers[0];
    std::atomic<bool> armed = true;
    std::atomic<long long> cutAt = -1;
    target.cutAfterPoll = [&] {
        if (!armed.exchange(false)) {
            return false;
        }
        cutAt = nowMs();
        return trouble;
    };
    while (cutAt < 0) {
        sleepMs(1);
    }
    const std::string second = "5c0e7a21d94b3601";
    sleepMs(cutAt + 250 - nowMs());
    if (request(cell.daemons[1], "POST", second, jobBody("booking 2", 1, 1000, 400, "a"), 3000).status != 200) {
        finish(cell, 2);
    }
    if (trouble) {
        sleepMs(cutAt + 350 - nowMs());
        target.crash();
        sleepMs(cutAt + 550 - nowMs());
        target.restart("a");
        sleepMs(cutAt + 650 - nowMs());
        target.cut(false);
    }
    sleepMs(cutAt + 12000 - nowMs());
    request(cell.daemons[2], "GET", second, "", 3000);
    finish(cell, countBreaks(cell, "a") == 0 ? 0 : 1);
}
