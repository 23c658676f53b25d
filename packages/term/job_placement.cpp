#include "term/job_placement.h"

#include "base/log.h"
#include "term/advice_selection.h"
#include "term/free_capacity.h"
#include "term/organisation_usage.h"
#include "term/run_lifecycle.h"
#include "term/sustained_speed.h"
#include "term/waiting_steps.h"

#include <algorithm>

namespace sesamespar {

namespace {

/// Minimum remaining validity of a ticket for a placement, if starts are not delayed. The placement must be stored and
/// the start sent, which takes two round trips.
constexpr milliseconds leastTicketMargin{150};
/// Minimum remaining validity as a multiple of the mean delay of starts.
constexpr double marginPerDelay = 2;
/// Number of tasks that fit on the workers of a request for new tickets, as a multiple of the waiting tasks.
constexpr std::size_t advisedFitsPerTask = 2;
/// Maximum number of requests in progress for one step. A gang of 60 large tasks needs about 350 workers assessed.
constexpr unsigned maxOpenRequests = 4;
/// Fixed time of the requests of a queue above which they are long. It takes 360 to 715 ms for gangs of large tasks and
/// 8 to 156 ms for the other queues. A limit on the whole time counted requests of these as long once they named more
/// than 20 to 40 workers, and they waited behind the gangs.
constexpr std::chrono::duration<double, std::milli> longDecision{200};
/// Pause before the unassessed workers of a step are looked at again, if none of them would have helped. Selecting
/// takes about 10 us, and hundreds of steps may wait on a full cell.
constexpr milliseconds selectionPause{100};
/// Weight of the newest response in the moving mean of a queue's share of suitable workers.
constexpr double shareWeight = 0.1;
/// Maximum number of workers in one log line, which a wide gang would make very long.
constexpr std::size_t maxWorkersLogged = 24;

/// State of one placement pass.
struct placement_pass {
    cell_state &state;
    const clock_reading &now;
    free_capacity free;
    advice_capacity capacity;
    placement_outcome outcome;
    std::size_t gatheringGangs = 0; ///< Gangs for which capacity was kept in this pass.
    std::int64_t gatheringMillicores = 0; ///< Total need of these gangs.
};

/// What is known of the ticket for a worker, in the order of preference.
enum class ticket_state {
    Valid, ///< Also if the queue needs no tickets.
    Requested,
    Expired,
};

/// A worker with free capacity for a step.
struct candidate {
    cell_worker *worker = nullptr;
    std::int64_t fit = 0; ///< Number of tasks of the step that fit.
    ticket_state ticket = ticket_state::Valid;
    time_point validUntil; ///< Of the ticket, in uptime.
    bool remote = false; ///< The step's data is in another rack.
    int speedRank = 0; ///< See sustained_speed.h; 0 unless the policy matches speeds.
    bool failedHere = false; ///< The latest run of a waiting task of the step failed on the worker.
};

/// True if the latest run of a waiting task of the step was on the worker and a run of that task has failed.
bool hasFailedOn(const waiting_step &waiting, const worker_id &worker)
{
    const cell_step &step = waiting.state();
    for (std::uint32_t position = step.first; position < step.first + step.count; ++position) {
        const task_progress &task = waiting.job->progress.tasks[position];
        if (task.phase == task_phase::Waiting && task.failures > 0 && task.worker == worker) {
            return true;
        }
    }
    return false;
}

/// Minimum remaining validity of a ticket for a placement. A leader that is slow to start runs leaves more; at most
/// half of the validity, so that a new ticket can be used.
milliseconds ticketMargin(const cell_state &state, milliseconds valid)
{
    const milliseconds needed(static_cast<std::int64_t>(marginPerDelay * state.startDelayMs));
    return std::max(leastTicketMargin, std::min(needed, valid / 2));
}

ticket_state ticketOf(const step_advice &advice, const suitable_worker &entry, time_point latestUse)
{
    if (entry.validUntil >= latestUse) {
        return ticket_state::Valid;
    }
    return contains(advice.requested, entry.worker) ? ticket_state::Requested : ticket_state::Expired;
}

/// Order of preference: rack of the step's data, no failure of a waiting task on the worker, the state of the ticket,
/// the match of the worker's speed, and least free capacity, which keeps large blocks of capacity free.
bool isPreferred(const placement_pass &pass, const candidate &left, const candidate &right)
{
    if (left.remote != right.remote) {
        return right.remote;
    }
    if (left.failedHere != right.failedHere) {
        return right.failedHere;
    }
    if (left.ticket != right.ticket) {
        return left.ticket < right.ticket;
    }
    if (left.speedRank != right.speedRank) {
        return left.speedRank < right.speedRank;
    }
    const millicores leftFree = pass.free.remaining[left.worker->slot.value].processors;
    const millicores rightFree = pass.free.remaining[right.worker->slot.value].processors;
    if (pass.state.policy.workers == worker_order::LeastFreeCapacity && leftFree != rightFree) {
        return leftFree < rightFree;
    }
    return left.worker->id < right.worker->id;
}

/// Workers that may run the step and have free capacity for at least one task, in the order of preference.
std::vector<candidate> listCandidates(const placement_pass &pass, const waiting_step &waiting)
{
    std::vector<candidate> candidates;
    const job_step &declared = waiting.declared();
    if (!fits(declared.need, pass.free.largest)) {
        return candidates;
    }
    const speed_preference preference =
        pass.state.policy.matchesSpeeds ? speedPreference(pass.state, waiting, pass.now.utc) : speed_preference();
    const auto consider = [&](worker_slot slot, ticket_state ticket, time_point validUntil) {
        const resources &remaining = pass.free.remaining[slot.value];
        if (!contains(pass.free.usable, slot) || !fits(declared.need, remaining)) {
            return;
        }
        cell_worker &worker = *pass.state.slots[slot.value];
        const std::int64_t fit = isEligible(waiting, worker) ? countTaskFits(waiting, worker, remaining) : 0;
        if (fit > 0) {
            candidates.push_back({&worker,
                                  fit,
                                  ticket,
                                  validUntil,
                                  !declared.dataRack.empty() && worker.rack != declared.dataRack,
                                  pass.state.policy.matchesSpeeds ? speedRank(preference, worker) : 0,
                                  pass.state.policy.failedTasksElsewhere && hasFailedOn(waiting, worker.id)});
        }
    };
    if (waiting.job->accepted.policy.advice) {
        const step_advice &advice = waiting.state().advice;
        const milliseconds margin = ticketMargin(pass.state, waiting.job->accepted.policy.advice->valid);
        for (const suitable_worker &entry : advice.suitable) {
            consider(entry.worker, ticketOf(advice, entry, pass.now.uptime + margin), entry.validUntil);
        }
    } else {
        for (std::uint32_t slot = 0; slot < pass.state.slots.size(); ++slot) {
            consider(worker_slot(slot), ticket_state::Valid, {});
        }
    }
    std::sort(candidates.begin(), candidates.end(), [&pass](const candidate &left, const candidate &right) {
        return isPreferred(pass, left, right);
    });
    return candidates;
}

/// True if a request for the step may be sent now.
bool mayRequest(const placement_pass &pass, const waiting_step &waiting)
{
    const step_advice &advice = waiting.state().advice;
    if (!waiting.job->accepted.policy.advice || advice.openRequests >= maxOpenRequests
        || pass.now.uptime < advice.nextRequestAt) {
        return false;
    }
    // A backlog of overdue work otherwise occupies all machines, and work that can be in time waits for advice.
    const bool keepsMachines = pass.state.policy.reservedShare > 0 && isDeferrable(waiting);
    if (keepsMachines && 2 * pass.capacity.free <= pass.capacity.machines) {
        return false;
    }
    const bool isLong = takesLong(*waiting.job->accepted.policy.advice);
    return (isLong ? pass.capacity.freeForLong : pass.capacity.free) > 0;
}

/// Adds an advice request if the advisor can accept it. Returns false otherwise.
bool addAdviceRequest(placement_pass &pass, const waiting_step &waiting, const std::vector<worker_slot> &workers)
{
    if (workers.empty() || !mayRequest(pass, waiting)) {
        return false;
    }
    --pass.capacity.free;
    if (takesLong(*waiting.job->accepted.policy.advice)) {
        --pass.capacity.freeForLong;
    }
    pass.capacity.freeForLong = std::min(pass.capacity.freeForLong, pass.capacity.free);
    step_advice &advice = waiting.state().advice;
    advice_request request{{waiting.job->accepted.key, waiting.step}, {}};
    request.number = beginRequest(advice, workers);
    for (const worker_slot worker : workers) {
        request.workers.push_back(pass.state.slots[worker.value]->id);
    }
    pass.outcome.adviceRequests.push_back(std::move(request));
    return true;
}

/// Requests advice for workers whose suitability for the step is unknown, if that may provide places for the missing
/// tasks.
void requestUnknownSuitability(placement_pass &pass, const waiting_step &waiting, std::size_t missing)
{
    step_advice &advice = waiting.state().advice;
    while (pass.now.uptime >= advice.nextSelectionAt && mayRequest(pass, waiting)) {
        const std::vector<worker_slot> workers = selectUnassessed(pass.state, pass.free, waiting, missing);
        if (!addAdviceRequest(pass, waiting, workers)) {
            advice.nextSelectionAt = pass.now.uptime + selectionPause;
        }
    }
}

/// One place for each task, as far as the free capacity allows.
std::vector<candidate> choosePlaces(const std::vector<candidate> &candidates, std::size_t wanted)
{
    std::vector<candidate> places;
    for (const candidate &choice : candidates) {
        for (std::int64_t taken = 0; taken < choice.fit && places.size() < wanted; ++taken) {
            places.push_back(choice);
        }
    }
    return places;
}

void deductCapacity(placement_pass &pass, const std::vector<candidate> &places, const resources &need)
{
    for (const candidate &place : places) {
        resources &left = pass.free.remaining[place.worker->slot.value];
        left = left - need;
    }
}

/// Number of candidates from the front on which `wanted` tasks fit, or all.
std::size_t countCandidates(const std::vector<candidate> &candidates, std::size_t wanted)
{
    std::int64_t fit = 0;
    std::size_t count = 0;
    while (count < candidates.size() && fit < static_cast<std::int64_t>(wanted)) {
        fit += candidates[count].fit;
        ++count;
    }
    return count;
}

/// Requests new tickets for workers from the front of the candidates until `wanted` tasks fit on them. For a gang,
/// tickets that would expire before the response can be used are renewed as well, since all members need valid tickets
/// at the same time.
void requestTickets(placement_pass &pass,
                    const waiting_step &waiting,
                    const std::vector<candidate> &candidates,
                    std::size_t wanted)
{
    const advice_timing &timing = *waiting.job->accepted.policy.advice;
    const std::size_t count = countCandidates(candidates, wanted);
    const auto responseTime =
        std::chrono::duration_cast<milliseconds>(adviceTime(timing, std::min(count, maxAdviceWorkers)));
    const time_point neededUntil = pass.now.uptime + responseTime + ticketMargin(pass.state, timing.valid);
    std::vector<worker_slot> workers;
    for (std::size_t index = 0; index < count; ++index) {
        const candidate &choice = candidates[index];
        const bool expires =
            choice.ticket == ticket_state::Expired || (waiting.declared().gang && choice.validUntil < neededUntil);
        if (expires && !contains(waiting.state().advice.requested, choice.worker->slot)) {
            workers.push_back(choice.worker->slot);
        }
        if (workers.size() == maxAdviceWorkers) {
            addAdviceRequest(pass, waiting, workers);
            workers.clear();
        }
    }
    addAdviceRequest(pass, waiting, workers);
}

/// Formats workers with the number of tasks placed on each, for example "w1*3,w2".
std::string describeWorkers(const std::map<worker_id, std::size_t> &tasks)
{
    std::string text;
    std::size_t named = 0;
    for (const auto &[worker, count] : tasks) {
        if (named++ == maxWorkersLogged) {
            return text + ",...";
        }
        text += (text.empty() ? "" : ",") + worker.value + (count > 1 ? '*' + std::to_string(count) : "");
    }
    return text;
}

void logPlacement(const cell_state &state,
                  const waiting_step &waiting,
                  const std::map<worker_id, std::size_t> &places,
                  std::size_t placed,
                  std::size_t wanted,
                  const clock_reading &now)
{
    log_event("placed")
        .with("job", waiting.job->accepted.key)
        .with("queue", waiting.job->accepted.policy.queue)
        .with("step", waiting.step)
        .with("tasks", placed)
        .with("waiting", wanted - placed)
        .with("expected_ms", expectedDuration(state, *waiting.job, waiting.step).count())
        .with("slack_ms", waiting.forecast.latestStart.value - now.utc.value)
        .with("prospect", static_cast<int>(waiting.forecast.prospect))
        .with("workers", describeWorkers(places));
}

/// Places the tasks whose place has a ticket. Returns the number of placed tasks.
std::size_t placeTasks(placement_pass &pass, const waiting_step &waiting, const std::vector<candidate> &places)
{
    if (places.empty()) {
        return 0;
    }
    const std::vector<task_position> tasks = waitingTasks(waiting);
    cell_job &job = *waiting.job;
    const cell_step &step = waiting.state();
    const job_step &declared = waiting.declared();
    const run_number gangRun = nextRun(job, step.first, step.count);
    std::map<worker_id, std::size_t> taken;
    std::size_t placed = 0;
    for (std::size_t index = 0; index < std::min(places.size(), tasks.size()); ++index) {
        if (places[index].ticket != ticket_state::Valid) {
            continue;
        }
        const run_number run = declared.gang ? gangRun : nextRun(job, tasks[index].value, 1);
        pass.outcome.placed.push_back(&placeRun(pass.state, job, tasks[index], run, *places[index].worker, pass.now));
        deductCapacity(pass, {places[index]}, declared.need);
        pass.free.available = pass.free.available - declared.need;
        ++taken[places[index].worker->id];
        ++placed;
    }
    if (placed > 0) {
        logPlacement(pass.state, waiting, taken, placed, tasks.size(), pass.now);
    }
    return placed;
}

/// Number of waiting tasks, at most `wanted`, that may start now: within the limit of the job's organisation and, for
/// work that gains nothing from a start now, outside the capacity that is reserved for arriving work. More than half of
/// a cell is never reserved, so that work always starts in a cell with little load.
std::size_t tasksAllowed(const placement_pass &pass, const waiting_step &waiting, std::size_t wanted)
{
    const resources &need = waiting.declared().need;
    auto allowed = tasksWithinLimit(*waiting.job, waiting.step, static_cast<std::int64_t>(wanted));
    const std::int64_t available = pass.free.available.processors.value;
    const std::int64_t total = pass.free.total.processors.value;
    if (pass.state.policy.reservedShare > 0 && isDeferrable(waiting) && 2 * available < total) {
        const auto reserved = static_cast<std::int64_t>(pass.state.policy.reservedShare * static_cast<double>(total));
        const std::int64_t each = std::max<std::int64_t>(need.processors.value, 1);
        allowed = std::min(allowed, std::max<std::int64_t>(available - reserved, 0) / each);
    }
    return static_cast<std::size_t>(allowed);
}

/// True if the capacity that is free on the workers of a gang may be kept until there is enough for all tasks.
bool mayGather(const placement_pass &pass, const waiting_step &waiting)
{
    const auto count = static_cast<std::int64_t>(waiting.state().count);
    if (countPotentialFits(pass.state, waiting) < count) {
        return false;
    }
    const cell_policy &policy = pass.state.policy;
    const std::int64_t need = waiting.declared().need.processors.value * count;
    const double share = policy.gatheringShare * static_cast<double>(pass.free.total.processors.value);
    return pass.gatheringGangs < policy.minGatheringGangs
        || static_cast<double>(pass.gatheringMillicores + need) <= share;
}

/// Places all tasks of a gang or none. Free capacity of its workers is kept for the gang while its tickets are
/// requested and, for a limited number of gangs, until there is enough for all tasks.
void placeGang(placement_pass &pass, const waiting_step &waiting)
{
    const job_step &declared = waiting.declared();
    const std::size_t wanted = countWaiting(waiting);
    cell_step &step = waiting.state();
    if (tasksWithinLimit(*waiting.job, waiting.step, static_cast<std::int64_t>(wanted))
        < static_cast<std::int64_t>(wanted)) {
        beginLimitWait(*waiting.job, step, pass.now.uptime);
        keepLimit(*waiting.job, waiting.step);
        return;
    }
    step.limited = false;
    if (tasksAllowed(pass, waiting, wanted) < wanted) {
        endLimitWait(step);
        return;
    }
    const std::vector<candidate> candidates = listCandidates(pass, waiting);
    const std::vector<candidate> places = choosePlaces(candidates, wanted);
    if (places.size() < wanted) {
        requestUnknownSuitability(pass, waiting, wanted - places.size());
        if (mayGather(pass, waiting)) {
            ++pass.gatheringGangs;
            pass.gatheringMillicores += declared.need.processors.value * waiting.state().count;
            deductCapacity(pass, places, declared.need);
            keepLimit(*waiting.job, waiting.step);
        } else {
            endLimitWait(step);
        }
        return;
    }
    if (std::all_of(
            places.begin(), places.end(), [](const candidate &place) { return place.ticket == ticket_state::Valid; })) {
        placeTasks(pass, waiting, places);
        endLimitWait(step);
        return;
    }
    if (std::any_of(places.begin(), places.end(), [](const candidate &place) {
            return place.ticket == ticket_state::Expired;
        })) {
        requestTickets(pass, waiting, candidates, wanted);
    }
    if (step.advice.openRequests > 0) {
        deductCapacity(pass, places, declared.need);
        keepLimit(*waiting.job, waiting.step);
    }
}

/// Places as many tasks of a step as fit.
void placeSingles(placement_pass &pass, const waiting_step &waiting)
{
    if (tasksWithinLimit(*waiting.job, waiting.step, 1) == 0) {
        beginLimitWait(*waiting.job, waiting.state(), pass.now.uptime);
        return;
    }
    endLimitWait(waiting.state());
    const std::size_t wanted = tasksAllowed(pass, waiting, countWaiting(waiting));
    if (wanted == 0) {
        return;
    }
    const std::vector<candidate> candidates = listCandidates(pass, waiting);
    std::vector<candidate> places = choosePlaces(candidates, wanted);
    const std::size_t placed = placeTasks(pass, waiting, places);
    if (placed < places.size()) {
        requestTickets(pass, waiting, candidates, placed + (wanted - placed) * advisedFitsPerTask);
    }
    if (places.size() < wanted) {
        requestUnknownSuitability(pass, waiting, wanted - places.size());
    }
    if (waiting.state().advice.openRequests > 0) {
        std::erase_if(places, [](const candidate &place) { return place.ticket == ticket_state::Valid; });
        deductCapacity(pass, places, waiting.declared().need);
    }
}

} // namespace

bool takesLong(const advice_timing &timing)
{
    return timing.decide > longDecision;
}

placement_outcome placeWaiting(cell_state &state, advice_capacity capacity, const clock_reading &now)
{
    placement_pass pass{state, now, measureFree(state, now.uptime), capacity, {}};
    updateShares(state, pass.free.total, now.uptime);
    for (const waiting_step &waiting : collectWaiting(state, now.utc)) {
        if (waiting.declared().gang) {
            placeGang(pass, waiting);
        } else {
            placeSingles(pass, waiting);
        }
    }
    return std::move(pass.outcome);
}

void applyAdvice(cell_state &state, const advice_request &request, const advice_response &response, time_point sentAt)
{
    const auto found = state.jobs.find(request.step.job);
    if (found == state.jobs.end() || request.step.step >= found->second->steps.size()) {
        return;
    }
    cell_job &job = *found->second;
    step_advice &advice = job.steps[request.step.step].advice;
    --advice.openRequests;
    advice.nextSelectionAt = {};
    std::map<worker_id, advice_ticket> tickets;
    for (const advised_worker &advised : response.suitable) {
        tickets.emplace(advised.worker, advised.ticket);
    }
    const milliseconds valid = job.accepted.policy.advice ? job.accepted.policy.advice->valid : milliseconds(0);
    double assessed = 0;
    double suitable = 0;
    for (const worker_id &id : request.workers) {
        const auto worker = state.workers.find(id);
        if (worker == state.workers.end() || !endRequest(advice, worker->second->slot, request.number)) {
            continue;
        }
        const worker_slot slot = worker->second->slot;
        const auto ticket = tickets.find(id);
        if (!contains(advice.assessed, slot)) {
            ++assessed;
            suitable += ticket != tickets.end() ? 1 : 0;
        }
        forgetWorker(advice, slot);
        insert(advice.assessed, slot);
        if (ticket != tickets.end()) {
            setSuitable(advice, {slot, ticket->second, sentAt + valid});
        }
    }
    if (assessed > 0) {
        job.history->suitableShare += shareWeight * (suitable / assessed - job.history->suitableShare);
    }
}

void onAdviceFailed(cell_state &state, const advice_request &request, time_point nextAdviceAt)
{
    const auto found = state.jobs.find(request.step.job);
    if (found == state.jobs.end() || request.step.step >= found->second->steps.size()) {
        return;
    }
    step_advice &advice = found->second->steps[request.step.step].advice;
    --advice.openRequests;
    advice.nextSelectionAt = {};
    advice.nextRequestAt = nextAdviceAt;
    for (const worker_id &id : request.workers) {
        if (const auto worker = state.workers.find(id); worker != state.workers.end()) {
            endRequest(advice, worker->second->slot, request.number);
        }
    }
}

} // namespace sesamespar
