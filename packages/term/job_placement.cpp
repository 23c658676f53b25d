#include "term/job_placement.h"

#include "base/log.h"
#include "term/objective.h"
#include "term/run_lifecycle.h"

#include <algorithm>
#include <limits>

namespace sesamespar {

namespace {

/// Minimum remaining validity of a ticket for a placement. The placement must be stored and the start sent, which takes
/// two round trips.
constexpr milliseconds ticketMargin{150};
/// Number of tasks that fit on the workers of a request for new tickets, as a multiple of the waiting tasks.
constexpr std::size_t advisedFitsPerTask = 2;
/// Maximum number of workers in one log line, which a wide gang would make very long.
constexpr std::size_t maxWorkersLogged = 24;

/// A step with waiting tasks whose earlier steps are done.
struct waiting_step {
    cell_job *job = nullptr;
    std::uint32_t step = 0;
    deadline_forecast forecast;
};

/// Most urgent priority. Its queues have many small jobs, whose value exceeds the cost of their capacity also when
/// late.
constexpr int urgentPriority = 0;

/// Coarse order: urgent jobs and jobs that can be in time, then late ones, then overdue ones.
int rankOf(const waiting_step &waiting)
{
    if (waiting.forecast.prospect == job_prospect::Overdue) {
        return 2;
    }
    const bool urgent = waiting.job->accepted.policy.priority == urgentPriority;
    return urgent || waiting.forecast.prospect == job_prospect::InTime ? 0 : 1;
}

bool arrivedEarlier(const waiting_step &left, const waiting_step &right)
{
    const utc_time leftArrival = left.job->accepted.acceptedAt;
    const utc_time rightArrival = right.job->accepted.acceptedAt;
    return leftArrival != rightArrival ? leftArrival < rightArrival : left.job->accepted.key < right.job->accepted.key;
}

bool isAhead(const waiting_step &left, const waiting_step &right)
{
    if (rankOf(left) != rankOf(right)) {
        return rankOf(left) < rankOf(right);
    }
    const int leftPriority = left.job->accepted.policy.priority;
    const int rightPriority = right.job->accepted.policy.priority;
    if (leftPriority != rightPriority) {
        return leftPriority < rightPriority;
    }
    if (left.forecast.latestStart != right.forecast.latestStart) {
        return left.forecast.latestStart < right.forecast.latestStart;
    }
    return left.job->accepted.key < right.job->accepted.key;
}

bool isReady(const cell_job &job, std::uint32_t step)
{
    const std::vector<std::uint32_t> &after = job.accepted.job.steps[step].after;
    return std::all_of(after.begin(), after.end(), [&job](std::uint32_t earlier) {
        return job.steps[earlier].done == job.steps[earlier].count;
    });
}

bool hasWaiting(const cell_job &job, std::uint32_t step)
{
    const cell_step &entry = job.steps[step];
    // A gang is placed again only after all runs of its members have ended.
    if (job.accepted.job.steps[step].gang) {
        return entry.done < entry.count && entry.placed == 0;
    }
    return entry.done + entry.placed < entry.count;
}

std::vector<waiting_step> collectWaiting(const cell_state &state, utc_time now)
{
    std::vector<waiting_step> waiting;
    for (const auto &[key, job] : state.jobs) {
        if (isFinal(job->progress.phase)) {
            continue;
        }
        bool assessed = false;
        deadline_forecast forecast;
        for (std::uint32_t step = 0; step < job->steps.size(); ++step) {
            if (!hasWaiting(*job, step) || !isReady(*job, step)) {
                continue;
            }
            if (!assessed) {
                forecast = forecastDeadline(state, *job, now);
                assessed = true;
            }
            waiting.push_back({job.get(), step, forecast});
        }
    }
    std::sort(
        waiting.begin(), waiting.end(), state.policy.order == work_order::DeadlineForecast ? isAhead : arrivedEarlier);
    return waiting;
}

/// Capacity available in one pass: the free capacity less that kept for earlier steps.
struct capacity_table {
    std::map<const cell_worker *, resources> remaining;
};

/// State of one placement pass.
struct placement_pass {
    cell_state &state;
    const clock_reading &now;
    capacity_table workerCapacity;
    advice_capacity capacity;
    placement_outcome outcome;
    std::size_t reservingGangs = 0; ///< Gangs for which capacity was kept in this pass.
};

/// A worker with free capacity for a step.
struct candidate {
    cell_worker *worker = nullptr;
    std::int64_t fit = 0; ///< Number of tasks of the step that fit.
    bool ticketed = false; ///< The step needs no ticket, or has a valid one for the worker.
    bool failedHere = false; ///< The latest run of a waiting task of the step failed on the worker.
};

/// True if the latest run of a waiting task of the step was on the worker and a run of that task has failed.
bool hasFailedOn(const cell_job &job, const cell_step &step, const worker_id &worker)
{
    for (std::uint32_t position = step.first; position < step.first + step.count; ++position) {
        const task_progress &task = job.progress.tasks[position];
        if (task.phase == task_phase::Waiting && task.failures > 0 && task.worker == worker) {
            return true;
        }
    }
    return false;
}

std::int64_t countFits(const resources &need, const resources &remaining)
{
    std::int64_t fit = std::numeric_limits<std::int64_t>::max();
    const auto bound = [&fit](std::int64_t each, std::int64_t available) {
        if (each > 0) {
            fit = std::min(fit, std::max<std::int64_t>(available, 0) / each);
        }
    };
    bound(need.processors.value, remaining.processors.value);
    bound(need.memory.value, remaining.memory.value);
    bound(need.accelerator.value, remaining.accelerator.value);
    return fit;
}

std::int64_t runsOfStep(const cell_job &job, const cell_step &step, const cell_worker &worker)
{
    std::int64_t count = 0;
    for (std::uint32_t position = step.first; position < step.first + step.count; ++position) {
        count += job.runs[position] != nullptr && job.runs[position]->worker == &worker ? 1 : 0;
    }
    return count;
}

bool isSuitable(const waiting_step &waiting, const cell_worker &worker)
{
    const std::string &label = waiting.job->accepted.job.steps[waiting.step].requiredLabel;
    return worker.service == waiting.job->accepted.policy.service && (label.empty() || worker.labels.contains(label));
}

bool ticketHolds(const cell_step &step, const worker_id &worker, time_point uptime)
{
    const auto found = step.suitable.find(worker);
    return found != step.suitable.end() && found->second.validUntil >= uptime + ticketMargin;
}

/// Workers that may run the step and have free capacity for at least one task. They are sorted by: rack of the step's
/// data, no failure of a waiting task on the worker, valid ticket, and least free capacity, which keeps large blocks of
/// capacity free.
std::vector<candidate> listCandidates(cell_state &state,
                                      const waiting_step &waiting,
                                      const capacity_table &workerCapacity,
                                      const clock_reading &now)
{
    const cell_job &job = *waiting.job;
    const job_step &declared = job.accepted.job.steps[waiting.step];
    const cell_step &step = job.steps[waiting.step];
    const bool advised = job.accepted.policy.advice.has_value();
    std::vector<candidate> candidates;
    const auto consider = [&](cell_worker &worker) {
        if (!isSuitable(waiting, worker) || !acceptsRuns(worker, now.uptime)) {
            return;
        }
        const auto remaining = workerCapacity.remaining.find(&worker);
        std::int64_t fit =
            remaining == workerCapacity.remaining.end() ? 0 : countFits(declared.need, remaining->second);
        if (declared.maxPerWorker > 0) {
            fit = std::min(fit, declared.maxPerWorker - runsOfStep(job, step, worker));
        }
        if (fit > 0) {
            candidates.push_back({&worker,
                                  fit,
                                  !advised || ticketHolds(step, worker.id, now.uptime),
                                  state.policy.failedTasksElsewhere && hasFailedOn(job, step, worker.id)});
        }
    };
    if (advised) {
        for (const auto &[id, ticket] : step.suitable) {
            const auto found = state.workers.find(id);
            if (found != state.workers.end()) {
                consider(*found->second);
            }
        }
    } else {
        for (const auto &[id, worker] : state.workers) {
            consider(*worker);
        }
    }
    std::sort(candidates.begin(), candidates.end(), [&](const candidate &left, const candidate &right) {
        const bool leftNear = declared.dataRack.empty() || left.worker->rack == declared.dataRack;
        const bool rightNear = declared.dataRack.empty() || right.worker->rack == declared.dataRack;
        if (leftNear != rightNear) {
            return leftNear;
        }
        if (left.failedHere != right.failedHere) {
            return right.failedHere;
        }
        if (left.ticketed != right.ticketed) {
            return left.ticketed;
        }
        const resources &leftFree = workerCapacity.remaining.at(left.worker);
        const resources &rightFree = workerCapacity.remaining.at(right.worker);
        if (state.policy.workers == worker_order::LeastFreeCapacity && leftFree.processors != rightFree.processors) {
            return leftFree.processors < rightFree.processors;
        }
        return left.worker->id < right.worker->id;
    });
    return candidates;
}

/// Adds an advice request if the advisor can accept it.
void addAdviceRequest(placement_pass &pass, const waiting_step &waiting, advice_request request)
{
    const advice_timing &timing = *waiting.job->accepted.policy.advice;
    const bool isLong = adviceTime(timing, request.workers.size()) > longAdvice;
    if (pass.capacity.free == 0 || (isLong && pass.capacity.freeForLong == 0)) {
        return;
    }
    --pass.capacity.free;
    if (isLong) {
        --pass.capacity.freeForLong;
    }
    pass.capacity.freeForLong = std::min(pass.capacity.freeForLong, pass.capacity.free);
    waiting.job->steps[waiting.step].adviceRequested = true;
    pass.outcome.adviceRequests.push_back(std::move(request));
}

/// Requests advice for workers whose suitability for the step is unknown.
void requestUnknownSuitability(placement_pass &pass, const waiting_step &waiting)
{
    const cell_step &step = waiting.job->steps[waiting.step];
    advice_request request{{waiting.job->accepted.key, waiting.step}, {}};
    for (const auto &[id, worker] : pass.state.workers) {
        if (request.workers.size() == maxAdviceWorkers) {
            break;
        }
        const auto entry = step.assessedWorkers.find(id);
        const bool known = entry != step.assessedWorkers.end() && entry->second == worker->incarnation;
        if (!known && isSuitable(waiting, *worker) && acceptsRuns(*worker, pass.now.uptime)) {
            request.workers.push_back(id);
        }
    }
    if (!request.workers.empty()) {
        addAdviceRequest(pass, waiting, std::move(request));
    }
}

std::vector<task_position> waitingTasks(const cell_job &job, const cell_step &step)
{
    std::vector<task_position> positions;
    for (std::uint32_t position = step.first; position < step.first + step.count; ++position) {
        if (job.progress.tasks[position].phase == task_phase::Waiting && job.runs[position] == nullptr) {
            positions.emplace_back(position);
        }
    }
    return positions;
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

void deductCapacity(capacity_table &workerCapacity, const std::vector<candidate> &places, const resources &need)
{
    for (const candidate &place : places) {
        resources &left = workerCapacity.remaining.at(place.worker);
        left = left - need;
    }
}

/// Requests new tickets for workers with free capacity.
void requestTickets(placement_pass &pass,
                    const waiting_step &waiting,
                    const std::vector<candidate> &candidates,
                    std::size_t tasks)
{
    advice_request request{{waiting.job->accepted.key, waiting.step}, {}};
    std::int64_t fit = 0;
    for (const candidate &choice : candidates) {
        if (request.workers.size() == maxAdviceWorkers
            || fit >= static_cast<std::int64_t>(tasks * advisedFitsPerTask)) {
            break;
        }
        request.workers.push_back(choice.worker->id);
        fit += choice.fit;
    }
    addAdviceRequest(pass, waiting, std::move(request));
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

void logPlacement(const waiting_step &waiting,
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
        .with("slack_ms", waiting.forecast.latestStart.value - now.utc.value)
        .with("prospect", static_cast<int>(waiting.forecast.prospect))
        .with("workers", describeWorkers(places));
}

/// Places the tasks whose place has a ticket. Returns the number of placed tasks.
std::size_t placeTasks(placement_pass &pass,
                       const waiting_step &waiting,
                       const std::vector<task_position> &tasks,
                       const std::vector<candidate> &places)
{
    cell_job &job = *waiting.job;
    const cell_step &step = job.steps[waiting.step];
    const job_step &declared = job.accepted.job.steps[waiting.step];
    const run_number gangRun = nextRun(job, step.first, step.count);
    std::map<worker_id, std::size_t> taken;
    std::size_t placed = 0;
    for (std::size_t index = 0; index < places.size(); ++index) {
        if (!places[index].ticketed) {
            continue;
        }
        const run_number run = declared.gang ? gangRun : nextRun(job, tasks[index].value, 1);
        pass.outcome.placed.push_back(&placeRun(pass.state, job, tasks[index], run, *places[index].worker, pass.now));
        deductCapacity(pass.workerCapacity, {places[index]}, declared.need);
        ++taken[places[index].worker->id];
        ++placed;
    }
    if (placed > 0) {
        logPlacement(waiting, taken, placed, tasks.size(), pass.now);
    }
    return placed;
}

/// True if the gang would fit on its suitable workers if they were empty.
bool couldEverFit(const placement_pass &pass, const waiting_step &waiting)
{
    const cell_step &step = waiting.job->steps[waiting.step];
    const job_step &declared = waiting.job->accepted.job.steps[waiting.step];
    std::int64_t fit = 0;
    for (const auto &[worker, left] : pass.workerCapacity.remaining) {
        if (isSuitable(waiting, *worker)
            && (!waiting.job->accepted.policy.advice || step.suitable.contains(worker->id))) {
            fit += countFits(declared.need, worker->capacity);
        }
    }
    return fit >= static_cast<std::int64_t>(step.count);
}

/// Places all tasks of a gang or none. Free capacity of its workers is kept for the gang while its tickets are
/// requested and, for up to `maxReservingGangs` gangs, until there is enough for all tasks.
void placeGang(placement_pass &pass, const waiting_step &waiting, bool mayRequest)
{
    cell_job &job = *waiting.job;
    const job_step &declared = job.accepted.job.steps[waiting.step];
    const std::vector<task_position> tasks = waitingTasks(job, job.steps[waiting.step]);
    const std::vector<candidate> candidates = listCandidates(pass.state, waiting, pass.workerCapacity, pass.now);
    const std::vector<candidate> places = choosePlaces(candidates, tasks.size());
    if (places.size() < tasks.size()) {
        const bool fits = couldEverFit(pass, waiting);
        if (!fits && mayRequest) {
            requestUnknownSuitability(pass, waiting);
        }
        if (fits && pass.reservingGangs < pass.state.policy.maxReservingGangs) {
            ++pass.reservingGangs;
            deductCapacity(pass.workerCapacity, places, declared.need);
        }
        return;
    }
    if (std::all_of(places.begin(), places.end(), [](const candidate &place) { return place.ticketed; })) {
        placeTasks(pass, waiting, tasks, places);
        return;
    }
    if (mayRequest) {
        requestTickets(pass, waiting, candidates, tasks.size());
    }
    if (job.steps[waiting.step].adviceRequested) {
        deductCapacity(pass.workerCapacity, places, declared.need);
    }
}

/// Places as many tasks of a step as fit.
void placeSingles(placement_pass &pass, const waiting_step &waiting, bool mayRequest)
{
    cell_job &job = *waiting.job;
    const job_step &declared = job.accepted.job.steps[waiting.step];
    const std::vector<task_position> tasks = waitingTasks(job, job.steps[waiting.step]);
    const std::vector<candidate> candidates = listCandidates(pass.state, waiting, pass.workerCapacity, pass.now);
    std::vector<candidate> places = choosePlaces(candidates, tasks.size());
    const std::size_t placed = placeTasks(pass, waiting, tasks, places);
    if (placed == tasks.size()) {
        return;
    }
    if (mayRequest && placed < places.size()) {
        requestTickets(pass, waiting, candidates, tasks.size() - placed);
    } else if (mayRequest) {
        requestUnknownSuitability(pass, waiting);
    }
    if (job.steps[waiting.step].adviceRequested) {
        std::erase_if(places, [](const candidate &place) { return place.ticketed; });
        deductCapacity(pass.workerCapacity, places, declared.need);
    }
}

void placeStep(placement_pass &pass, const waiting_step &waiting)
{
    const cell_job &job = *waiting.job;
    const cell_step &step = job.steps[waiting.step];
    const bool mayRequest = job.accepted.policy.advice && !step.adviceRequested && pass.now.uptime >= step.nextAdviceAt;
    if (job.accepted.policy.advice && step.suitable.empty()) {
        if (mayRequest) {
            requestUnknownSuitability(pass, waiting);
        }
    } else if (job.accepted.job.steps[waiting.step].gang) {
        placeGang(pass, waiting, mayRequest);
    } else {
        placeSingles(pass, waiting, mayRequest);
    }
}

} // namespace

std::chrono::duration<double, std::milli> adviceTime(const advice_timing &timing, std::size_t workers)
{
    return timing.decide + timing.perWorker * static_cast<double>(workers);
}

placement_outcome placeWaiting(cell_state &state, advice_capacity capacity, const clock_reading &now)
{
    placement_pass pass{state, now, {}, capacity, {}, 0};
    for (const auto &[id, worker] : state.workers) {
        if (acceptsRuns(*worker, now.uptime)) {
            pass.workerCapacity.remaining.emplace(worker.get(), freeCapacity(*worker));
        }
    }
    for (const waiting_step &waiting : collectWaiting(state, now.utc)) {
        placeStep(pass, waiting);
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
    cell_step &step = job.steps[request.step.step];
    step.adviceRequested = false;
    for (const worker_id &id : request.workers) {
        const auto worker = state.workers.find(id);
        if (worker != state.workers.end()) {
            step.assessedWorkers[id] = worker->second->incarnation;
        }
        step.suitable.erase(id);
    }
    const milliseconds valid = job.accepted.policy.advice ? job.accepted.policy.advice->valid : milliseconds(0);
    for (const advised_worker &advised : response.suitable) {
        step.suitable[advised.worker] = {advised.ticket, sentAt + valid};
    }
}

void onAdviceFailed(cell_state &state, const advice_request &request, time_point nextAdviceAt)
{
    const auto found = state.jobs.find(request.step.job);
    if (found != state.jobs.end() && request.step.step < found->second->steps.size()) {
        cell_step &step = found->second->steps[request.step.step];
        step.adviceRequested = false;
        step.nextAdviceAt = nextAdviceAt;
    }
}

} // namespace sesamespar
