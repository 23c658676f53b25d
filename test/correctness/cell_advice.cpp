// Which workers the advisor is asked about, what a step keeps of the responses, and which capacity and steps a
// placement pass considers. Each case guards against a job that waits although it could run, or that runs where it may
// not.
#include "term/advice_selection.h"
#include "term/job_placement.h"
#include "term/long_request_limit.h"
#include "term/run_lifecycle.h"
#include "term/step_advice.h"
#include "term/waiting_steps.h"
#include "term/worker_reports.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <numeric>
#include <set>

using namespace sesamespar;

namespace {

constexpr std::int64_t utcNow = 1700000000000;
constexpr advice_capacity ample{32, 32};
constexpr advice_capacity oneRequest{1, 1};

clock_reading at(std::int64_t ms)
{
    const time_point point(milliseconds(1000000 + ms));
    return {point, utc_time(utcNow + ms), point};
}

cell_worker &addWorker(cell_state &state, const std::string &name, std::int64_t cores = 16)
{
    cell_worker &worker = sesamespar::addWorker(state, worker_id(name));
    worker.service = service_id("s");
    worker.capacity = {millicores(cores * 1000), mebibytes(32768), accelerators(0)};
    worker.listed = true;
    worker.seen = true;
    worker.incarnation = worker_incarnation(1);
    worker.current = worker.incarnation;
    return worker;
}

std::string nameOf(int number)
{
    return "w" + std::to_string(1000 + number);
}

void addWorkers(cell_state &state, int count, std::int64_t cores = 16)
{
    for (int number = 0; number < count; ++number) {
        addWorker(state, nameOf(number), cores);
    }
}

job_step makeStep(std::uint32_t count, std::int64_t cores, bool gang = false)
{
    job_step step;
    step.count = count;
    step.need = {millicores(cores * 1000), mebibytes(16), accelerators(0)};
    step.estimate = milliseconds(1000);
    step.gang = gang;
    return step;
}

advice_timing timingOf(double decideMs, double perWorkerMs = 0)
{
    advice_timing timing;
    timing.decide = std::chrono::duration<double, std::milli>(decideMs);
    timing.perWorker = std::chrono::duration<double, std::milli>(perWorkerMs);
    timing.valid = milliseconds(1500);
    return timing;
}

accepted_job
makeAccepted(const std::string &key, std::vector<job_step> steps, std::optional<advice_timing> advice, int priority = 1)
{
    accepted_job accepted;
    accepted.key = job_key(key);
    accepted.policy.queue = queue_id("q" + std::to_string(priority));
    accepted.policy.service = service_id("s");
    accepted.policy.priority = priority;
    accepted.policy.maxAttempts = 3;
    accepted.policy.stretch = 20;
    accepted.policy.advice = advice;
    accepted.acceptedAt = utc_time(utcNow);
    accepted.job.steps = std::move(steps);
    return accepted;
}

cell_job &addAdvised(cell_state &state, const std::string &key, const job_step &step, int priority = 1)
{
    return *addJob(state, makeAccepted(key, {step}, timingOf(20), priority), {});
}

cell_job &addUnadvised(cell_state &state, const std::string &key, const job_step &step, int priority = 1)
{
    return *addJob(state, makeAccepted(key, {step}, std::nullopt, priority), {});
}

bool names(const advice_request &request, const std::string &worker)
{
    return std::find(request.workers.begin(), request.workers.end(), worker_id(worker)) != request.workers.end();
}

/// Response that finds all named workers suitable.
advice_response suitableAll(const advice_request &request)
{
    advice_response response;
    for (const worker_id &worker : request.workers) {
        response.suitable.push_back({worker, advice_ticket("t")});
    }
    return response;
}

std::set<worker_id> workersOf(const cell_job &job)
{
    std::set<worker_id> workers;
    for (const placed_run *run : job.runs) {
        if (run != nullptr) {
            workers.insert(run->worker->id);
        }
    }
    return workers;
}

void restart(cell_state &state, const std::string &name)
{
    cell_worker &worker = *state.workers.at(worker_id(name));
    beginWorkerIncarnation(state, worker, worker_incarnation(worker.incarnation.value + 1), at(0));
    worker.incarnation = worker.current;
    worker.seen = true;
}

} // namespace

