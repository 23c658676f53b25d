// Runs random schedules of requests, lost, late and reordered messages, duplicate answers and leader changes. Guards
// against callers that get no answer or two, that get the answer to another request, or that get "refused", "conflict"
// or "expired" for a request that a leader has accepted or may still accept.
#include "process/routing.h"

#include <rapidcheck/catch.h>

#include <map>
#include <set>

using namespace sesamespar;

namespace {

enum class step_kind {
    Submit,
    Status,
    Cancel,
    Advance,
    Deliver,
    Drop,
    DuplicateAnswer,
    ChangeLeader,
    ChangeMode,
    Heartbeat,
    Forget,
    Drain,
};

struct step {
    step_kind kind = step_kind::Advance;
    std::uint32_t value = 0;
};

std::ostream &operator<<(std::ostream &stream, const step &single)
{
    return stream << static_cast<int>(single.kind) << ":" << single.value;
}

rc::Gen<step> genStep()
{
    const auto kinds = rc::gen::weightedElement<step_kind>({{6, step_kind::Submit},
                                                            {1, step_kind::Status},
                                                            {1, step_kind::Cancel},
                                                            {8, step_kind::Advance},
                                                            {10, step_kind::Deliver},
                                                            {2, step_kind::Drop},
                                                            {2, step_kind::DuplicateAnswer},
                                                            {2, step_kind::ChangeLeader},
                                                            {2, step_kind::ChangeMode},
                                                            {5, step_kind::Heartbeat},
                                                            {1, step_kind::Forget}});
    return rc::gen::build<step>(rc::gen::set(&step::kind, kinds),
                                rc::gen::set(&step::value, rc::gen::inRange<std::uint32_t>(0, 1U << 20)));
}

struct in_flight {
    daemon_id peer; ///< Receiver of a request, or sender of an answer.
    peer_payload payload;
};

struct tracked_request {
    job_call call;
    std::vector<answer_status> answers;
    std::vector<std::string> contents; ///< Task result in each answer; empty if the answer has no tasks.
};

enum class leader_mode {
    Ready,
    Incomplete,
    Full,
};

configuration_ptr makeSettings()
{
    auto *settings = new configuration;
    settings->version = config_version(1);
    settings->teams.push_back({team_id("blue"), data_centre_id("milano"), 1, std::nullopt});
    work_settings work;
    work.name = work_id("build");
    work.team = team_id("blue");
    settings->work.push_back(work);
    return configuration_ptr(settings);
}

daemon_settings makeDaemon()
{
    daemon_settings settings;
    settings.name = daemon_id("f");
    settings.dataCentre = data_centre_id("verona");
    settings.peers.push_back({daemon_id("a"), data_centre_id("milano"), address("127.0.0.1:1")});
    settings.peers.push_back({daemon_id("b"), data_centre_id("milano"), address("127.0.0.1:1")});
    return settings;
}

/// One front end, two daemons of the home data centre that share their records, and the messages in flight.
struct routing_world {
    std::mt19937_64 random{11};
    routing state = makeRouting(random);
    configuration_ptr settings = makeSettings();
    clock_reading now{time_point(milliseconds(1000)), utc_time(1000000)};
    membership view = makeMembership(makeDaemon(), now.monotonic);
    outbox out;
    std::vector<in_flight> net;

    std::optional<daemon_id> leader;
    leader_mode mode = leader_mode::Ready;
    std::map<job_id, job_request> records;
    std::set<correlation_id> recorded; ///< Requests that created a record.

    std::map<front_end_request_id, tracked_request> requests;
    std::map<front_end_request_id, correlation_id> correlations;

    void collect()
    {
        for (const effect &single : out) {
            if (const auto *message = std::get_if<send_peer>(&single)) {
                net.push_back({message->peer, message->payload});
            } else if (const auto *answer = std::get_if<answer_front_end>(&single)) {
                const auto &job = std::get<job_answer>(answer->answer);
                auto &request = requests.at(answer->id);
                request.answers.push_back(job.status);
                request.contents.push_back(job.tasks.empty() ? std::string() : job.tasks.front().result);
            }
        }
        out.clear();
    }

