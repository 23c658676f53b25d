// Stateful fuzzing of the leader role: several candidates of one data centre against stand-in workers, with lost,
// duplicate and delayed calls, frozen and killed daemons, and workers that restart or leave. Guards against two
// copies of a task that run at the same time, a second start of a task that must not be repeated, a VM filled beyond
// its capacity, and an answer to a caller that contradicts the starts on the workers.
#include "standins/execution_recorder.h"
#include "standins/worker_state.h"
#include "term/leader.h"
#include "term/leader_requests.h"
#include "term/leadership.h"
#include "term/recovery.h"

#include <glog/logging.h>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <array>
#include <deque>
#include <set>
#include <sstream>

using namespace sesamespar;
using namespace sesamespar::standins;

namespace {

constexpr int daemonCount = 3;
constexpr int workerCount = 6;
constexpr int keyCount = 8;
constexpr milliseconds step{20};
const data_centre_id homeDataCentre("metsovo");

enum class op_kind {
    Advance,
    Submit,
    Cancel,
    Status,
    Freeze,
    Thaw,
    Kill,
    Candidate,
    CutRequests,
    CutReplies,
    HoldRequests,
    HealLinks,
    Duplicate,
    RestartWorker,
    LeaveWorker,
    Silence,
};

// One step of a case. The meaning of `a` and `b` depends on the kind.
struct op {
    op_kind kind = op_kind::Advance;
    int a = 0;
    int b = 0;
};

std::ostream &operator<<(std::ostream &stream, const op &shown)
{
    constexpr std::array names{"Advance",
                               "Submit",
                               "Cancel",
                               "Status",
                               "Freeze",
                               "Thaw",
                               "Kill",
                               "Candidate",
                               "CutRequests",
                               "CutReplies",
                               "HoldRequests",
                               "HealLinks",
                               "Duplicate",
                               "RestartWorker",
                               "LeaveWorker",
                               "Silence"};
    return stream << names.at(static_cast<std::size_t>(shown.kind)) << '(' << shown.a << ',' << shown.b << ')';
}

rc::Gen<op> genOp()
{
    const auto kinds = rc::gen::weightedElement<op_kind>({{14, op_kind::Advance},
                                                          {10, op_kind::Submit},
                                                          {2, op_kind::Cancel},
                                                          {2, op_kind::Status},
                                                          {2, op_kind::Freeze},
                                                          {2, op_kind::Thaw},
                                                          {1, op_kind::Kill},
                                                          {2, op_kind::Candidate},
                                                          {2, op_kind::CutRequests},
                                                          {2, op_kind::CutReplies},
                                                          {2, op_kind::HoldRequests},
                                                          {3, op_kind::HealLinks},
                                                          {1, op_kind::Duplicate},
                                                          {1, op_kind::RestartWorker},
                                                          {1, op_kind::LeaveWorker}});
    return rc::gen::build<op>(rc::gen::set(&op::kind, kinds),
                              rc::gen::set(&op::a, rc::gen::inRange(0, 64)),
                              rc::gen::set(&op::b, rc::gen::inRange(0, 64)));
}

struct link_state {
    bool cutRequests = false;
    bool cutReplies = false;
    bool hold = false;
};

struct pending_call {
    int sender = 0;
    int target = 0;
    call_worker call;
    time_point due;
    time_point timeout;
    bool delivered = false;
    bool silent = false; // Neither the request nor the reply arrives any more.
    bool ended = false; // The sender has received an outcome.
};

struct daemon_model {
    leader state;
    std::deque<worker_call_ended> inbox;
    bool frozen = false;
    bool candidate = false;
    time_point nextTick;
    std::optional<time_point> archiveDue;
};

struct worker_model {
    worker_state state;
    std::int64_t clockOffset = 0; // In milliseconds; differs between workers.
    rack_id rack;
    bool listed = true;
};

struct world {
    time_point now = time_point(milliseconds(1000000));
    configuration_ptr settings;
    std::vector<daemon_model> daemons;
    std::vector<worker_model> workers;
    std::vector<std::vector<link_state>> links;
    std::deque<pending_call> calls;
    saved_progress progress;
    execution_recorder recorder;
    std::uint64_t runs = 0;
    std::uint64_t instances = 0;
    std::uint64_t correlations = 0;
    roster_revision roster{1};
    std::map<correlation_id, job_id> requestedJobs;
    std::set<job_id> everAccepted;
    std::map<job_id, job_record> archived; // Written at once, unlike the real archive.
};

configuration_ptr makeSettings()
{
    auto *settings = new configuration;
    settings->version = config_version(1);
    settings->dataCentres = {homeDataCentre};
    for (kind_policy &policy : settings->policies) {
        policy.taskLease = milliseconds(3000);
        policy.attempts = 100;
    }
    settings->teams.push_back({team_id("desk"), homeDataCentre, 1, std::nullopt});
    work_settings work;
    work.name = work_id("booking");
    work.team = team_id("desk");
    work.need = {millicores(1000), mebibytes(512), accelerators(0)};
    work.runTime = milliseconds(400);
    settings->work.push_back(work);
    work.name = work_id("quote");
    work.tasks = 3;
    work.repeatable = true;
    settings->work.push_back(work);
    work.name = work_id("planning");
    work.kind = work_kind::Gang;
    settings->work.push_back(work);
    return settings;
}

daemon_settings makeDaemonSettings(int index)
{
    daemon_settings settings;
    settings.name = daemon_id("daemon-" + std::to_string(index));
    settings.dataCentre = homeDataCentre;
    settings.timing.controlLease = milliseconds(1000);
    settings.timing.renewal = milliseconds(300);
    settings.timing.callTimeout = milliseconds(300);
    return settings;
}

clock_reading clocks(const world &model)
{
    return {model.now, utc_time(std::chrono::duration_cast<milliseconds>(model.now.time_since_epoch()).count())};
}

worker_clock clockOf(const world &model, const worker_model &target)
{
    return worker_clock(clocks(model).utc.value + target.clockOffset);
}

std::size_t startsOf(const world &model, const job_id &id)
{
    const auto found = model.recorder.starts.find(id);
    return found == model.recorder.starts.end() ? 0 : found->second.size();
}

vm_list listVms(const world &model)
{
    vm_list list;
    list.revision = model.roster;
    for (const worker_model &target : model.workers) {
        if (target.listed) {
            list.vms.push_back(
                {target.state.name, address(target.state.name.value), homeDataCentre, target.rack, vm_state::Live});
        }
    }
    return list;
}

void checkAnswer(world &model, const forward_answer &message)
{
    if (message.notLeader) {
        return;
    }
    const job_answer &answer = message.answer;
    RC_ASSERT(answer.id == model.requestedJobs.at(message.correlation));
    const std::size_t starts = startsOf(model, answer.id);
    switch (answer.status) {
    case answer_status::Accepted:
        model.everAccepted.insert(answer.id);
        break;
    case answer_status::Done:
        RC_ASSERT(starts >= answer.tasks.size());
        break;
    case answer_status::Refused:
    case answer_status::NotFound:
        RC_ASSERT(starts == 0U);
        RC_ASSERT(model.everAccepted.count(answer.id) == 0U);
        break;
    default:
        break;
    }
}

int workerIndex(const world &model, const worker_id &name)
{
    for (int index = 0; index < workerCount; ++index) {
        if (model.workers.at(index).state.name == name) {
            return index;
        }
    }
    RC_FAIL("call to an unknown worker");
}

void dispatch(world &model, int sender, outbox &out)
{
    for (effect &single : out) {
        if (auto *call = std::get_if<call_worker>(&single)) {
            pending_call pending;
            pending.sender = sender;
            pending.target = workerIndex(model, call->worker);
            pending.due = model.now + milliseconds(2);
            pending.timeout = model.now + call->limit;
            pending.call = std::move(*call);
            model.calls.push_back(std::move(pending));
        } else if (auto *send = std::get_if<send_peer>(&single)) {
            checkAnswer(model, std::get<forward_answer>(send->payload));
        }
    }
    out.clear();
}

void finish(world &model, int index)
{
    leader &state = model.daemons.at(index).state;
    outbox out;
    finishEvents(state, clocks(model), out);
    for (const job_record &record : state.toArchive) {
        job_record &kept = model.archived[record.request.id];
        if (kept.revision < record.revision) {
            kept = record;
        }
    }
    state.toArchive.clear();
    dispatch(model, index, out);
}

void startDaemon(world &model, int index)
{
    daemon_model &target = model.daemons.at(index);
    target = daemon_model();
    target.state = makeLeader(makeDaemonSettings(index), incarnation_id(++model.runs));
    target.nextTick = model.now;
    // Replies to calls of an earlier run must not match calls of this run.
    target.state.callSerial = model.runs << 32U;
    outbox out;
    useConfiguration(target.state, model.settings, clocks(model));
    applyVmList(target.state, listVms(model), clocks(model), out);
    dispatch(model, index, out);
}

void startWorld(world &model)
{
    model.settings = makeSettings();
    model.workers.resize(workerCount);
    for (int index = 0; index < workerCount; ++index) {
        worker_model &target = model.workers.at(index);
        target.state.name = worker_id("worker-" + std::to_string(index));
        target.state.capacity = {millicores(2000), mebibytes(4096), accelerators(0)};
        target.state.instance = incarnation_id(++model.instances);
        target.clockOffset = std::int64_t{1000000} * index;
        target.rack = rack_id("rack-" + std::to_string(index / 2));
        trackWorker(model.recorder, target.state.name, target.state.capacity);
    }
    model.daemons.resize(daemonCount);
    model.links.assign(daemonCount, std::vector<link_state>(workerCount));
    for (int index = 0; index < daemonCount; ++index) {
        startDaemon(model, index);
    }
    model.daemons.front().candidate = true;
}

void recordTaskChanges(world &model, worker_model &target, const task_changes &changes)
{
    recordChanges(model.recorder, target.state, changes, clocks(model).utc);
    RC_ASSERT(model.recorder.duplicateExecutions.empty());
    RC_ASSERT(model.recorder.capacityViolations.empty());
}

// Applies a call at its worker. Returns nothing while a control call waits for an event.
std::optional<worker_reply> apply(world &model, pending_call &pending)
{
    worker_model &target = model.workers.at(pending.target);
    const worker_clock now = clockOf(model, target);
    task_changes changes;
    advanceWorker(target.state, now, changes);
    std::optional<worker_reply> reply;
    const worker_request &request = pending.call.request;
    if (const auto *control = std::get_if<control_request>(&request)) {
        if (!pending.delivered) {
            applyControl(target.state, *control, now);
        }
        if (model.now >= pending.due + control->wait || isReplyReady(target.state, *control, now)) {
            reply = answerControl(target.state, *control, now);
        }
    } else if (const auto *snapshot = std::get_if<snapshot_request>(&request)) {
        reply = takeSnapshot(target.state, *snapshot, now);
    } else if (const auto *records = std::get_if<write_records_request>(&request)) {
        reply = writeRecords(target.state, *records, now);
    } else {
        reply = runCommands(target.state, std::get<commands_request>(request), now, model.progress, changes);
    }
    pending.delivered = true;
    recordTaskChanges(model, target, changes);
    return reply;
}

void endCall(world &model, pending_call &pending, result<worker_reply> outcome)
{
    if (!pending.ended) {
        const auto kind = static_cast<worker_call_kind>(pending.call.request.index());
        model.daemons.at(pending.sender)
            .inbox.push_back({pending.call.worker, kind, pending.call.serial, std::move(outcome)});
    }
    pending.ended = true;
}

// Advances one call. Returns true when the call can have no further effect. A held call may still be delivered after
// its timeout has ended it for the sender.
bool moveCall(world &model, pending_call &pending)
{
    const link_state &link = model.links.at(pending.sender).at(pending.target);
    const bool lost = (link.cutRequests || pending.silent) && !pending.delivered;
    bool over = false;
    if (model.now >= pending.due && !link.hold && !lost) {
        std::optional<worker_reply> reply = apply(model, pending);
        if (reply && !link.cutReplies && !pending.silent) {
            endCall(model, pending, std::move(*reply));
        }
        over = reply.has_value() && pending.ended;
    }
    if (model.now >= pending.timeout) {
        endCall(model, pending, makeError(error_kind::Unknown, "timeout"));
        over = over || lost || pending.delivered;
    }
    return over;
}

void moveCalls(world &model)
{
    std::deque<pending_call> remaining;
    for (pending_call &pending : model.calls) {
        if (!moveCall(model, pending)) {
            remaining.push_back(std::move(pending));
        }
    }
    model.calls = std::move(remaining);
}

void readArchive(world &model, daemon_model &target)
{
    if (target.state.phase == leader_phase::Standby) {
        target.archiveDue.reset();
        return;
    }
    if (!target.archiveDue) {
        target.archiveDue = model.now + milliseconds(200);
    }
    if (model.now >= *target.archiveDue && !target.state.archiveRead) {
        for (const auto &[id, record] : model.archived) {
            mergeArchived(target.state, record, clocks(model));
        }
        target.state.archiveRead = true;
    }
}

epoch_number highestEpoch(const world &model)
{
    epoch_number highest;
    for (const daemon_model &other : model.daemons) {
        highest = std::max(highest, other.state.epoch);
    }
    return highest;
}

void runDaemon(world &model, int index)
{
    daemon_model &target = model.daemons.at(index);
    if (target.frozen) {
        return;
    }
    outbox out;
    std::deque<worker_call_ended> inbox;
    inbox.swap(target.inbox);
    for (const worker_call_ended &ended : inbox) {
        onWorkerCallEnded(target.state, ended, clocks(model), out);
    }
    if (model.now >= target.nextTick) {
        onTick(target.state, target.candidate, highestEpoch(model), clocks(model), out);
        target.nextTick = model.now + leaderTick;
    }
    readArchive(model, target);
    dispatch(model, index, out);
    finish(model, index);
}

void advance(world &model, milliseconds duration)
{
    for (milliseconds passed(0); passed < duration; passed += step) {
        model.now += step;
        for (worker_model &target : model.workers) {
            task_changes changes;
            advanceWorker(target.state, clockOf(model, target), changes);
            recordTaskChanges(model, target, changes);
        }
        moveCalls(model);
        for (int index = 0; index < daemonCount; ++index) {
            runDaemon(model, index);
        }
    }
}

job_request requestOf(int key)
{
    constexpr std::array works{"booking", "quote", "planning", "booking"};
    job_request request;
    request.id = {team_id("desk"), idempotency_key("key-" + std::to_string(key))};
    request.work = work_id(works.at(key % works.size()));
    request.expires = utc_time(1000000 + 3600000);
    return request;
}

void sendJobCall(world &model, int daemon, job_call call, const job_id &id)
{
    daemon_model &target = model.daemons.at(daemon);
    if (target.frozen) {
        return;
    }
    const correlation_id correlation(++model.correlations);
    model.requestedJobs[correlation] = id;
    outbox out;
    onForwardRequest(target.state, daemon_id("front-end"), {correlation, std::move(call)}, clocks(model), out);
    dispatch(model, daemon, out);
    finish(model, daemon);
}

void healLinks(world &model)
{
    for (auto &row : model.links) {
        std::fill(row.begin(), row.end(), link_state());
    }
}

void duplicateCalls(world &model, int sender, milliseconds delay)
{
    std::vector<pending_call> copies;
    for (const pending_call &pending : model.calls) {
        // Copies of ended calls are not duplicated: while a link is held, each step would double their number.
        if (pending.sender == sender && !pending.ended) {
            pending_call copy = pending;
            copy.ended = true; // The reply to a copy is dropped.
            copy.delivered = false;
            copy.due = model.now + delay;
            copy.timeout = copy.due + milliseconds(20);
            copies.push_back(std::move(copy));
        }
    }
    std::move(copies.begin(), copies.end(), std::back_inserter(model.calls));
}

// Silences the calls in flight to one worker or to all, as when open connections go silent. Later calls pass.
void silenceCalls(world &model, int sender, std::optional<int> target)
{
    for (pending_call &pending : model.calls) {
        const bool chosen = pending.sender == sender && (!target || pending.target == *target);
        pending.silent = pending.silent || (chosen && !pending.ended);
    }
}

void restartWorkerAt(world &model, int index)
{
    worker_model &target = model.workers.at(index);
    task_changes changes;
    restartWorker(target.state, incarnation_id(++model.instances), changes);
    recordTaskChanges(model, target, changes);
}

// At most one VM leaves the list in a case, so that at least two racks always remain.
void unlistWorkerAt(world &model, int index)
{
    if (model.roster.value > 1) {
        return;
    }
    model.workers.at(index).listed = false;
    ++model.roster.value;
    for (int daemon = 0; daemon < daemonCount; ++daemon) {
        outbox out;
        applyVmList(model.daemons.at(daemon).state, listVms(model), clocks(model), out);
        dispatch(model, daemon, out);
    }
}

void perform(world &model, const op &chosen)
{
    const int daemon = chosen.a % daemonCount;
    const int target = chosen.b % workerCount;
    const job_request request = requestOf(chosen.b % keyCount);
    link_state &link = model.links.at(daemon).at(target);
    switch (chosen.kind) {
    case op_kind::Advance:
        advance(model, step * (1 + chosen.a));
        break;
    case op_kind::Submit:
        sendJobCall(model, daemon, submit_request{request, milliseconds(1000)}, request.id);
        break;
    case op_kind::Cancel:
        sendJobCall(model, daemon, cancel_request{request.id}, request.id);
        break;
    case op_kind::Status:
        sendJobCall(model, daemon, status_request{request.id, {}}, request.id);
        break;
    case op_kind::Freeze:
        model.daemons.at(daemon).frozen = true;
        break;
    case op_kind::Thaw:
        model.daemons.at(daemon).frozen = false;
        break;
    case op_kind::Kill:
        startDaemon(model, daemon);
        break;
    case op_kind::Candidate:
        model.daemons.at(daemon).candidate = chosen.b % 2 == 0;
        break;
    case op_kind::CutRequests:
        link.cutRequests = true;
        break;
    case op_kind::CutReplies:
        link.cutReplies = true;
        break;
    case op_kind::HoldRequests:
        link.hold = true;
        break;
    case op_kind::HealLinks:
        healLinks(model);
        break;
    case op_kind::Duplicate:
        duplicateCalls(model, daemon, milliseconds(20) * (1 + chosen.b * 2));
        break;
    case op_kind::Silence:
        silenceCalls(model, daemon, chosen.b % 3 == 0 ? std::optional(chosen.b / 3 % workerCount) : std::nullopt);
        break;
    case op_kind::RestartWorker:
        restartWorkerAt(model, target);
        break;
    case op_kind::LeaveWorker:
        unlistWorkerAt(model, target);
        break;
    }
}

void checkAtMostOnce(const world &model)
{
    for (int key = 0; key < keyCount; ++key) {
        const job_request request = requestOf(key);
        if (request.work == work_id("booking")) {
            RC_ASSERT(startsOf(model, request.id) <= 1U);
        }
    }
}

// Which daemon may lead while a case ends.
enum class last_leader {
    Second, // The second daemon, which often has to take over.
    Current, // The daemon that leads, if any: a takeover would repair what its leader forgot.
};

int lastCandidate(const world &model, last_leader choice)
{
    int candidate = 1;
    for (int index = 0; choice == last_leader::Current && index < daemonCount; ++index) {
        const daemon_model &other = model.daemons.at(index);
        candidate = other.candidate && other.state.phase == leader_phase::Leading ? index : candidate;
    }
    return candidate;
}

// Checks that, with all links healed and one candidate, some daemon leads and every accepted job has an outcome.
void checkConvergence(world &model, last_leader choice)
{
    healLinks(model);
    const int candidate = lastCandidate(model, choice);
    for (int index = 0; index < daemonCount; ++index) {
        model.daemons.at(index).frozen = false;
        model.daemons.at(index).candidate = index == candidate;
    }
    advance(model, milliseconds(30000));
    const auto leading = std::find_if(model.daemons.begin(), model.daemons.end(), [&](const daemon_model &other) {
        return other.state.phase == leader_phase::Leading && isComplete(other.state, model.now);
    });
    RC_ASSERT(leading != model.daemons.end());
    for (const job_id &id : model.everAccepted) {
        const job_ptr known = findJob(leading->state.jobs, id);
        if (!known || !known->outcomeRecorded) {
            std::ostringstream text;
            text << "job " << id << " was accepted but has no outcome" << (known ? "" : ": the leader has no such job");
            if (known) {
                for (const task_record &task : known->record.tasks) {
                    text << "; task " << task.index << " attempt " << task.attempt << ' ' << taskStateName(task.state)
                         << " on " << task.worker;
                }
                for (const record_copy &copy : known->copies) {
                    text << "; copy on " << copy.worker << " at " << copy.written.epoch << '.' << copy.written.counter
                         << (copy.queued ? " queued" : "");
                }
                for (const auto &[name, target] : leading->state.table.workers) {
                    text << "; worker " << name << (target.listed ? "" : " unlisted") << " phase "
                         << static_cast<int>(target.phase) << (isHeld(target, model.now) ? " held" : " not held")
                         << " tasks " << target.tasks.size();
                }
                text << "; record at " << known->record.revision.epoch << '.' << known->record.revision.counter;
            }
            RC_FAIL(text.str());
        }
    }
}

void runCase(const std::vector<op> &ops, last_leader choice = last_leader::Second)
{
    world model;
    startWorld(model);
    advance(model, milliseconds(1000));
    for (const op &chosen : ops) {
        perform(model, chosen);
        checkAtMostOnce(model);
    }
    checkConvergence(model, choice);
    checkAtMostOnce(model);
}

} // namespace