TEST_CASE("a worker that restarts between a request and its response is assessed again")
{
    // Guards against a ticket and a suitability of an earlier life of a worker, which may be of another kind by now.
    cell_state state;
    addWorkers(state, 2);
    cell_job &job = addAdvised(state, "job", makeStep(4, 16));
    const placement_outcome first = placeWaiting(state, oneRequest, at(0));
    REQUIRE(first.adviceRequests.size() == 1);
    REQUIRE(names(first.adviceRequests[0], nameOf(0)));
    restart(state, nameOf(0));
    applyAdvice(state, first.adviceRequests[0], suitableAll(first.adviceRequests[0]), at(20).uptime);
    const step_advice &advice = job.steps[0].advice;
    const worker_slot slot = state.workers.at(worker_id(nameOf(0)))->slot;
    CHECK(findSuitable(advice, slot) == nullptr);
    CHECK_FALSE(contains(advice.assessed, slot));
    const placement_outcome second = placeWaiting(state, oneRequest, at(30));
    CHECK(second.placed.size() == 1);
    REQUIRE(second.adviceRequests.size() == 1);
    CHECK(second.adviceRequests[0].workers == std::vector<worker_id>{worker_id(nameOf(0))});
}

TEST_CASE("a response from before a restart does not answer the request that was sent after it")
{
    // Guards against a worker that is taken as unsuitable for ever, because the response to the earlier request counts
    // and the one to the later request is ignored.
    cell_state state;
    addWorkers(state, 1);
    cell_job &job = addAdvised(state, "job", makeStep(1, 16));
    const placement_outcome before = placeWaiting(state, ample, at(0));
    REQUIRE(before.adviceRequests.size() == 1);
    restart(state, nameOf(0));
    // A step that found no worker to ask about looks again after a pause.
    const placement_outcome after = placeWaiting(state, ample, at(200));
    REQUIRE(after.adviceRequests.size() == 1);
    applyAdvice(state, before.adviceRequests[0], {}, at(210).uptime);
    applyAdvice(state, after.adviceRequests[0], suitableAll(after.adviceRequests[0]), at(220).uptime);
    CHECK(job.steps[0].advice.openRequests == 0);
    CHECK(placeWaiting(state, ample, at(400)).placed.size() == 1);
}

TEST_CASE("a worker in the slot of a removed one inherits nothing")
{
    // Guards against tasks on a worker that the advisor has not assessed, with the ticket of another worker.
    cell_state state;
    addWorkers(state, 3);
    cell_job &known = addAdvised(state, "known", makeStep(9, 16));
    const placement_outcome first = placeWaiting(state, oneRequest, at(0));
    REQUIRE(first.adviceRequests.size() == 1);
    applyAdvice(state, first.adviceRequests[0], suitableAll(first.adviceRequests[0]), at(10).uptime);
    // The response of the second job is on its way while its worker is removed.
    cell_job &asking = addAdvised(state, "asking", makeStep(9, 16));
    state.workers.at(worker_id(nameOf(1)))->missedPolls = 0;
    const placement_outcome second = placeWaiting(state, ample, at(5000));
    const auto request = std::find_if(second.adviceRequests.begin(), second.adviceRequests.end(), [](const auto &each) {
        return each.step.job == job_key("asking");
    });
    REQUIRE(request != second.adviceRequests.end());
    REQUIRE(names(*request, nameOf(1)));
    const worker_slot slot = state.workers.at(worker_id(nameOf(1)))->slot;
    removeWorker(state, worker_id(nameOf(1)));
    const cell_worker &next = addWorker(state, "next");
    REQUIRE(next.slot == slot);
    applyAdvice(state, *request, suitableAll(*request), at(5010).uptime);
    for (const cell_job *job : {&known, &asking}) {
        const step_advice &advice = job->steps[0].advice;
        CHECK(findSuitable(advice, slot) == nullptr);
        CHECK_FALSE(contains(advice.assessed, slot));
        CHECK_FALSE(contains(advice.requested, slot));
    }
    CHECK(asking.steps[0].advice.openRequests == 0);
}