    void start(const job_call &call)
    {
        const front_end_request_id id(requests.size() + 1);
        requests[id].call = call;
        const auto before = state.lastCorrelation;
        startRequest(state, id, call, settings, view, now, out);
        if (state.lastCorrelation != before) {
            correlations[id] = correlation_id(state.lastCorrelation);
        }
        collect();
    }

    void reply(const daemon_id &sender, const correlation_id &correlation, const job_id &id, answer_status status)
    {
        forward_answer message;
        message.correlation = correlation;
        message.answer.id = id;
        message.answer.status = status;
        const auto found = records.find(id);
        const bool hasContent =
            status == answer_status::Accepted || status == answer_status::Done || status == answer_status::Cancelled;
        if (found != records.end() && hasContent) {
            task_record task;
            task.result = found->second.payload;
            message.answer.tasks.push_back(task);
        }
        message.final = status != answer_status::Accepted;
        net.push_back({sender, message});
    }

    answer_status decideSubmit(const forward_request &message, const job_request &job)
    {
        const auto found = records.find(job.id);
        if (job.expires <= now.utc) {
            return answer_status::Expired;
        }
        if (found != records.end()) {
            return found->second == job ? answer_status::Accepted : answer_status::Conflict;
        }
        if (mode == leader_mode::Incomplete) {
            return answer_status::Unknown;
        }
        if (mode == leader_mode::Full) {
            return answer_status::Refused;
        }
        records[job.id] = job;
        recorded.insert(message.correlation);
        return answer_status::Accepted;
    }

    void receive(const daemon_id &receiver, const forward_request &message)
    {
        if (receiver != leader) {
            forward_answer answer;
            answer.correlation = message.correlation;
            answer.notLeader = true;
            net.push_back({receiver, answer});
            return;
        }
        if (const auto *submit = std::get_if<submit_request>(&message.call)) {
            const auto status = decideSubmit(message, submit->job);
            reply(receiver, message.correlation, submit->job.id, status);
            if (status == answer_status::Accepted) {
                reply(receiver, message.correlation, submit->job.id, answer_status::Done);
            }
            return;
        }
        const auto *status = std::get_if<status_request>(&message.call);
        const job_id id = status != nullptr ? status->id : std::get<cancel_request>(message.call).id;
        if (records.count(id) > 0) {
            reply(
                receiver, message.correlation, id, status != nullptr ? answer_status::Done : answer_status::Cancelled);
        } else {
            reply(receiver,
                  message.correlation,
                  id,
                  mode == leader_mode::Incomplete ? answer_status::Unknown : answer_status::NotFound);
        }
    }

    void deliver(std::size_t index)
    {
        const in_flight message = net.at(index);
        net.erase(net.begin() + static_cast<std::ptrdiff_t>(index));
        if (const auto *request = std::get_if<forward_request>(&message.payload)) {
            receive(message.peer, *request);
        } else {
            onForwardAnswer(state, message.peer, std::get<forward_answer>(message.payload), now, out);
            collect();
        }
    }

    void advance(int ms)
    {
        now.monotonic += milliseconds(ms);
        now.utc.value += ms;
        onTick(state, view, now, out);
        collect();
    }

    void heartbeats()
    {
        for (const char *name : {"a", "b"}) {
            heartbeat beat;
            beat.dataCentre = data_centre_id("milano");
            beat.leading = leader == daemon_id(name);
            beat.complete = beat.leading && mode != leader_mode::Incomplete;
            recordHeartbeat(view, {daemon_id(name), incarnation_id(1), beat}, beat, now);
        }
        onLeaderChange(state, view, now);
    }

    void submit(std::uint32_t value)
    {
        submit_request call;
        call.job.id = {team_id("blue"), idempotency_key("k" + std::to_string(value % 5))};
        call.job.work = work_id("build");
        call.job.payload = call.job.id.key.value + (value % 3 == 0 ? "x" : "y");
        call.job.expires = utc_time(now.utc.value + (value % 7 == 0 ? 500 : 100000));
        call.wait = milliseconds(value % 2 == 0 ? 0 : 4000);
        start(call);
    }

