#include "term/journal.h"

#include "base/log.h"

#include <algorithm>
#include <sstream>

namespace sesamespar {

namespace {

// Limits one write to about 200 KB with records of average size.
constexpr std::size_t maxPutsPerCall = 256;

// No configured team can have this name, because team names begin with a letter or a digit.
const job_id markerId{team_id("_system"), idempotency_key("copy-marker")};

// A copy is useful to the next leader only on a worker that has not lost it and that this leader can write to, now
// or after a short loss of the lease.
bool isUsable(leader &state, const record_copy &copy)
{
    const worker *target = findWorker(state.table, copy.worker);
    return target != nullptr && target->listed && target->phase == worker_phase::Ready && !target->copiesReplaced;
}

std::vector<worker *> candidates(leader &state, time_point now)
{
    std::vector<worker *> found;
    for (auto &[name, target] : state.table.workers) {
        if (isPlaceable(target, now)) {
            found.push_back(&target);
        }
    }
    return found;
}

worker *pickOutsideRack(leader &state, std::vector<worker *> &from, const rack_id *avoided)
{
    std::vector<worker *> allowed;
    std::copy_if(from.begin(), from.end(), std::back_inserter(allowed), [avoided](const worker *target) {
        return avoided == nullptr || target->entry.rack != *avoided;
    });
    if (allowed.empty()) {
        return nullptr;
    }
    std::uniform_int_distribution<std::size_t> choice(0, allowed.size() - 1);
    return allowed.at(choice(state.random));
}

// All jobs of one pass use the same pair of workers, so that their records are written with two calls.
bool pairStillUsable(leader &state, time_point now)
{
    return state.recordPair.size() == 2
        && std::all_of(state.recordPair.begin(), state.recordPair.end(), [&](const worker_id &name) {
               const worker *target = findWorker(state.table, name);
               return target != nullptr && isPlaceable(*target, now);
           });
}

bool choosePair(leader &state, time_point now)
{
    if (pairStillUsable(state, now)) {
        return true;
    }
    state.recordPair.clear();
    std::vector<worker *> all = candidates(state, now);
    const worker *first = pickOutsideRack(state, all, nullptr);
    const worker *second = first == nullptr ? nullptr : pickOutsideRack(state, all, &first->entry.rack);
    if (second == nullptr) {
        return false;
    }
    state.recordPair = {first->entry.name, second->entry.name};
    return true;
}

void queuePut(leader &state, job &subject, record_copy &copy)
{
    worker *target = findWorker(state.table, copy.worker);
    if (copy.queued || target == nullptr) {
        return;
    }
    copy.queued = true;
    target->queuedPuts.push_back(subject.record.request.id);
    state.dirtyWorkers.insert(copy.worker);
}

record_copy *copyOn(job &subject, const worker_id &name)
{
    const auto found = std::find_if(
        subject.copies.begin(), subject.copies.end(), [&](const record_copy &copy) { return copy.worker == name; });
    return found == subject.copies.end() ? nullptr : &*found;
}

void requeueSent(leader &state, worker &target)
{
    for (const record_put &put : target.sentPuts) {
        const job_ptr subject = findJob(state.jobs, put.job);
        record_copy *copy = subject ? copyOn(*subject, target.entry.name) : nullptr;
        if (copy != nullptr) {
            queuePut(state, *subject, *copy);
        }
    }
    target.queuedDrops.insert(target.queuedDrops.end(), target.sentDrops.begin(), target.sentDrops.end());
    target.sentPuts.clear();
    target.sentDrops.clear();
    target.markerQueued = target.markerQueued || target.markerSent;
    target.markerSent = false;
    state.dirtyWorkers.insert(target.entry.name);
}

void confirmSent(leader &state, worker &target)
{
    for (const record_put &put : target.sentPuts) {
        const job_ptr subject = findJob(state.jobs, put.job);
        record_copy *copy = subject ? copyOn(*subject, target.entry.name) : nullptr;
        if (copy != nullptr) {
            copy->written = std::max(copy->written, put.revision);
            state.dirtyJobs.insert(put.job);
        }
    }
    target.sentPuts.clear();
    target.sentDrops.clear();
    target.markerSent = false;
}

std::string formatHolders(const std::map<worker_id, rack_id> &holders)
{
    std::string text;
    for (const auto &[name, rack] : holders) {
        text += name.value + ' ' + rack.value + '\n';
    }
    return text;
}

write_records_request takeQueued(leader &state, worker &target)
{
    write_records_request request;
    request.token = {target.epoch, state.holder, target.instance};
    const std::size_t count = std::min(target.queuedPuts.size(), maxPutsPerCall);
    for (std::size_t index = 0; index < count; ++index) {
        const job_ptr subject = findJob(state.jobs, target.queuedPuts.at(index));
        record_copy *copy = subject ? copyOn(*subject, target.entry.name) : nullptr;
        if (copy == nullptr) {
            continue;
        }
        copy->queued = false;
        request.put.push_back(subject->record);
        target.sentPuts.push_back({subject->record.request.id, subject->record.revision});
    }
    target.queuedPuts.erase(target.queuedPuts.begin(), target.queuedPuts.begin() + static_cast<std::ptrdiff_t>(count));
    request.drop.swap(target.queuedDrops);
    target.sentDrops = request.drop;
    if (target.markerQueued) {
        job_record marker;
        marker.request.id = markerId;
        marker.request.work = work_id("copy-marker");
        marker.request.payload = formatHolders(state.markedHolders);
        marker.revision = {state.epoch, ++state.recordCounter};
        request.put.push_back(std::move(marker));
        target.markerQueued = false;
        target.markerSent = true;
    }
    return request;
}

bool chooseCopies(leader &state, job &subject, time_point now)
{
    auto &copies = subject.copies;
    copies.erase(
        std::remove_if(copies.begin(), copies.end(), [&](const record_copy &copy) { return !isUsable(state, copy); }),
        copies.end());
    if (copies.empty()) {
        if (!choosePair(state, now)) {
            return false;
        }
        copies.push_back({state.recordPair.at(0), {}, false});
        copies.push_back({state.recordPair.at(1), {}, false});
    } else if (copies.size() == 1) {
        std::vector<worker *> all = candidates(state, now);
        const rack_id rack = findWorker(state.table, copies.front().worker)->entry.rack;
        const worker *second = pickOutsideRack(state, all, &rack);
        if (second == nullptr) {
            return false;
        }
        copies.push_back({second->entry.name, {}, false});
    }
    for (record_copy &copy : copies) {
        if (copy.written < subject.record.revision) {
            queuePut(state, subject, copy);
        }
    }
    return true;
}

std::map<worker_id, rack_id> parseHolders(const std::string &text)
{
    std::map<worker_id, rack_id> holders;
    std::istringstream lines(text);
    std::string name;
    std::string rack;
    while (lines >> name >> rack) {
        holders.emplace(worker_id(name), rack_id(rack));
    }
    return holders;
}

bool hasBothCopies(const job &subject)
{
    return durableRevision(subject).epoch.value != 0;
}

} // namespace

bool isCopyMarker(const job_record &record)
{
    return record.request.id == markerId;
}

void mergeCopyMarker(leader &state, const job_record &marker)
{
    if (marker.revision < state.markerRevision) {
        return;
    }
    state.markerRevision = marker.revision;
    state.markedHolders = parseHolders(marker.request.payload);
}

void markRepairedWorkers(leader &state, time_point now)
{
    std::map<worker_id, rack_id> listed;
    for (const auto &[name, target] : state.table.workers) {
        if (target.listed) {
            listed.emplace(name, target.entry.rack);
        }
    }
    const bool changed = listed != state.markedHolders;
    std::vector<worker *> outdated;
    for (auto &[name, target] : state.table.workers) {
        if ((changed || !target.markerPlaced) && isHeld(target, now)) {
            outdated.push_back(&target);
        }
    }
    const bool repaired =
        !outdated.empty() && std::all_of(state.jobs.jobs.begin(), state.jobs.jobs.end(), [](const auto &entry) {
            return hasBothCopies(*entry.second);
        });
    if (!repaired) {
        return;
    }
    state.markedHolders = std::move(listed);
    for (worker *target : outdated) {
        target->markerPlaced = true;
        target->markerQueued = true;
        state.dirtyWorkers.insert(target->entry.name);
    }
}

bool ensureCopies(leader &state, job &subject, time_point now)
{
    if (chooseCopies(state, subject, now)) {
        state.jobsMissingCopies.erase(subject.record.request.id);
        return true;
    }
    state.jobsMissingCopies.insert(subject.record.request.id);
    return false;
}

void ensureMissingCopies(leader &state, time_point now)
{
    const std::set<job_id> missing = state.jobsMissingCopies;
    for (const job_id &id : missing) {
        const job_ptr subject = findJob(state.jobs, id);
        if (!subject) {
            state.jobsMissingCopies.erase(id);
        } else if (!ensureCopies(state, *subject, now)) {
            return; // Fewer than two racks are available, so the remaining jobs would fail as well.
        }
    }
}

void recordChanged(leader &state, job &subject, time_point now)
{
    subject.record.revision = {state.epoch, ++state.recordCounter};
    if (subject.outcomeRecorded) {
        subject.outcomeRecorded = false;
    }
    ensureCopies(state, subject, now);
    state.dirtyJobs.insert(subject.record.request.id);
}

void replaceCopiesOn(leader &state, const worker_id &lost, time_point now)
{
    for (auto &[id, subject] : state.jobs.jobs) {
        record_copy *copy = copyOn(*subject, lost);
        if (copy != nullptr) {
            copy->written = {};
            copy->queued = false;
        }
        if (copy != nullptr || subject->copies.size() < 2) {
            ensureCopies(state, *subject, now);
        }
    }
}

void dropCopies(leader &state, const job &subject)
{
    for (const record_copy &copy : subject.copies) {
        worker *target = findWorker(state.table, copy.worker);
        if (target != nullptr) {
            target->queuedDrops.push_back({subject.record.request.id, subject.record.revision});
            state.dirtyWorkers.insert(copy.worker);
        }
    }
}

void flushRecords(leader &state, worker &target, time_point now, outbox &out)
{
    if (!isHeld(target, now) || !mayCall(target, worker_call_kind::Records, now)
        || (target.queuedPuts.empty() && target.queuedDrops.empty() && !target.markerQueued)) {
        return;
    }
    write_records_request request = takeQueued(state, target);
    call_slot &slot = slotOf(target, worker_call_kind::Records);
    slot.serial = ++state.callSerial;
    slot.sentAt = now;
    ++state.counters.recordWrites;
    out.push_back(
        call_worker{target.entry.name, target.entry.worker, slot.serial, std::move(request), state.timing.callTimeout});
}

bool onRecordsEnded(leader &state, worker &target, const result<worker_reply> &outcome, time_point now)
{
    constexpr backoff_settings backoff{milliseconds(50), milliseconds(1000)};
    call_slot &slot = slotOf(target, worker_call_kind::Records);
    slot.serial = 0;
    const auto *reply = outcome ? std::get_if<write_records_reply>(&outcome.value()) : nullptr;
    if (reply != nullptr && reply->accepted) {
        slot.failures = 0;
        confirmSent(state, target);
        if (!target.queuedPuts.empty()) {
            state.dirtyWorkers.insert(target.entry.name);
        }
        return true;
    }
    if (slot.failures == 0) {
        log_event("record_write_failed", log_level::Warning)
            .with("worker", target.entry.name)
            .with("error", outcome ? "the worker did not accept the write" : outcome.error().message);
    }
    slot.retryAt = now + backoffDelay(backoff, slot.failures++, state.random);
    requeueSent(state, target);
    return reply == nullptr || reply->current.epoch <= target.epoch;
}

} // namespace sesamespar