TEST_CASE("the workers of a failed request are named again")
{
    // Guards against a step that never starts because the only response about its workers was lost.
    cell_state state;
    addWorkers(state, 3);
    cell_job &job = addAdvised(state, "job", makeStep(3, 16));
    const placement_outcome first = placeWaiting(state, ample, at(0));
    REQUIRE(first.adviceRequests.size() == 1);
    CHECK(first.adviceRequests[0].workers.size() == 3);
    CHECK(placeWaiting(state, ample, at(50)).adviceRequests.empty());
    onAdviceFailed(state, first.adviceRequests[0], at(200).uptime);
    CHECK(job.steps[0].advice.openRequests == 0);
    CHECK(placeWaiting(state, ample, at(190)).adviceRequests.empty());
    const placement_outcome again = placeWaiting(state, ample, at(300));
    REQUIRE(again.adviceRequests.size() == 1);
    CHECK(again.adviceRequests[0].workers.size() == 3);
}

TEST_CASE("responses and failures of several requests leave no request open")
{
    // Guards against a count below zero, which would stop all further requests of the step.
    cell_state state;
    addWorkers(state, 350);
    cell_job &job = addAdvised(state, "gang", makeStep(60, 16, true));
    job.accepted.policy.advice = timingOf(550, 8);
    std::int64_t now = 0;
    for (int round = 0; round < 12; ++round) {
        const placement_outcome outcome = placeWaiting(state, ample, at(now));
        CHECK(job.steps[0].advice.openRequests == outcome.adviceRequests.size());
        for (std::size_t index = 0; index < outcome.adviceRequests.size(); ++index) {
            const advice_request &request = outcome.adviceRequests[index];
            if ((static_cast<std::size_t>(round) + index) % 3 == 0) {
                onAdviceFailed(state, request, at(now + 100).uptime);
            } else {
                restart(state, request.workers.front().value);
                applyAdvice(state, request, {}, at(now).uptime);
            }
        }
        CHECK(job.steps[0].advice.openRequests == 0);
        now += 300;
    }
}

TEST_CASE("a response for a job that is gone changes nothing")
{
    // Guards against a crash when a job is cancelled while the advisor decides.
    cell_state state;
    addWorkers(state, 3);
    cell_job_ptr job(&addAdvised(state, "job", makeStep(3, 16)));
    const placement_outcome outcome = placeWaiting(state, ample, at(0));
    REQUIRE(outcome.adviceRequests.size() == 1);
    cancelJob(state, *job, at(10));
    job->storedChanges = job->changes;
    removeIfFinished(state, *job);
    REQUIRE(state.jobs.empty());
    applyAdvice(state, outcome.adviceRequests[0], suitableAll(outcome.adviceRequests[0]), at(20).uptime);
    onAdviceFailed(state, outcome.adviceRequests[0], at(20).uptime);
    CHECK(placeWaiting(state, ample, at(30)).placed.empty());
    CHECK(collectWaiting(state, at(30).utc).empty());
}

TEST_CASE("a queue whose first requests found no suitable worker goes on asking")
{
    // Guards against a learned share of suitable workers that ends the search before the whole cell was assessed.
    for (const bool gang : {false, true}) {
        cell_state state;
        addWorkers(state, 350);
        addAdvised(state, "job", makeStep(gang ? 20 : 1, 8, gang));
        std::set<worker_id> named;
        for (std::int64_t now = 0; now < 20000; now += 200) {
            for (const advice_request &request : placeWaiting(state, oneRequest, at(now)).adviceRequests) {
                named.insert(request.workers.begin(), request.workers.end());
                applyAdvice(state, request, {}, at(now).uptime);
            }
        }
        CHECK(named.size() == 350);
    }
}

TEST_CASE("a wide gang sends several requests at once that name different workers")
{
    // Guards against a gang of 60 tasks that asks about 350 workers in requests of over a second, one after the other.
    cell_state state;
    addWorkers(state, 350);
    cell_job &job = addAdvised(state, "gang", makeStep(60, 16, true));
    job.accepted.policy.advice = timingOf(550, 8);
    const placement_outcome outcome = placeWaiting(state, ample, at(0));
    CHECK(outcome.adviceRequests.size() > 1);
    std::size_t named = 0;
    std::set<worker_id> distinct;
    for (const advice_request &request : outcome.adviceRequests) {
        CHECK(request.workers.size() <= maxAdviceWorkers);
        named += request.workers.size();
        distinct.insert(request.workers.begin(), request.workers.end());
    }
    CHECK(distinct.size() == named);
}