    /// Removes a record unless an accepted request for it is still open.
    void forget(const job_id &id)
    {
        const bool awaited = std::any_of(state.open.begin(), state.open.end(), [&](const auto &entry) {
            const auto *submit = std::get_if<submit_request>(&entry.second.call);
            return submit != nullptr && submit->job.id == id && entry.second.latest
                && entry.second.latest->status == answer_status::Accepted;
        });
        if (!awaited) {
            records.erase(id);
        }
    }

    void run(const step &single)
    {
        const auto value = single.value;
        const job_id id{team_id("blue"), idempotency_key("k" + std::to_string(value % 5))};
        const auto index = net.empty() ? 0 : value % net.size();
        switch (single.kind) {
        case step_kind::Submit:
            submit(value);
            break;
        case step_kind::Status:
            start(status_request{id, milliseconds(value % 3000)});
            break;
        case step_kind::Cancel:
            start(cancel_request{id});
            break;
        case step_kind::Advance:
            advance(static_cast<int>(value % 1200));
            break;
        case step_kind::Deliver:
            if (!net.empty()) {
                deliver(index);
            }
            break;
        case step_kind::Drop:
            if (!net.empty()) {
                net.erase(net.begin() + static_cast<std::ptrdiff_t>(index));
            }
            break;
        case step_kind::DuplicateAnswer:
            if (!net.empty() && std::holds_alternative<forward_answer>(net[index].payload)) {
                net.push_back(net[index]);
            }
            break;
        case step_kind::ChangeLeader:
            leader = value % 3 == 0 ? std::nullopt : std::optional(daemon_id(value % 3 == 1 ? "a" : "b"));
            break;
        case step_kind::ChangeMode:
            mode = static_cast<leader_mode>(value % 3);
            break;
        case step_kind::Heartbeat:
            heartbeats();
            break;
        case step_kind::Forget:
            forget(id);
            break;
        case step_kind::Drain:
            startDraining(state, now.monotonic + milliseconds(value % 5000), now);
            break;
        }
    }

    /// Advances until every request has reached its deadline, then delivers every message that is still in flight.
    void settle()
    {
        for (int round = 0; round < 70; ++round) {
            advance(1000);
        }
        mode = leader_mode::Ready;
        records.clear();
        for (int limit = 0; limit < 20000 && !net.empty(); ++limit) {
            if (const auto *request = std::get_if<forward_request>(&net.front().payload)) {
                // The worst case: the late copy arrives while its receiver leads, and before its expiry.
                leader = net.front().peer;
                if (const auto *submit = std::get_if<submit_request>(&request->call)) {
                    now.utc = utc_time(submit->job.expires.value - 1);
                }
            }
            deliver(0);
        }
    }

    void check() const
    {
        RC_ASSERT(openRequests(state) == 0U);
        for (const auto &[id, request] : requests) {
            RC_ASSERT(request.answers.size() == 1U);
            const auto status = request.answers.front();
            const auto *submit = std::get_if<submit_request>(&request.call);
            if (submit == nullptr) {
                RC_ASSERT(status != answer_status::Refused);
                continue;
            }
            RC_ASSERT(request.contents.front().empty() || request.contents.front() == submit->job.payload);
            const auto correlation = correlations.find(id);
            if (correlation == correlations.end()) {
                continue;
            }
            if (status == answer_status::Refused || status == answer_status::Conflict
                || status == answer_status::Expired) {
                RC_ASSERT(recorded.count(correlation->second) == 0U);
            }
        }
    }
};

} // namespace

TEST_CASE("each request is answered once, correctly, and never as not run when it may have been accepted")
{
    rc::prop("any schedule", [] {
        const auto steps = *rc::gen::container<std::vector<step>>(genStep());
        routing_world model;
        model.run({step_kind::ChangeLeader, 1});
        model.run({step_kind::Heartbeat, 0});
        for (const step &single : steps) {
            model.run(single);
        }
        if (*rc::gen::inRange(0, 4) == 0) {
            model.run({step_kind::Drain, 700});
        }
        model.settle();
        model.check();
    });
}
