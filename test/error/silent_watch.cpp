// Watches on the store that report nothing, because their channel has gone silent without a reset or because the store
// does not report changes for a while. Guards against a daemon that goes on acting on what it knew before, such as
// workers that have begun to drain since, or a leader that has left.
#include "connection/store_mirror.h"

#include <catch2/catch.hpp>

using namespace sesamespar;

namespace {

/// Shortest time after the loss of a channel from which on the platform expects a daemon to know what has changed.
constexpr milliseconds timeToNotice{3000};
/// Time of the calls that replace the watch, and of the work on their answers.
constexpr milliseconds replacement{200};

clock_reading readingAt(milliseconds at)
{
    return {time_point(at), utc_time(at.count()), time_point(at)};
}

/// A store whose listings answer at once and whose watches fail at their time limit.
struct silent_store {
    milliseconds now{0};
    std::size_t listings = 0;
    std::multimap<milliseconds, store_callback<store_page>> watches; ///< By the time at which they fail.
    store_port port;
};

void connectPort(silent_store &store)
{
    store.port.list = [&store](const auto &, const auto &, bool, milliseconds, const store_callback<store_page> &done) {
        ++store.listings;
        done(store_page{});
    };
    store.port.watch =
        [&store](const auto &, auto, milliseconds, milliseconds limit, const store_callback<store_page> &done) {
            store.watches.emplace(store.now + limit, done);
        };
}

/// Advances the time and runs what is due in each millisecond.
void runUntil(silent_store &store, mailbox &box, timer_service &timers, milliseconds end)
{
    for (; store.now < end; ++store.now) {
        while (!store.watches.empty() && store.watches.begin()->first <= store.now) {
            const auto done = std::move(store.watches.extract(store.watches.begin()).mapped());
            done(makeError(error_kind::Unknown, "timed out"));
        }
        while (!box.tasks.empty()) {
            const control_task task = std::move(box.tasks.front());
            box.tasks.pop_front();
            task(readingAt(store.now));
        }
        fireDue(timers, readingAt(store.now));
    }
}

} // namespace

TEST_CASE("a silent watch is replaced by a listing in time")
{
    // Starts on draining workers were sent 80 to 140 ms after that time.
    silent_store store;
    connectPort(store);
    mailbox box;
    timer_service timers;
    mirror_sink sink;
    sink.changed = [](const store_item &, const clock_reading &) {
    };
    sink.removed = [](const std::string &, const clock_reading &) {
    };
    sink.listed = [](const clock_reading &) {
    };
    const auto mirror = followPrefix(store.port, box, timers, "servers/", milliseconds(400), std::move(sink));
    runUntil(store, box, timers, timeToNotice - replacement);
    CHECK(store.listings >= 2);
    stopFollowing(*mirror);
}

namespace {

/// A store whose listing and watch the test answers, and the removals that a mirror of it reports.
struct manual_store {
    store_page listed;
    store_callback<store_page> watch;
    store_port port;
    mailbox box;
    timer_service timers;
    std::vector<std::string> removed;
    std::shared_ptr<store_mirror> mirror;
};

void runTasks(manual_store &store)
{
    while (!store.box.tasks.empty()) {
        const control_task task = std::move(store.box.tasks.front());
        store.box.tasks.pop_front();
        task(readingAt(milliseconds(0)));
    }
}

/// Answers the open watch; a failed watch is replaced by a listing.
void answerWatch(manual_store &store, const result<store_page> &page)
{
    std::exchange(store.watch, nullptr)(page);
    runTasks(store);
    fireDue(store.timers, readingAt(milliseconds(1000)));
    runTasks(store);
}

std::unique_ptr<manual_store> makeManualStore(store_page listed)
{
    auto store = std::make_unique<manual_store>();
    manual_store *const raw = store.get();
    raw->listed = std::move(listed);
    raw->port.list = [raw](const auto &, const auto &, bool, milliseconds, const store_callback<store_page> &done) {
        done(raw->listed);
    };
    raw->port.watch = [raw](const auto &, auto, milliseconds, milliseconds, const store_callback<store_page> &done) {
        raw->watch = done;
    };
    mirror_sink sink;
    sink.changed = [](const store_item &, const clock_reading &) {
    };
    sink.removed = [raw](const std::string &key, const clock_reading &) {
        raw->removed.push_back(key);
    };
    sink.listed = [](const clock_reading &) {
    };
    raw->mirror = followPrefix(raw->port, raw->box, raw->timers, "cell/", milliseconds(0), std::move(sink));
    runTasks(*raw);
    return store;
}

store_page pageAt(std::uint64_t revision)
{
    store_page page;
    page.storeRevision = store_revision(revision);
    return page;
}

const store_item learned{"cell/leader", "a 1", store_revision(8)};

} // namespace

TEST_CASE("the removal of an item that only another call has shown is reported by the next listing")
{
    const auto store = makeManualStore(pageAt(5));
    learnItem(*store->mirror, learned, readingAt(milliseconds(0)));
    store->listed = pageAt(9);
    answerWatch(*store, makeError(error_kind::NotFound, "the history is gone"));
    CHECK(store->removed == std::vector<std::string>{"cell/leader"});
}

TEST_CASE("an item that was removed before another call's reply arrived is not taken for present")
{
    const auto store = makeManualStore(pageAt(9));
    learnItem(*store->mirror, learned, readingAt(milliseconds(0)));
    store->listed = pageAt(10);
    answerWatch(*store, makeError(error_kind::NotFound, "the history is gone"));
    CHECK(store->removed.empty());
}

TEST_CASE("a late report of an earlier removal does not remove an item that another call has shown")
{
    const auto store = makeManualStore(pageAt(5));
    learnItem(*store->mirror, learned, readingAt(milliseconds(0)));
    store_page earlier = pageAt(7);
    earlier.removedKeys = {"cell/leader"};
    answerWatch(*store, earlier);
    CHECK(store->removed.empty());
    store_page later = pageAt(9);
    later.removedKeys = {"cell/leader"};
    answerWatch(*store, later);
    CHECK(store->removed == std::vector<std::string>{"cell/leader"});
}