TEST_CASE("the capacity of a gang whose tickets are requested is not given away before the response")
{
    // Guards against small jobs that take the places of a gang while the advisor renews its tickets, each time again.
    cell_state state;
    addWorkers(state, 4, 4);
    cell_job &gang = addAdvised(state, "gang", makeStep(3, 4, true));
    const placement_outcome first = placeWaiting(state, ample, at(0));
    REQUIRE(first.adviceRequests.size() == 1);
    applyAdvice(state, first.adviceRequests[0], suitableAll(first.adviceRequests[0]), at(20).uptime);
    const placement_outcome renewal = placeWaiting(state, ample, at(3000));
    REQUIRE(gang.steps[0].placed == 0);
    REQUIRE(renewal.adviceRequests.size() == 1);
    REQUIRE(renewal.adviceRequests[0].workers.size() == 3);
    // Later jobs arrive, one of which leaves the fourth worker nearly full, so that it would be preferred if free
    // capacity alone decided.
    cell_job &small = addUnadvised(state, "small", makeStep(4, 3), 2);
    placeWaiting(state, ample, at(3010));
    cell_job &tiny = addUnadvised(state, "tiny", makeStep(20, 1), 2);
    placeWaiting(state, ample, at(3020));
    CHECK(small.steps[0].placed == 1);
    CHECK(tiny.steps[0].placed == 1);
    applyAdvice(state, renewal.adviceRequests[0], suitableAll(renewal.adviceRequests[0]), at(3030).uptime);
    placeWaiting(state, ample, at(3040));
    CHECK(gang.steps[0].placed == 3);
}

TEST_CASE("a gang whose tickets expire at different times starts")
{
    // Guards against a gang that renews the tickets of one part of its workers while those of another part expire, so
    // that they are never all valid at the same time.
    constexpr int parts = 3;
    constexpr std::int64_t requestMs = 900;
    cell_state state;
    addWorkers(state, parts * 2);
    cell_job &gang = addAdvised(state, "gang", makeStep(parts * 2, 16, true));
    gang.accepted.policy.advice = timingOf(static_cast<double>(requestMs));
    step_advice &advice = gang.steps[0].advice;
    for (int number = 0; number < parts * 2; ++number) {
        const worker_slot slot = state.workers.at(worker_id(nameOf(number)))->slot;
        insert(advice.assessed, slot);
        setSuitable(advice, {slot, advice_ticket("t"), at(150 + std::int64_t{750} * (number / 2)).uptime});
    }
    std::vector<std::pair<std::int64_t, advice_request>> open;
    std::int64_t now = 10;
    for (; now < 30000 && gang.steps[0].placed == 0; now += 10) {
        for (const auto &[due, request] : open) {
            if (due == now) {
                applyAdvice(state, request, suitableAll(request), at(now).uptime);
            }
        }
        for (advice_request &request : placeWaiting(state, ample, at(now)).adviceRequests) {
            open.emplace_back(now + requestMs, std::move(request));
        }
    }
    // Two requests in a row are enough if the second one names all workers.
    CHECK(now <= 3 * requestMs);
}

TEST_CASE("a step of a queue without advice is placed without requests")
{
    // Guards against a step that waits for a suitability that nobody decides on.
    cell_state state;
    addWorkers(state, 150, 4);
    const cell_job &gang = addUnadvised(state, "gang", makeStep(60, 4, true));
    const cell_job &small = addUnadvised(state, "small", makeStep(10, 4), 0);
    const placement_outcome outcome = placeWaiting(state, ample, at(0));
    CHECK(outcome.adviceRequests.empty());
    CHECK(gang.steps[0].placed == 60);
    CHECK(small.steps[0].placed == 10);
}

