#include "connection/store_mirror.h"

#include "base/error_boundary.h"
#include "base/log.h"

#include <set>

namespace sesamespar {

namespace {

/// Wait of one watch. Short, because a watch may stop reporting while its connection stays open: with the grace and the
/// pause before the listing that replaces it, the time is below 3 s, the shortest after which the platform expects a
/// daemon to act on what it missed.
constexpr milliseconds watchWait{1500};
/// Time beyond its wait after which a watch is considered lost.
constexpr milliseconds watchGrace{1000};
constexpr milliseconds listLimit{2000};
/// Pause before the retry of a failed call.
constexpr milliseconds retryPause{100};
/// Period of full listings, which find changes that a watch did not report.
constexpr std::chrono::seconds relistPeriod{10};

} // namespace

struct store_mirror : std::enable_shared_from_this<store_mirror> {
    store_mirror(const store_port &storePort, mailbox &controlBox, timer_service &timerService)
        : store(storePort)
        , box(controlBox)
        , timers(timerService)
    {
    }

    const store_port &store;
    mailbox &box;
    timer_service &timers;
    std::string prefix;
    milliseconds pause{0};
    mirror_sink sink;
    bool stopped = false;
    bool lost = false; ///< The last call failed.
    timer next;
    time_point listedAt;
    store_revision revision; ///< All changes up to this revision have been applied.
    std::map<std::string, store_revision> known;

