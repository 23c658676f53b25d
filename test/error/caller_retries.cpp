// The callers' client goes on at the next daemon and never reports that a job was not run after an attempt that
// may have reached a leader. Guards against bookings that are made twice because a caller was told "refused".
#include "connection/caller_client.h"
#include "connection/codec.h"
#include "scripted_server.h"

#include <catch2/catch.hpp>

using namespace sesamespar;

namespace {

const address nowhere("127.0.0.1:1");
const scripted_step silent{0, "", true};

caller_client_ptr clientOf(std::vector<address> daemons, milliseconds limit = milliseconds(1500))
{
    caller_client_settings settings;
    settings.daemons = std::move(daemons);
    settings.secret = "secret-of-callers";
    settings.limit = limit;
    settings.backoff = {milliseconds(10), milliseconds(50)};
    auto client = makeCallerClient(settings);
    REQUIRE(client.has_value());
    return std::move(client).value();
}

submit_request booking()
{
    submit_request request;
    request.job.id = {team_id("desk"), idempotency_key("a/b 1")};
    request.job.work = work_id("booking");
    request.job.expires = utc_time(1800000000000);
    return request;
}

scripted_step answering(int status, answer_status meaning)
{
    job_answer answer;
    answer.status = meaning;
    answer.id = booking().job.id;
    answer.reason = "scripted";
    return {status, encodeJobAnswer(answer)};
}

answer_status submitTo(const scripted_server &server)
{
    const auto client = clientOf({address(server.address())});
    const auto answer = submitJob(*client, booking());
    REQUIRE(answer.has_value());
    CHECK(answer.value().id == booking().job.id);
    return answer.value().status;
}

} // namespace

TEST_CASE("a daemon that cannot be reached is passed over")
{
    const scripted_server server({answering(202, answer_status::Accepted)});
    const auto client = clientOf({nowhere, address(server.address())});
    const auto answer = submitJob(*client, booking());
    REQUIRE(answer.has_value());
    CHECK(answer.value().status == answer_status::Accepted);
    const auto requests = server.requests();
    REQUIRE(requests.size() == 1);
    CHECK(requests[0].find("POST /v1/jobs HTTP/1.1") == 0);
    CAPTURE(requests[0]);
    CHECK(requests[0].find("Authorization:Bearer secret-of-callers\r\n") != std::string::npos);
}

TEST_CASE("no daemon that can be reached is an error that says that nothing was sent")
{
    const auto client = clientOf({nowhere}, milliseconds(300));
    const auto answer = submitJob(*client, booking());
    REQUIRE(answer.has_error());
    CHECK(answer.error().kind == error_kind::Unreachable);
}

TEST_CASE("a refusal is passed on at once if no attempt came before")
{
    const scripted_server server({answering(503, answer_status::Refused), answering(202, answer_status::Accepted)});
    CHECK(submitTo(server) == answer_status::Refused);
    CHECK(server.requests().size() == 1);
}

TEST_CASE("each daemon that is full or about to leave is tried once")
{
    const scripted_step full{503, "{\"error\":\"too many requests are waiting\"}"};
    const scripted_server first({full});
    const scripted_server second({full});
    const auto client = clientOf({address(first.address()), address(second.address())});
    const auto refused = submitJob(*client, booking());
    REQUIRE(refused.has_error());
    CHECK(refused.error().kind == error_kind::Overloaded);
    CHECK(first.requests().size() == 1);
    CHECK(second.requests().size() == 1);

    const scripted_server third({answering(202, answer_status::Accepted)});
    const auto other = clientOf({address(first.address()), address(third.address())});
    const auto accepted = submitJob(*other, booking());
    REQUIRE(accepted.has_value());
    CHECK(accepted.value().status == answer_status::Accepted);
}

TEST_CASE("a refusal after an attempt without an answer is not passed on")
{
    const scripted_server server({silent, answering(503, answer_status::Refused)});
    CHECK(submitTo(server) == answer_status::Unknown);
    CHECK(server.requests().size() > 2);
}

TEST_CASE("a refusal after an unknown outcome is not passed on")
{
    const scripted_server server({answering(504, answer_status::Unknown), answering(503, answer_status::Refused)});
    CHECK(submitTo(server) == answer_status::Unknown);
}

TEST_CASE("an expiry after an attempt without an answer is unknown")
{
    const scripted_server server({silent, answering(410, answer_status::Expired)});
    CHECK(submitTo(server) == answer_status::Unknown);
}

TEST_CASE("a wrong secret after an attempt without an answer is unknown")
{
    const scripted_server server({silent, {401, "{\"error\":\"secret\"}"}});
    CHECK(submitTo(server) == answer_status::Unknown);
}