TEST_CASE("workers of another service, without the label, draining or unlisted are neither named nor used")
{
    // Guards against starts that the worker or the platform's rules forbid, and against requests about such workers.
    for (const bool gang : {false, true}) {
        cell_state state;
        for (int number = 0; number < 300; ++number) {
            cell_worker &worker = addWorker(state, nameOf(number), 4);
            worker.labels = {"fast"};
            switch (number % 5) {
            case 0:
                worker.service = service_id("other");
                break;
            case 1:
                worker.labels = {"slow"};
                break;
            case 2:
                worker.draining = true;
                break;
            case 3:
                worker.listed = false;
                break;
            default:
                break;
            }
        }
        job_step step = makeStep(60, 4, gang);
        step.requiredLabel = "fast";
        cell_job &advised = addAdvised(state, "advised", step, 0);
        const auto isUsable = [&state](const worker_id &id) {
            const cell_worker &worker = *state.workers.at(id);
            return worker.service == service_id("s") && worker.labels.contains("fast") && !worker.draining
                && worker.listed;
        };
        for (std::int64_t now = 0; now < 2000; now += 10) {
            for (const advice_request &request : placeWaiting(state, ample, at(now)).adviceRequests) {
                CHECK(std::all_of(request.workers.begin(), request.workers.end(), isUsable));
                applyAdvice(state, request, suitableAll(request), at(now).uptime);
            }
        }
        // Sixty workers of 4 cores are usable, so that the first job uses all of them.
        CHECK(advised.steps[0].placed == 60);
        cell_job &unadvised = addUnadvised(state, "unadvised", step, 2);
        CHECK(countPotentialFits(state, {&unadvised, 0, {}}) == 60);
        CHECK(placeWaiting(state, ample, at(2000)).placed.empty());
        const std::set<worker_id> used = workersOf(advised);
        CHECK(std::all_of(used.begin(), used.end(), isUsable));
    }
}

TEST_CASE("a worker that begins to drain after it was assessed gets no runs")
{
    // Guards against runs that end with their worker a few seconds later.
    cell_state state;
    addWorkers(state, 2, 4);
    cell_job &job = addAdvised(state, "job", makeStep(2, 4));
    const placement_outcome outcome = placeWaiting(state, ample, at(0));
    REQUIRE(outcome.adviceRequests.size() == 1);
    applyAdvice(state, outcome.adviceRequests[0], suitableAll(outcome.adviceRequests[0]), at(20).uptime);
    state.workers.at(worker_id(nameOf(0)))->draining = true;
    placeWaiting(state, ample, at(30));
    CHECK(workersOf(job) == std::set<worker_id>{worker_id(nameOf(1))});
    CHECK(countPotentialFits(state, {&job, 0, {}}) == 1);
}

TEST_CASE("a worker never has more tasks of a step than the step allows, over several passes")
{
    // Guards against a limit that counts the tasks of one pass only.
    cell_state state;
    addWorkers(state, 3);
    job_step step = makeStep(8, 1);
    step.maxPerWorker = 2;
    for (const bool advice : {false, true}) {
        cell_job &job = advice ? addAdvised(state, "advised", step) : addUnadvised(state, "unadvised", step);
        const auto checkCounts = [&job] {
            std::map<worker_id, int> tasks;
            for (const placed_run *run : job.runs) {
                if (run != nullptr) {
                    CHECK(++tasks[run->worker->id] <= 2);
                }
            }
        };
        for (std::int64_t now = 0; now < 500; now += 10) {
            for (const advice_request &request : placeWaiting(state, ample, at(now)).adviceRequests) {
                applyAdvice(state, request, suitableAll(request), at(now).uptime);
            }
            checkCounts();
        }
        CHECK(job.steps[0].placed == 6);
        endRun(state, *job.runs[0], run_end::Done, {}, at(500));
        placeWaiting(state, ample, at(510));
        checkCounts();
        CHECK(job.steps[0].placed == 6);
    }
}

TEST_CASE("a gang whose members need a label of few workers asks about all of these and starts")
{
    // Guards against requests full of workers that cannot run the gang.
    cell_state state;
    for (int number = 0; number < 350; ++number) {
        cell_worker &worker = addWorker(state, nameOf(number), 16);
        worker.labels = {number % 10 == 9 ? "gpu" : "plain"};
    }
    job_step step = makeStep(30, 16, true);
    step.requiredLabel = "gpu";
    cell_job &gang = addAdvised(state, "gang", step);
    for (std::int64_t now = 0; now < 1000 && gang.steps[0].placed == 0; now += 10) {
        for (const advice_request &request : placeWaiting(state, oneRequest, at(now)).adviceRequests) {
            applyAdvice(state, request, suitableAll(request), at(now).uptime);
        }
    }
    CHECK(gang.steps[0].placed == 30);
}

