// Case: a worker is cut off, crashes behind the cut and starts again under its id as another kind, while a start is
// repeated after the first one got no answer.
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
    startPlatform(cell,
                  {{"i-1", serviceName, "a", 4000, 8192},
                   {"i-2", serviceName, "b", 4000, 8192},
                   {"i-3", serviceName, "a", 4000, 8192},
                   {"i-4", serviceName, "b", 4000, 8192}});
    if (!startDaemons(cell, 3)) {
        finish(cell, 2);
    }
    // All tasks need label a. One task runs first, to see that the deployment works.
    const std::string first = "5c0e7a21d94b3600";
    if (request(cell.daemons[0], "POST", first, jobBody("booking 1", 1, 1000, 1000, "a"), 3000).status != 200) {
        finish(cell, 2);
    }
    sleepMs(3000);
    worker &target = *cell.workers[0];
    std::atomic<bool> armed = true;
    std::atomic<long long> polledAt = -1;
    target.onPoll = [&] {
        if (armed.exchange(false)) {
            polledAt = nowMs();
        }
    };
    armed = true;
    while (polledAt < 0) {
        sleepMs(1);
    }
    if (trouble) {
        target.cut(true);
    }
    const long long cutAt = nowMs();
    const std::string second = "5c0e7a21d94b3601";
    sleepMs(cutAt + 350 - nowMs());
    if (request(cell.daemons[1], "POST", second, jobBody("booking 2", 1, 1000, 1000, "a"), 3000).status != 200) {
        finish(cell, 2);
    }
    if (trouble) {
        // The first start was sent into the cut at about 390 ms and is repeated 400 ms later.
        sleepMs(cutAt + 400 - nowMs());
        target.crash();
        sleepMs(cutAt + 500 - nowMs());
        target.restart("b");
        sleepMs(cutAt + 700 - nowMs());
        target.cut(false);
    }
    sleepMs(cutAt + 12000 - nowMs());
    request(cell.daemons[2], "GET", second, "", 3000);
    const int breaks = countBreaks(cell, "a");
    finish(cell, breaks == 0 ? 0 : 1);
}