    // State of the listing in progress.
    std::set<std::string> listing;
    store_revision listingFrom;
};

namespace {

void list(const std::shared_ptr<store_mirror> &mirror, const std::string &after);
void watch(const std::shared_ptr<store_mirror> &mirror);

void schedule(const std::shared_ptr<store_mirror> &mirror,
              time_point due,
              void (*step)(const std::shared_ptr<store_mirror> &))
{
    mirror->next.fire = [weak = mirror->weak_from_this(), step](const clock_reading &) {
        if (const auto self = weak.lock(); self && !self->stopped) {
            step(self);
        }
    };
    subscribe(mirror->timers, mirror->next, due);
}

void listAll(const std::shared_ptr<store_mirror> &mirror)
{
    mirror->listing.clear();
    list(mirror, {});
}

void handleItem(store_mirror &mirror, const store_item &item, const clock_reading &now)
{
    store_revision &known = mirror.known[item.key];
    if (known < item.revision) {
        known = item.revision;
        runContained("store_entry", item.key, [&] { mirror.sink.changed(item, now); });
    }
}

/// Handles a removal at or before the revision `upTo`. An item that was learned at a later revision stays.
void handleRemoval(store_mirror &mirror, const std::string &key, store_revision upTo, const clock_reading &now)
{
    const auto found = mirror.known.find(key);
    if (found != mirror.known.end() && found->second <= upTo) {
        mirror.known.erase(found);
        runContained("store_removal", key, [&] { mirror.sink.removed(key, now); });
    }
}

void markAnswered(store_mirror &mirror)
{
    if (mirror.lost) {
        mirror.lost = false;
        log_event("store_regained").with("prefix", mirror.prefix);
    }
}

void markLost(store_mirror &mirror, const error &fault)
{
    if (!mirror.lost) {
        mirror.lost = true;
        log_event("store_lost", log_level::Warning).with("prefix", mirror.prefix).with("problem", fault.message);
    }
}

void finishListing(const std::shared_ptr<store_mirror> &mirror, const clock_reading &now)
{
    std::vector<std::string> vanished;
    for (const auto &entry : mirror->known) {
        if (!mirror->listing.contains(entry.first)) {
            vanished.push_back(entry.first);
        }
    }
    for (const std::string &key : vanished) {
        handleRemoval(*mirror, key, mirror->listingFrom, now);
    }
    mirror->revision = mirror->listingFrom;
    mirror->listedAt = now.uptime;
    runContained("store_listing", mirror->prefix, [&] { mirror->sink.listed(now); });
    if (!mirror->stopped) {
        watch(mirror);
    }
}

void handleListPage(const std::shared_ptr<store_mirror> &mirror,
                    const std::string &after,
                    const result<store_page> &page,
                    const clock_reading &now)
{
    if (mirror->stopped) {
        return;
    }
    if (!page) {
        markLost(*mirror, page.error());
        schedule(mirror, now.monotonic + retryPause, listAll);
        return;
    }
    markAnswered(*mirror);
    if (after.empty()) {
        mirror->listingFrom = page.value().storeRevision;
    }
    for (const store_item &item : page.value().items) {
        mirror->listing.insert(item.key);
        handleItem(*mirror, item, now);
        if (mirror->stopped) {
            return;
        }
    }
    if (page.value().truncated && !page.value().items.empty()) {
        list(mirror, page.value().items.back().key);
    } else {
        finishListing(mirror, now);
    }
}

void list(const std::shared_ptr<store_mirror> &mirror, const std::string &after)
{
    mirror->store.list(
        mirror->prefix,
        after,
        false,
        listLimit,
        onControlThread(mirror->box, [mirror, after](const result<store_page> &page, const clock_reading &now) {
            handleListPage(mirror, after, page, now);
        }));
}

void handleWatchPage(const std::shared_ptr<store_mirror> &mirror,
                     const result<store_page> &page,
                     const clock_reading &now)
{
    if (mirror->stopped) {
        return;
    }
    if (!page) {
        if (page.error().kind == error_kind::NotFound) {
            log_event("store_history_lost", log_level::Warning).with("prefix", mirror->prefix);
        } else {
            markLost(*mirror, page.error());
        }
        schedule(mirror, now.monotonic + retryPause, listAll);
        return;
    }
    markAnswered(*mirror);
    for (const store_item &item : page.value().items) {
        handleItem(*mirror, item, now);
    }
    for (const std::string &key : page.value().removedKeys) {
        handleRemoval(*mirror, key, page.value().storeRevision, now);
    }
    if (mirror->stopped) {
        return;
    }
    mirror->revision = std::max(mirror->revision, page.value().storeRevision);
    if (now.uptime >= mirror->listedAt + relistPeriod) {
        listAll(mirror);
    } else if (mirror->pause.count() > 0) {
        schedule(mirror, now.monotonic + mirror->pause, watch);
    } else {
        watch(mirror);
    }
}

void watch(const std::shared_ptr<store_mirror> &mirror)
{
    mirror->store.watch(
        mirror->prefix,
        mirror->revision,
        watchWait,
        watchWait + watchGrace,
        onControlThread(mirror->box, [mirror](const result<store_page> &page, const clock_reading &now) {
            handleWatchPage(mirror, page, now);
        }));
}

} // namespace

std::shared_ptr<store_mirror> followPrefix(const store_port &store,
                                           mailbox &box,
                                           timer_service &timers,
                                           std::string prefix,
                                           milliseconds pause,
                                           mirror_sink sink)
{
    auto mirror = std::make_shared<store_mirror>(store, box, timers);
    mirror->prefix = std::move(prefix);
    mirror->pause = pause;
    mirror->sink = std::move(sink);
    listAll(mirror);
    return mirror;
}

void learnItem(store_mirror &mirror, const store_item &item, const clock_reading &now)
{
    // If the mirror does not know an item that is not later than its revision, the item has been removed since.
    if (!mirror.stopped && item.revision > mirror.revision) {
        handleItem(mirror, item, now);
    }
}

void stopFollowing(store_mirror &mirror)
{
    mirror.stopped = true;
    unsubscribe(mirror.next);
}

std::shared_ptr<void> untilDropped(std::shared_ptr<store_mirror> mirror)
{
    store_mirror *raw = mirror.get();
    return {raw, [kept = std::move(mirror)](store_mirror *) {
                stopFollowing(*kept);
            }};
}

} // namespace sesamespar