TEST_CASE("a step that has assessed all workers asks about a worker that joins")
{
    // Guards against a step that waits for ever for the workers that it knew when it arrived.
    for (const bool gang : {false, true}) {
        cell_state state;
        addWorkers(state, 4);
        cell_job &job = addAdvised(state, "job", makeStep(2, 8, gang));
        for (std::int64_t now = 0; now < 1000; now += 10) {
            for (const advice_request &request : placeWaiting(state, ample, at(now)).adviceRequests) {
                applyAdvice(state, request, {}, at(now).uptime);
            }
        }
        REQUIRE(job.steps[0].advice.assessed.count() == 4);
        addWorker(state, "joined");
        std::vector<advice_request> requests;
        for (std::int64_t now = 1000; now <= 1200 && requests.empty(); now += 10) {
            requests = placeWaiting(state, ample, at(now)).adviceRequests;
        }
        REQUIRE(requests.size() == 1);
        CHECK(requests[0].workers == std::vector<worker_id>{worker_id("joined")});
    }
}

TEST_CASE("a step is considered once the last task of its predecessor is done")
{
    // Guards against a job that left the list of waiting jobs while its first step ran.
    cell_state state;
    addWorkers(state, 2);
    std::vector<job_step> steps{makeStep(2, 1), makeStep(1, 1)};
    steps[1].after = {0};
    cell_job &job = *addJob(state, makeAccepted("job", steps, std::nullopt), {});
    placeWaiting(state, ample, at(0));
    CHECK(collectWaiting(state, at(10).utc).empty());
    CHECK(state.waiting.empty());
    endRun(state, *job.runs[0], run_end::Done, {}, at(20));
    CHECK(placeWaiting(state, ample, at(30)).placed.empty());
    endRun(state, *job.runs[1], run_end::Done, {}, at(40));
    CHECK(placeWaiting(state, ample, at(50)).placed.size() == 1);
    CHECK(job.steps[1].placed == 1);
}

TEST_CASE("a task whose run ends without success is considered again")
{
    // Guards against a lost or failed run whose job is no longer in the list of waiting jobs.
    cell_state state;
    addWorkers(state, 2);
    cell_job &job = addUnadvised(state, "job", makeStep(1, 1));
    cell_job &gang = addUnadvised(state, "gang", makeStep(2, 1, true));
    std::int64_t now = 0;
    for (const run_end how : {run_end::Stopped, run_end::LeaseExpired, run_end::Failed}) {
        now += 10;
        placeWaiting(state, ample, at(now));
        REQUIRE(job.steps[0].placed == 1);
        REQUIRE(gang.steps[0].placed == 2);
        CHECK(collectWaiting(state, at(now).utc).empty());
        endRun(state, *job.runs[0], how, {}, at(now));
        endRun(state, *gang.runs[0], how, {}, at(now));
        // The gang waits until the run of its other member has ended as well.
        placeWaiting(state, ample, at(now));
        CHECK(job.steps[0].placed == 1);
        CHECK(gang.steps[0].placed == 1);
        endRun(state, *gang.runs[1], run_end::GangMemberEnded, {}, at(now));
    }
    placeWaiting(state, ample, at(now));
    CHECK(gang.steps[0].placed == 2);
}

TEST_CASE("a job that became final is not considered")
{
    // Guards against a run of a job after the caller was told that it is cancelled.
    cell_state state;
    cell_job_ptr job(&addUnadvised(state, "job", makeStep(1, 1)));
    CHECK(collectWaiting(state, at(0).utc).size() == 1);
    cancelJob(state, *job, at(10));
    CHECK(collectWaiting(state, at(20).utc).empty());
    CHECK(state.waiting.empty());
    addWorkers(state, 1);
    CHECK(placeWaiting(state, ample, at(30)).placed.empty());
}

