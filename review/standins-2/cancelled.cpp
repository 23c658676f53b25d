// Case: the answers of the store to the writes of a job are lost, and the first write is carried out seconds later. The
// requester is told that the outcome is unknown, cancels the job and is told that there is no such job.
#include "deployment.h"
#include "record.h"

#include <atomic>
#include <cstdlib>

using namespace review;

namespace {

/// Bound of the site for starts after an acknowledged cancellation.
constexpr long long cancelMs = 3000;

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
    const std::string key = "5c0e7a21d94b3601";
    std::atomic<int> lost = 0;
    cell.platform.loseTransaction = [&](const std::string &body) -> long long {
        if (!trouble || body.find("{\"key\":\"jobs/" + key + "\",\"value\"") == std::string::npos || lost >= 2) {
            return -1;
        }
        record("store loses the answer to a write of the job");
        return ++lost == 1 ? 5800 : 5400;
    };
    startPlatform(cell, {{"i-1", serviceName, "a", 4000, 8192}, {"i-2", serviceName, "b", 4000, 8192}});
    if (!startDaemons(cell, 3)) {
        finish(cell, 2);
    }
    const http_message posted = request(cell.daemons[0], "POST", key, jobBody("booking", 1, 1000, 1000, ""), 3000);
    if (posted.status != (trouble ? 504 : 200)) {
        finish(cell, 2);
    }
    const http_message cancelled = request(cell.daemons[1], "DELETE", key, "", 3000);
    const long long acknowledgedAt = nowMs();
    if (cancelled.status != 410 && cancelled.status / 100 != 2) {
        finish(cell, 2);
    }
    request(cell.daemons[2], "GET", key, "", 3000);
    sleepMs(12000);
    request(cell.daemons[2], "GET", key, "", 3000);
    int breaks = countBreaks(cell, "");
    {
        const std::lock_guard lock(cell.executions.mutex);
        for (const execution &entry : cell.executions.entries) {
            if (entry.startedAt > acknowledgedAt + cancelMs) {
                record("BREAK UNASKED task=" + entry.task + " started "
                       + std::to_string(entry.startedAt - acknowledgedAt)
                       + " ms after the cancellation was acknowledged with " + std::to_string(cancelled.status));
                ++breaks;
            }
        }
    }
    finish(cell, breaks == 0 ? 0 : 1);
}