TEST_CASE("the same request is repeated until an outcome is known")
{
    const scripted_server server({silent,
                                  answering(504, answer_status::Unknown),
                                  {502, "<html>bad gateway</html>"},
                                  {200, "{\"status\":\"nonsense\"}"},
                                  answering(200, answer_status::Done)});
    CHECK(submitTo(server) == answer_status::Done);
    const auto requests = server.requests();
    REQUIRE(requests.size() == 5);
    for (const std::string &request : requests) {
        CHECK(request.substr(request.find("\r\n\r\n")) == requests[0].substr(requests[0].find("\r\n\r\n")));
    }
}

TEST_CASE("a wrong secret is an error that says that nothing was done")
{
    const scripted_server server({{401, "{\"error\":\"secret\"}"}});
    const auto client = clientOf({address(server.address())});
    const auto answer = submitJob(*client, booking());
    REQUIRE(answer.has_error());
    CHECK(answer.error().kind == error_kind::Unauthorized);
}

TEST_CASE("keys are encoded in paths")
{
    const scripted_server server({answering(404, answer_status::NotFound)});
    const auto client = clientOf({address(server.address())});
    const auto answer = queryJob(*client, {booking().job.id, milliseconds(0)});
    REQUIRE(answer.has_value());
    CHECK(answer.value().status == answer_status::NotFound);
    CHECK(server.requests().at(0).find("GET /v1/jobs/desk/a%2Fb%201?wait_ms=0 HTTP/1.1") == 0);
}

TEST_CASE("a change with an expected version is repeated and settled by reading back")
{
    const scripted_step conflict{409, "{\"error\":\"lost\",\"version\":8}"};
    const scripted_server applied({silent, conflict}, {{200, "{\"version\":8,\"text\":\"cell: c\"}"}});
    const auto first = clientOf({address(applied.address())}, milliseconds(400));
    const apply_outcome outcome = putConfiguration(*first, "cell: c", config_version(7));
    CHECK(outcome.outcome == apply_outcome::kind::Applied);
    CHECK(outcome.version == config_version(8));
    const auto requests = applied.requests();
    REQUIRE(requests.size() >= 3);
    CHECK(requests[0].find("PUT /v1/configuration?expected=7 HTTP/1.1") == 0);
    CHECK(requests[1].find("PUT /v1/configuration?expected=7 HTTP/1.1") == 0);

    const scripted_server replaced({silent, conflict}, {{200, "{\"version\":9,\"text\":\"cell: d\"}"}});
    const auto second = clientOf({address(replaced.address())}, milliseconds(400));
    CHECK(putConfiguration(*second, "cell: c", config_version(7)).outcome == apply_outcome::kind::Unknown);
}

TEST_CASE("a change without an expected version is sent once and read back")
{
    const scripted_server applied({silent, {200, "{\"version\":8,\"text\":\"cell: c\"}"}});
    const auto first = clientOf({address(applied.address())});
    const apply_outcome outcome = putConfiguration(*first, "cell: c", std::nullopt);
    CHECK(outcome.outcome == apply_outcome::kind::Applied);
    CHECK(outcome.version == config_version(8));

    const scripted_server other({silent, {200, "{\"version\":8,\"text\":\"cell: d\"}"}});
    const auto second = clientOf({address(other.address())});
    CHECK(putConfiguration(*second, "cell: c", std::nullopt).outcome == apply_outcome::kind::Unknown);
    const auto requests = other.requests();
    REQUIRE(requests.size() == 2);
    CHECK(requests[0].find("PUT /v1/configuration HTTP/1.1") == 0);
    CHECK(requests[1].find("GET /v1/configuration HTTP/1.1") == 0);
}

TEST_CASE("answers to a change are told apart")
{
    using kind = apply_outcome::kind;
    const std::vector<std::pair<scripted_step, kind>> cases{
        {{200, "{\"version\":3}"}, kind::Applied},
        {{400, "{\"findings\":[{\"line\":2,\"column\":3,\"field\":\"f\",\"problem\":\"p\",\"allowed\":\"a\"}]}"},
         kind::Invalid},
        {{409, "{\"error\":\"lost\",\"version\":4}"}, kind::Conflict},
        {{503, "{\"error\":\"no store\"}"}, kind::Refused},
        {{401, "{\"error\":\"secret\"}"}, kind::Refused},
        {{504, "{\"error\":\"no answer\"}"}, kind::Unknown},
        {{200, "nonsense"}, kind::Unknown}};
    for (const auto &[step, expected] : cases) {
        const scripted_server server({step});
        const auto client = clientOf({address(server.address())}, milliseconds(300));
        const apply_outcome outcome = putConfiguration(*client, "cell: c", std::nullopt);
        INFO(step.status << ' ' << step.body);
        CHECK(outcome.outcome == expected);
        if (expected == kind::Invalid) {
            CHECK(outcome.problems == findings{{"", 2, 3, "f", "p", "a"}});
        }
    }
}