TEST_CASE("a job restored by a takeover is considered with the steps that remain")
{
    // Guards against a job whose progress a new leader has read, and which it never places.
    cell_state state;
    addWorkers(state, 2);
    std::vector<job_step> steps{makeStep(2, 1), makeStep(2, 1)};
    steps[1].after = {0};
    job_progress progress;
    progress.phase = job_phase::Running;
    progress.tasks.resize(3);
    progress.tasks[0].phase = task_phase::Done;
    progress.tasks[1].phase = task_phase::Done;
    progress.tasks[2].phase = task_phase::Done;
    const cell_job_ptr job = addJob(state, makeAccepted("job", steps, std::nullopt), progress);
    const std::vector<waiting_step> waiting = collectWaiting(state, at(0).utc);
    REQUIRE(waiting.size() == 1);
    CHECK(waiting[0].step == 1);
    CHECK(placeWaiting(state, ample, at(0)).placed.size() == 1);
    CHECK(job->runs[3] != nullptr);
}

TEST_CASE("a gang on more workers than one request may name gets tickets for all of them")
{
    // Regression: each renewal named the same first 100 workers, so that the tickets of the others stayed expired.
    for (const std::uint32_t width : {90U, 120U, 150U}) {
        INFO("width " << width);
        cell_state state;
        addWorkers(state, 350);
        cell_job &gang = addAdvised(state, "gang", makeStep(width, 16, true));
        gang.accepted.policy.advice = timingOf(900);
        step_advice &advice = gang.steps[0].advice;
        for (const cell_worker *worker : state.slots) {
            insert(advice.assessed, worker->slot);
            setSuitable(advice, {worker->slot, advice_ticket("t"), at(-100).uptime});
        }
        std::vector<advice_request> requests = placeWaiting(state, ample, at(0)).adviceRequests;
        CHECK(gang.steps[0].placed == 0);
        for (const advice_request &request : requests) {
            CHECK(request.workers.size() <= maxAdviceWorkers);
            applyAdvice(state, request, suitableAll(request), at(900).uptime);
        }
        placeWaiting(state, ample, at(910));
        CHECK(gang.steps[0].placed == width);
    }
}

TEST_CASE("a step asks on as soon as a response was not enough")
{
    // Regression: an urgent step waited for 100 ms after each response of 20 ms.
    cell_state state;
    addWorkers(state, 350);
    addAdvised(state, "small", makeStep(3, 2), 0).accepted.policy.advice = timingOf(8, 0.14);
    const placement_outcome first = placeWaiting(state, ample, at(0));
    REQUIRE(first.adviceRequests.size() == 1);
    CHECK(placeWaiting(state, ample, at(10)).adviceRequests.empty());
    applyAdvice(state, first.adviceRequests[0], {}, at(20).uptime);
    CHECK(placeWaiting(state, ample, at(20)).adviceRequests.size() == 1);
}

TEST_CASE("long requests use the machines that short ones have not needed lately")
{
    // With a fixed share, two fifths of the machines were idle while only gangs with long requests waited.
    struct load_case {
        const char *name;
        std::size_t machines;
        std::size_t shortRequests; ///< In progress until 0 ms, none afterwards.
        std::int64_t askedAtMs;
        std::size_t limit;
    };
    const load_case cases[] = {{"many short requests", 32, 16, 0, 19},
                               {"a steady load of short requests", 32, 9, 0, 23},
                               {"shortly after that load", 32, 9, 500, 24},
                               {"some seconds after that load", 32, 9, 10000, 28},
                               {"no short requests", 32, 0, 0, 28},
                               {"a small cell with many short requests", 7, 5, 0, 4},
                               {"a small cell with a few short requests", 7, 2, 0, 5},
                               {"a small cell without short requests", 7, 0, 0, 6},
                               {"more short requests than machines", 3, 9, 0, 1},
                               {"a single machine", 1, 0, 0, 1}};
    for (const load_case &tried : cases) {
        INFO(tried.name);
        short_request_use use;
        recordShortRequests(use, tried.shortRequests, at(0).uptime);
        CHECK(longRequestLimit(tried.machines, use, at(tried.askedAtMs).uptime) == tried.limit);
    }
    // A new leader does not know the load yet.
    CHECK(longRequestLimit(32, {}, at(0).uptime) == 19);
}