TEST_CASE("leaders keep their guarantees under faults")
{
    FLAGS_minloglevel = google::GLOG_FATAL;
    rc::prop("no duplicate run, no second start, no exceeded capacity, every accepted job ends",
             [] { runCase(*rc::gen::scale(2.0, rc::gen::container<std::vector<op>>(genOp()))); });
}

TEST_CASE("a job is finished by the next leader when its worker has left the VM list")
{
    FLAGS_minloglevel = google::GLOG_FATAL;
    rc::prop("minimized schedule", [] {
        runCase({{op_kind::Submit, 0, 1},
                 {op_kind::Advance, 11, 0},
                 {op_kind::Kill, 0, 0},
                 {op_kind::Advance, 23, 0},
                 {op_kind::Advance, 9, 0},
                 {op_kind::LeaveWorker, 0, 0}});
    });
}

TEST_CASE("a start queued for an unreachable worker is not sent after its task was placed elsewhere")
{
    FLAGS_minloglevel = google::GLOG_FATAL;
    rc::prop("minimized schedule", [] {
        runCase({{op_kind::Submit, 0, 21},
                 {op_kind::Submit, 0, 0},
                 {op_kind::Submit, 0, 9},
                 {op_kind::HoldRequests, 0, 0},
                 {op_kind::Advance, 9, 0},
                 {op_kind::Advance, 47, 0},
                 {op_kind::Advance, 62, 0},
                 {op_kind::Advance, 16, 0},
                 {op_kind::Freeze, 0, 0},
                 {op_kind::Advance, 27, 0}});
    });
}

TEST_CASE("a write that waits for its retry is sent although another call to the worker was open")
{
    FLAGS_minloglevel = google::GLOG_FATAL;
    rc::prop("minimized schedule", [] {
        runCase({{op_kind::Submit, 0, 0},
                 {op_kind::Advance, 18, 0},
                 {op_kind::Advance, 8, 0},
                 {op_kind::Advance, 4, 0},
                 {op_kind::Advance, 12, 0},
                 {op_kind::Submit, 0, 55},
                 {op_kind::Advance, 17, 0},
                 {op_kind::Cancel, 0, 23},
                 {op_kind::Silence, 0, 1}},
                last_leader::Current);
    });
}

TEST_CASE("a start that waits for its retry is sent although another call to the worker was open")
{
    FLAGS_minloglevel = google::GLOG_FATAL;
    rc::prop("minimized schedule", [] {
        runCase({{op_kind::Submit, 0, 5},
                 {op_kind::LeaveWorker, 0, 2},
                 {op_kind::CutRequests, 0, 3},
                 {op_kind::Submit, 0, 0},
                 {op_kind::Advance, 16, 0}},
                last_leader::Current);
    });
}
