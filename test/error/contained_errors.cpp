// Unexpected errors in the handling of single items. Guards against one malformed message, store entry or timer that
// ends the whole daemon or stops its further work, and against a crash that leaves no trace.
#include "../fixtures/cell_simulation.h"
#include "base/crash_report.h"
#include "connection/store_mirror.h"

#include <sys/wait.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <stdexcept>

using namespace sesamespar;
using namespace sesamespar::fixture;

namespace {

clock_reading readingAt(std::int64_t ms)
{
    return {time_point(milliseconds(ms)), utc_time(ms), time_point(milliseconds(ms))};
}

/// Returns what a child process writes that reports crashes and then runs `crash`.
template<typename Crash>
std::string outputOfCrash(Crash crash)
{
    int ends[2];
    REQUIRE(pipe(ends) == 0);
    const pid_t child = fork();
    if (child == 0) {
        for (const int signal : {SIGSEGV, SIGABRT}) {
            std::signal(signal, SIG_DFL); // The test framework has handlers of its own.
        }
        reportCrashes(ends[1]);
        crash();
        _exit(0);
    }
    close(ends[1]);
    std::string output;
    char buffer[512];
    for (ssize_t count = 0; (count = read(ends[0], buffer, sizeof(buffer))) > 0;) {
        output.append(buffer, static_cast<std::size_t>(count));
    }
    close(ends[0]);
    int status = 0;
    waitpid(child, &status, 0);
    CHECK(WIFSIGNALED(status));
    return output;
}

} // namespace

TEST_CASE("tasks and timers after one that throws still run")
{
    timer_service timers;
    timer failing;
    timer later;
    int ran = 0;
    int errors = 0;
    failing.fire = [](const clock_reading &) {
        throw std::runtime_error("timer");
    };
    later.fire = [&ran](const clock_reading &) {
        ++ran;
    };
    subscribe(timers, failing, time_point(milliseconds(1)));
    subscribe(timers, later, time_point(milliseconds(2)));
    std::deque<control_task> tasks;
    tasks.emplace_back([](const clock_reading &) { throw std::runtime_error("task"); });
    tasks.emplace_back([&ran](const clock_reading &) { ++ran; });
    mailbox_handlers handlers;
    handlers.afterBatch = [&ran](const clock_reading &) {
        ++ran;
    };
    handlers.onError = [&errors](const clock_reading &) {
        ++errors;
    };
    runBatch(tasks, timers, handlers, [] { return readingAt(5); });
    CHECK(ran == 3);
    CHECK(errors == 2);
}

TEST_CASE("an unexpected error ends the term, and the next leader completes all jobs")
{
    simulated_cell cell(simulated_cell_settings{});
    runFor(cell, 2000);
    REQUIRE(leaderOf(cell));
    const std::size_t leader = *leaderOf(cell);
    const fencing_token fence = cell.daemons[leader]->daemon->leader->fence;
    submitJob(cell, 0, makeJobKey(1), makeOneStepJob(2, 1, "3000"));
    runFor(cell, 300);
    post(cell.daemons[leader]->context->box, [](const clock_reading &) { throw std::bad_alloc(); });
    submitJob(cell, leader, makeJobKey(2), makeOneStepJob(2, 1, "500"));
    CHECK(runUntil(cell, 10000, [&] {
        return storedPhase(cell, makeJobKey(1)) == job_phase::Completed
            && storedPhase(cell, makeJobKey(2)) == job_phase::Completed;
    }));
    REQUIRE(leaderOf(cell));
    CHECK(cell.daemons[*leaderOf(cell)]->daemon->leader->fence > fence);
    CHECK(cell.daemons[leader]->alive);
    CHECK(cell.jobs[makeJobKey(1)].starts == 2);
    CHECK(cell.violations.empty());
}

TEST_CASE("a store entry whose handling throws does not stop the entries after it")
{
    store_port store;
    store_callback<store_page> watch;
    store.list = [](const auto &, const auto &, bool, milliseconds, const store_callback<store_page> &done) {
        store_page page;
        page.items = {{"p/1", "bad", store_revision(1)}, {"p/2", "good", store_revision(2)}};
        page.storeRevision = store_revision(2);
        done(page);
    };
    store.watch = [&watch](const auto &, auto, milliseconds, milliseconds, const store_callback<store_page> &done) {
        watch = done;
    };
    mailbox box;
    timer_service timers;
    std::vector<std::string> handled;
    mirror_sink sink;
    sink.changed = [&handled](const store_item &item, const clock_reading &) {
        if (item.value == "bad") {
            throw std::invalid_argument(item.key);
        }
        handled.push_back(item.key);
    };
    sink.removed = [](const std::string &, const clock_reading &) {
        throw std::invalid_argument("removal");
    };
    sink.listed = [](const clock_reading &) {
    };
    const auto mirror = followPrefix(store, box, timers, "p/", milliseconds(0), std::move(sink));
    const auto runAll = [&] {
        while (!box.tasks.empty()) {
            std::deque<control_task> tasks = std::exchange(box.tasks, {});
            for (control_task &task : tasks) {
                task(readingAt(10));
            }
        }
    };
    runAll();
    CHECK(handled == std::vector<std::string>{"p/2"});
    REQUIRE(watch);
    store_page change;
    change.items = {{"p/3", "bad", store_revision(3)}, {"p/4", "good", store_revision(4)}};
    change.removedKeys = {"p/1"};
    change.storeRevision = store_revision(5);
    std::exchange(watch, nullptr)(change);
    runAll();
    CHECK(handled == std::vector<std::string>{"p/2", "p/4"});
    CHECK(watch);
    stopFollowing(*mirror);
}

TEST_CASE("a crash writes one line with its signal and its stack")
{
    const std::string segfault = outputOfCrash([] { raise(SIGSEGV); });
    CHECK(segfault.find("event=crash signal=11 stack=") != std::string::npos);
    CHECK(segfault.find("+0x") != std::string::npos);
    const std::string terminated = outputOfCrash([] { std::terminate(); });
    CHECK(terminated.find("event=crash signal=6 stack=") != std::string::npos);
}
