// Tests the routing of requests at a front end. Guards against callers that get no answer, two answers, the answer to
// another request, or "refused" for a request that may run.
#include "process/routing.h"

#include <catch2/catch.hpp>

using namespace sesamespar;

namespace {

clock_reading at(int ms)
{
    return {time_point(milliseconds(ms)), utc_time(1000000 + ms)};
}

configuration_ptr makeSettings()
{
    auto *settings = new configuration;
    settings->version = config_version(1);
    settings->retention = milliseconds(100000);
    settings->teams.push_back({team_id("blue"), data_centre_id("milano"), 1, std::nullopt});
    settings->teams.push_back({team_id("red"), data_centre_id("verona"), 1, std::nullopt});
    work_settings work;
    work.name = work_id("build");
    work.team = team_id("blue");
    settings->work.push_back(work);
    work.name = work_id("web");
    work.kind = work_kind::Service;
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

/// One front end with its view of the peers.
struct fixture {
    std::mt19937_64 random{7};
    routing state = makeRouting(random);
    configuration_ptr settings = makeSettings();
    membership view = makeMembership(makeDaemon(), at(0).monotonic);
    outbox out;

    void receiveHeartbeat(const std::string &peer, bool leading, int ms, bool complete = true)
    {
        heartbeat beat;
        beat.dataCentre = data_centre_id("milano");
        beat.leading = leading;
        beat.complete = leading && complete;
        recordHeartbeat(view, {daemon_id(peer), incarnation_id(1), beat}, beat, at(ms));
        onLeaderChange(state, view, at(ms));
    }

    void start(const job_call &call, int ms, std::uint64_t id = 1)
    {
        startRequest(state, front_end_request_id(id), call, settings, view, at(ms), out);
    }

    void tick(int ms)
    {
        onTick(state, view, at(ms), out);
    }

    void answer(answer_status status, int ms, const std::string &sender = "a", const std::string &key = "k")
    {
        forward_answer message;
        message.correlation = correlation_id(state.lastCorrelation);
        message.answer.status = status;
        message.answer.id = {team_id("blue"), idempotency_key(key)};
        onForwardAnswer(state, daemon_id(sender), message, at(ms), out);
    }

    void notLeader(int ms, const std::string &sender = "a")
    {
        forward_answer message;
        message.correlation = correlation_id(state.lastCorrelation);
        message.notLeader = true;
        onForwardAnswer(state, daemon_id(sender), message, at(ms), out);
    }

    template<typename Effect>
    std::vector<Effect> all() const
    {
        std::vector<Effect> found;
        for (const effect &single : out) {
            if (const auto *wanted = std::get_if<Effect>(&single)) {
                found.push_back(*wanted);
            }
        }
        return found;
    }

    std::size_t sent() const
    {
        return all<send_peer>().size();
    }

    std::vector<answer_status> answers() const
    {
        std::vector<answer_status> found;
        for (const auto &single : all<answer_front_end>()) {
            found.push_back(std::get<job_answer>(single.answer).status);
        }
        return found;
    }
};

submit_request submitOf(int wait = 0)
{
    submit_request submit;
    submit.job.id = {team_id("blue"), idempotency_key("k")};
    submit.job.work = work_id("build");
    submit.job.expires = utc_time(1050000);
    submit.wait = milliseconds(wait);
    return submit;
}

using statuses = std::vector<answer_status>;

} // namespace

TEST_CASE("a request is sent to the leader of its home data centre and its answer is returned to the caller")
{
    fixture front;
    front.receiveHeartbeat("a", true, 0);
    front.start(submitOf(), 10);
    REQUIRE(front.sent() == 1);
    CHECK(front.all<send_peer>().front().peer == daemon_id("a"));
    front.answer(answer_status::Accepted, 12);
    CHECK(front.answers() == statuses{answer_status::Accepted});
    CHECK(front.all<answer_front_end>().front().id == front_end_request_id(1));
    CHECK(openRequests(front.state) == 0);
    CHECK(nextWake(front.state) == time_point::max());
}

TEST_CASE("duplicate and late answers and answers to other requests are dropped")
{
    fixture front;
    front.receiveHeartbeat("a", true, 0);
    front.start(submitOf(), 10);
    front.answer(answer_status::Done, 11, "a", "other");
    CHECK(front.answers().empty());
    front.answer(answer_status::Done, 12);
    front.answer(answer_status::Done, 13);
    front.answer(answer_status::Refused, 14);
    CHECK(front.answers() == statuses{answer_status::Done});
    CHECK(front.state.droppedAnswers == 3);
}

TEST_CASE("a request that was never sent on is refused at its deadline")
{
    fixture front;
    front.start(submitOf(), 10);
    for (int ms = 10; ms < 3010; ms += 50) {
        front.tick(ms);
    }
    CHECK(front.answers().empty());
    front.tick(3010);
    CHECK(front.answers() == statuses{answer_status::Refused});
    CHECK(std::get<job_answer>(front.all<answer_front_end>().front().answer).retryAfter.count() > 0);
    CHECK(front.sent() == 0);
}

TEST_CASE("a request that was sent on but not answered ends as unknown")
{
    fixture front;
    front.receiveHeartbeat("a", true, 0);
    front.start(submitOf(), 10);
    for (int ms = 10; ms <= 3010; ms += 50) {
        front.receiveHeartbeat("a", true, ms);
        front.tick(ms);
    }
    CHECK(front.answers() == statuses{answer_status::Unknown});
    CHECK(front.sent() >= 3);
    CHECK(front.sent() <= 12);
    std::set<correlation_id> correlations;
    for (const auto &message : front.all<send_peer>()) {
        correlations.insert(std::get<forward_request>(message.payload).correlation);
    }
    CHECK(correlations.size() == 1);
}

TEST_CASE("an answer that the request was not run is passed on after one send and becomes unknown after two")
{
    fixture once;
    once.receiveHeartbeat("a", true, 0);
    once.start(submitOf(), 10);
    once.answer(answer_status::Refused, 12);
    CHECK(once.answers() == statuses{answer_status::Refused});

    for (const auto status : {answer_status::Refused, answer_status::Conflict, answer_status::Expired}) {
        fixture twice;
        twice.receiveHeartbeat("a", true, 0);
        twice.start(submitOf(), 10);
        twice.tick(410);
        REQUIRE(twice.sent() == 2);
        forward_answer message;
        message.correlation = correlation_id(twice.state.lastCorrelation);
        message.answer.status = status;
        message.answer.id = submitOf().job.id;
        message.answer.reason = std::string(1024, 'r');
        onForwardAnswer(twice.state, daemon_id("a"), message, at(412), twice.out);
        CHECK(twice.answers() == statuses{answer_status::Unknown});
        // Decoders of answers accept reasons of at most 1024 bytes.
        CHECK(std::get<job_answer>(twice.all<answer_front_end>().front().answer).reason.size() <= 1024);
    }
}

TEST_CASE("a call is repeated soon after a not-leader answer and promptly after a change of the leader")
{
    fixture front;
    front.receiveHeartbeat("a", true, 0);
    front.start(submitOf(), 10);
    front.notLeader(12);
    CHECK(nextWake(front.state) <= at(62).monotonic);
    front.receiveHeartbeat("a", false, 20);
    front.receiveHeartbeat("b", true, 20);
    front.tick(70);
    REQUIRE(front.sent() == 2);
    CHECK(front.all<send_peer>().back().peer == daemon_id("b"));
    front.answer(answer_status::Accepted, 72, "b");
    CHECK(front.answers() == statuses{answer_status::Accepted});
}

TEST_CASE("a request that an incomplete leader answered with unknown is repeated when the leader becomes complete")
{
    fixture front;
    front.receiveHeartbeat("a", true, 0, false);
    front.start(submitOf(), 10);
    front.answer(answer_status::Unknown, 12);
    for (int ms = 20; ms < 2000; ms += 100) {
        front.receiveHeartbeat("a", true, ms, false);
        front.tick(ms);
    }
    CHECK(front.sent() == 1);
    front.receiveHeartbeat("a", true, 2000, true);
    front.tick(2050);
    CHECK(front.sent() == 2);
    front.answer(answer_status::Accepted, 2052);
    CHECK(front.answers() == statuses{answer_status::Accepted});
}

TEST_CASE("a waiting caller gets the outcome, or the acceptance at the end of its wait")
{
    fixture done;
    done.receiveHeartbeat("a", true, 0);
    done.start(submitOf(5000), 0);
    done.answer(answer_status::Accepted, 5);
    CHECK(done.answers().empty());
    done.answer(answer_status::Refused, 6);
    done.answer(answer_status::NotFound, 6);
    done.answer(answer_status::Unknown, 6);
    CHECK(done.answers().empty());
    for (int ms = 100; ms < 4000; ms += 100) {
        done.receiveHeartbeat("a", true, ms);
        done.tick(ms);
    }
    const auto messages = done.all<send_peer>();
    REQUIRE(messages.size() >= 4);
    CHECK(messages.size() <= 8);
    CHECK(std::holds_alternative<status_request>(std::get<forward_request>(messages.back().payload).call));
    done.answer(answer_status::Done, 4000);
    CHECK(done.answers() == statuses{answer_status::Done});

    fixture late;
    late.receiveHeartbeat("a", true, 0);
    late.start(submitOf(1000), 0);
    late.answer(answer_status::Accepted, 5);
    late.tick(999);
    CHECK(late.answers().empty());
    late.tick(1000);
    CHECK(late.answers() == statuses{answer_status::Accepted});
}

TEST_CASE("no request is kept open longer than the longest wait")
{
    fixture front;
    front.receiveHeartbeat("a", true, 0);
    front.start(submitOf(3600000), 0);
    front.answer(answer_status::Accepted, 5);
    front.tick(59999);
    CHECK(front.answers().empty());
    front.tick(60000);
    CHECK(front.answers() == statuses{answer_status::Accepted});
}

TEST_CASE("submissions are checked against the configuration")
{
    fixture front;
    front.receiveHeartbeat("a", true, 0);
    const auto check = [&](auto change, answer_status status) {
        auto submit = submitOf();
        change(submit.job);
        front.out.clear();
        front.start(submit, 0);
        CHECK(front.sent() == 0);
        CHECK(front.answers() == statuses{status});
        CHECK_FALSE(std::get<job_answer>(front.all<answer_front_end>().front().answer).reason.empty());
    };
    check([](job_request &job) { job.id.team = team_id("green"); }, answer_status::Refused);
    check([](job_request &job) { job.work = work_id("none"); }, answer_status::Refused);
    check([](job_request &job) { job.work = work_id("web"); }, answer_status::Refused);
    check([](job_request &job) { job.id.team = team_id("red"); }, answer_status::Refused);
    check([](job_request &job) { job.id.key = idempotency_key(""); }, answer_status::Refused);
    check([](job_request &job) { job.id.key = idempotency_key(std::string(129, 'x')); }, answer_status::Refused);
    check([](job_request &job) { job.id.key = idempotency_key("service:web"); }, answer_status::Refused);
    check([](job_request &job) { job.payload = std::string(maxPayloadBytes + 1, 'x'); }, answer_status::Refused);
    check([](job_request &job) { job.expires = utc_time(1000000); }, answer_status::Expired);
    check([](job_request &job) { job.expires = utc_time(1130001); }, answer_status::Refused);
    check([](job_request &job) { job.expires = utc_time(INT64_MAX); }, answer_status::Refused);
    check([](job_request &job) { job.expires = utc_time(INT64_MIN); }, answer_status::Expired);
    front.out.clear();
    auto furthest = submitOf();
    furthest.job.expires = utc_time(1130000);
    front.start(furthest, 0);
    CHECK(front.sent() == 1);
}

TEST_CASE("without a configuration a submission is refused and a status is unknown")
{
    fixture front;
    front.receiveHeartbeat("a", true, 0);
    front.settings = nullptr;
    front.start(submitOf(), 0);
    front.start(status_request{submitOf().job.id, milliseconds(0)}, 0);
    front.start(cancel_request{submitOf().job.id}, 0);
    CHECK(front.answers() == statuses{answer_status::Refused, answer_status::Unknown, answer_status::Unknown});
}

TEST_CASE("status and cancellation are answered as unknown when the leader cannot be reached")
{
    fixture front;
    front.start(status_request{submitOf().job.id, milliseconds(0)}, 0);
    front.start(cancel_request{submitOf().job.id}, 0);
    front.tick(3000);
    CHECK(front.answers() == statuses{answer_status::Unknown, answer_status::Unknown});

    fixture refusedCancel;
    refusedCancel.receiveHeartbeat("a", true, 0);
    refusedCancel.start(cancel_request{submitOf().job.id}, 0);
    refusedCancel.answer(answer_status::Refused, 5);
    CHECK(refusedCancel.answers() == statuses{answer_status::Unknown});
}

TEST_CASE("the answer to a status request is passed on unchanged")
{
    for (const auto status : {answer_status::NotFound, answer_status::Done, answer_status::Accepted}) {
        fixture front;
        front.receiveHeartbeat("a", true, 0);
        front.start(status_request{submitOf().job.id, milliseconds(0)}, 0);
        front.answer(status, 5);
        CHECK(front.answers() == statuses{status});
    }
}

TEST_CASE("the number of open requests is bounded")
{
    fixture front;
    front.receiveHeartbeat("a", true, 0);
    for (std::uint64_t id = 1; id <= maxOpenRequests; ++id) {
        front.start(submitOf(), 0, id);
    }
    CHECK(openRequests(front.state) == maxOpenRequests);
    CHECK(front.answers().empty());
    front.start(submitOf(), 0, maxOpenRequests + 1);
    CHECK(front.answers() == statuses{answer_status::Refused});
    CHECK(openRequests(front.state) == maxOpenRequests);
}

TEST_CASE("retries stay within the retry budget")
{
    fixture front;
    front.receiveHeartbeat("a", true, 0);
    front.state.budget = {0, 100, 0.1};
    for (std::uint64_t id = 1; id <= 1000; ++id) {
        front.start(submitOf(), 0, id);
    }
    for (int ms = 0; ms <= 3000; ms += 50) {
        front.receiveHeartbeat("a", true, ms);
        front.tick(ms);
    }
    CHECK(front.sent() <= 1100);
    CHECK(front.state.withheldRetries > 0);
    CHECK(front.answers().size() == 1000);
}

TEST_CASE("a draining front end refuses new requests and answers the open ones by its limit")
{
    fixture front;
    front.receiveHeartbeat("a", true, 0);
    front.start(submitOf(60000), 0, 1);
    front.answer(answer_status::Accepted, 1);
    front.start(submitOf(60000), 0, 2);
    startDraining(front.state, at(500).monotonic, at(100));
    front.start(submitOf(), 100, 3);
    CHECK(front.answers() == statuses{answer_status::Refused});
    front.tick(499);
    CHECK(openRequests(front.state) == 2);
    front.tick(500);
    CHECK(openRequests(front.state) == 0);
    const auto all = front.answers();
    REQUIRE(all.size() == 3);
    CHECK(std::count(all.begin(), all.end(), answer_status::Accepted) == 1);
    CHECK(std::count(all.begin(), all.end(), answer_status::Unknown) == 1);
}
