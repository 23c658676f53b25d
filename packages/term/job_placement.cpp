#include "term/job_placement.h"

#include "base/log.h"
#include "term/objective.h"
#include "term/run_lifecycle.h"

#include <algorithm>
#include <limits>

namespace sesamespar {

namespace {

/// A ticket is not used when less than this is left of its life: the place has to be noted in the store and the
/// start sent, which takes two round trips.
constexpr milliseconds ticketMargin{150};
/// Workers about which is asked again for each waiting task when tickets are too old.
constexpr std::size_t askedPerTask = 2;
/// Workers that one log line names, so that a wide gang does not make a long line.
constexpr std::size_t mostWorkersLogged = 24;

/// A step with waiting tasks whose turn has come.
struct waiting_step {
    cell_job *job = nullptr;
    std::uint32_t step = 0;
    job_outlook outlook;
};

/// Queues of the most urgent priority have many small jobs, which are worth their little room also when late.
constexpr int urgentPriority = 0;

/// Coarse order: what can be of use first, and of this what can still be in time or is urgent.
int rankOf(const waiting_step &waiting)
{
    if (waiting.outlook.prospect == job_prospect::Overdue) {
        return 2;
    }
    const bool urgent = waiting.job->accepted.policy.priority == urgentPriority;
    return urgent || waiting.outlook.prospect == job_prospect::InTime ? 0 : 1;
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
    if (left.outlook.latestStart != right.outlook.latestStart) {
        return left.outlook.latestStart < right.outlook.latestStart;
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
    // A gang starts again only when all runs of its members are over.
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
        bool judged = false;
        job_outlook outlook;
        for (std::uint32_t step = 0; step < job->steps.size(); ++step) {
            if (!hasWaiting(*job, step) || !isReady(*job, step)) {
                continue;
            }
            if (!judged) {
                outlook = outlookOf(state, *job, now);
                judged = true;
            }
            waiting.push_back({job.get(), step, outlook});
        }
    }
    std::sort(waiting.begin(), waiting.end(), state.policy.order == work_order::Outlook ? isAhead : arrivedEarlier);
    return waiting;
}

/// Room during one pass: what is free less what is kept for steps ahead.
struct room_table {
    std::map<const cell_worker *, resources> left;
};

/// What one pass uses up and brings about.
struct placement_pass {
    cell_state &state;
    const clock_reading &now;
    room_table rooms;
    advice_capacity capacity;
    placement_outcome outcome;
    std::size_t gathering = 0; ///< Gangs for which room is gathered.
};

/// A worker and how many tasks of the step it could take.
struct candidate {
    cell_worker *worker = nullptr;
    std::int64_t fit = 0;
    bool ticketed = false; ///< No ticket is needed, or a valid one is there.
    bool failedHere = false; ///< A waiting task of the step has failed there in its latest run.
};

/// True if a waiting task of the step has failed on the worker in its latest run.
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

std::int64_t countFits(const resources &need, const resources &room)
{
    std::int64_t fit = std::numeric_limits<std::int64_t>::max();
    const auto bound = [&fit](std::int64_t each, std::int64_t available) {
        if (each > 0) {
            fit = std::min(fit, std::max<std::int64_t>(available, 0) / each);
        }
    };
    bound(need.processors.value, room.processors.value);
    bound(need.memory.value, room.memory.value);
    bound(need.accelerator.value, room.accelerator.value);
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
    const auto found = step.good.find(worker);
    return found != step.good.end() && found->second.validUntil >= uptime + ticketMargin;
}

/// Workers that may run the step and have room for at least one task. Those with the least room come first, so that
/// wide room stays together; with data on a rack, that rack comes before all others.
std::vector<candidate>
listCandidates(cell_state &state, const waiting_step &waiting, const room_table &rooms, const clock_reading &now)
{
    const cell_job &job = *waiting.job;
    const job_step &declared = job.accepted.job.steps[waiting.step];
    const cell_step &step = job.steps[waiting.step];
    const bool advised = job.accepted.policy.advice.has_value();
    std::vector<candidate> candidates;
    const auto consider = [&](cell_worker &worker) {
        if (!isSuitable(waiting, worker) || !takesRuns(worker, now.uptime)) {
            return;
        }
        const auto room = rooms.left.find(&worker);
        std::int64_t fit = room == rooms.left.end() ? 0 : countFits(declared.need, room->second);
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
        for (const auto &[id, ticket] : step.good) {
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
        const resources &leftRoom = rooms.left.at(left.worker);
        const resources &rightRoom = rooms.left.at(right.worker);
        if (state.policy.workers == worker_order::LeastRoom && leftRoom.processors != rightRoom.processors) {
            return leftRoom.processors < rightRoom.processors;
        }
        return left.worker->id < right.worker->id;
    });
    return candidates;
}

/// Puts a question if the advisor can take it.
void ask(placement_pass &pass, const waiting_step &waiting, advice_question question)
{
    const advice_timing &terms = *waiting.job->accepted.policy.advice;
    const bool isLong = adviceTime(terms, question.workers.size()) > longAdvice;
    if (pass.capacity.free == 0 || (isLong && pass.capacity.freeForLong == 0)) {
        return;
    }
    --pass.capacity.free;
    if (isLong) {
        --pass.capacity.freeForLong;
    }
    pass.capacity.freeForLong = std::min(pass.capacity.freeForLong, pass.capacity.free);
    waiting.job->steps[waiting.step].asking = true;
    pass.outcome.questions.push_back(std::move(question));
}

/// Asks about workers whose suitability is not known yet.
void askAboutUnknown(placement_pass &pass, const waiting_step &waiting)
{
    const cell_step &step = waiting.job->steps[waiting.step];
    advice_question question{{waiting.job->accepted.key, waiting.step}, {}};
    for (const auto &[id, worker] : pass.state.workers) {
        if (question.workers.size() == maxAdviceWorkers) {
            break;
        }
        const auto asked = step.asked.find(id);
        const bool known = asked != step.asked.end() && asked->second == worker->birth;
        if (!known && isSuitable(waiting, *worker) && takesRuns(*worker, pass.now.uptime)) {
            question.workers.push_back(id);
        }
    }
    if (!question.workers.empty()) {
        ask(pass, waiting, std::move(question));
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

/// One place for each task, as far as there is room.
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

void takeRoom(room_table &rooms, const std::vector<candidate> &places, const resources &need)
{
    for (const candidate &place : places) {
        resources &left = rooms.left.at(place.worker);
        left = left - need;
    }
}

/// Asks for new tickets for the workers that have room.
void askForTickets(placement_pass &pass,
                   const waiting_step &waiting,
                   const std::vector<candidate> &candidates,
                   std::size_t tasks)
{
    advice_question question{{waiting.job->accepted.key, waiting.step}, {}};
    std::int64_t fit = 0;
    for (const candidate &choice : candidates) {
        if (question.workers.size() == maxAdviceWorkers || fit >= static_cast<std::int64_t>(tasks * askedPerTask)) {
            break;
        }
        question.workers.push_back(choice.worker->id);
        fit += choice.fit;
    }
    ask(pass, waiting, std::move(question));
}

/// Workers with the number of tasks that each got, such as w1*3,w2.
std::string describeWorkers(const std::map<worker_id, std::size_t> &tasks)
{
    std::string text;
    std::size_t named = 0;
    for (const auto &[worker, count] : tasks) {
        if (named++ == mostWorkersLogged) {
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
        .with("slack_ms", waiting.outlook.latestStart.value - now.utc.value)
        .with("prospect", static_cast<int>(waiting.outlook.prospect))
        .with("workers", describeWorkers(places));
}

/// Places the tasks whose place has a ticket. Returns how many.
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
        takeRoom(pass.rooms, {places[index]}, declared.need);
        ++taken[places[index].worker->id];
        ++placed;
    }
    if (placed > 0) {
        logPlacement(waiting, taken, placed, tasks.size(), pass.now);
    }
    return placed;
}

/// True if the gang would fit on its suitable workers were they empty.
bool couldEverFit(const placement_pass &pass, const waiting_step &waiting)
{
    const cell_step &step = waiting.job->steps[waiting.step];
    const job_step &declared = waiting.job->accepted.job.steps[waiting.step];
    std::int64_t fit = 0;
    for (const auto &[worker, left] : pass.rooms.left) {
        if (isSuitable(waiting, *worker) && (!waiting.job->accepted.policy.advice || step.good.contains(worker->id))) {
            fit += countFits(declared.need, worker->capacity);
        }
    }
    return fit >= static_cast<std::int64_t>(step.count);
}

/// Places a gang as a whole or not at all. Room that is free on its workers is kept for it while its tickets are
/// asked for and, up to a number of gangs, while the rest of the room is gathered.
void placeGang(placement_pass &pass, const waiting_step &waiting, bool mayAsk)
{
    cell_job &job = *waiting.job;
    const job_step &declared = job.accepted.job.steps[waiting.step];
    const std::vector<task_position> tasks = waitingTasks(job, job.steps[waiting.step]);
    const std::vector<candidate> candidates = listCandidates(pass.state, waiting, pass.rooms, pass.now);
    const std::vector<candidate> places = choosePlaces(candidates, tasks.size());
    if (places.size() < tasks.size()) {
        const bool fits = couldEverFit(pass, waiting);
        if (!fits && mayAsk) {
            askAboutUnknown(pass, waiting);
        }
        if (fits && pass.gathering < pass.state.policy.gatheringGangs) {
            ++pass.gathering;
            takeRoom(pass.rooms, places, declared.need);
        }
        return;
    }
    if (std::all_of(places.begin(), places.end(), [](const candidate &place) { return place.ticketed; })) {
        placeTasks(pass, waiting, tasks, places);
        return;
    }
    if (mayAsk) {
        askForTickets(pass, waiting, candidates, tasks.size());
    }
    if (job.steps[waiting.step].asking) {
        takeRoom(pass.rooms, places, declared.need);
    }
}

/// Places as many tasks of a step as there is room for.
void placeSingles(placement_pass &pass, const waiting_step &waiting, bool mayAsk)
{
    cell_job &job = *waiting.job;
    const job_step &declared = job.accepted.job.steps[waiting.step];
    const std::vector<task_position> tasks = waitingTasks(job, job.steps[waiting.step]);
    const std::vector<candidate> candidates = listCandidates(pass.state, waiting, pass.rooms, pass.now);
    std::vector<candidate> places = choosePlaces(candidates, tasks.size());
    const std::size_t placed = placeTasks(pass, waiting, tasks, places);
    if (placed == tasks.size()) {
        return;
    }
    if (mayAsk && placed < places.size()) {
        askForTickets(pass, waiting, candidates, tasks.size() - placed);
    } else if (mayAsk) {
        askAboutUnknown(pass, waiting);
    }
    if (job.steps[waiting.step].asking) {
        std::erase_if(places, [](const candidate &place) { return place.ticketed; });
        takeRoom(pass.rooms, places, declared.need);
    }
}

void placeStep(placement_pass &pass, const waiting_step &waiting)
{
    const cell_job &job = *waiting.job;
    const cell_step &step = job.steps[waiting.step];
    const bool mayAsk = job.accepted.policy.advice && !step.asking && pass.now.uptime >= step.askAgainAt;
    if (job.accepted.policy.advice && step.good.empty()) {
        if (mayAsk) {
            askAboutUnknown(pass, waiting);
        }
    } else if (job.accepted.job.steps[waiting.step].gang) {
        placeGang(pass, waiting, mayAsk);
    } else {
        placeSingles(pass, waiting, mayAsk);
    }
}

} // namespace

std::chrono::duration<double, std::milli> adviceTime(const advice_timing &terms, std::size_t workers)
{
    return terms.decide + terms.perWorker * static_cast<double>(workers);
}

placement_outcome placeWaiting(cell_state &state, advice_capacity capacity, const clock_reading &now)
{
    placement_pass pass{state, now, {}, capacity, {}, 0};
    for (const auto &[id, worker] : state.workers) {
        if (takesRuns(*worker, now.uptime)) {
            pass.rooms.left.emplace(worker.get(), freeRoom(*worker));
        }
    }
    for (const waiting_step &waiting : collectWaiting(state, now.utc)) {
        placeStep(pass, waiting);
    }
    return std::move(pass.outcome);
}

void takeAdvice(cell_state &state, const advice_question &question, const advice_answer &answer, time_point sentAt)
{
    const auto found = state.jobs.find(question.step.job);
    if (found == state.jobs.end() || question.step.step >= found->second->steps.size()) {
        return;
    }
    cell_job &job = *found->second;
    cell_step &step = job.steps[question.step.step];
    step.asking = false;
    for (const worker_id &id : question.workers) {
        const auto worker = state.workers.find(id);
        if (worker != state.workers.end()) {
            step.asked[id] = worker->second->birth;
        }
        step.good.erase(id);
    }
    const milliseconds valid = job.accepted.policy.advice ? job.accepted.policy.advice->valid : milliseconds(0);
    for (const advised_worker &good : answer.good) {
        step.good[good.worker] = {good.ticket, sentAt + valid};
    }
}

void adviceFailed(cell_state &state, const advice_question &question, time_point askAgainAt)
{
    const auto found = state.jobs.find(question.step.job);
    if (found != state.jobs.end() && question.step.step < found->second->steps.size()) {
        cell_step &step = found->second->steps[question.step.step];
        step.asking = false;
        step.askAgainAt = askAgainAt;
    }
}

} // namespace sesamespar
