// The cost of a malicious or broken sender is bounded, and each such sender receives an HTTP status. Guards against
// senders that hold a connection indefinitely, exhaust the memory or receive no answer, which the HTTP library alone
// does not prevent.
#include "connection/codec.h"
#include "connection/front_end.h"
#include "connection/http_guard.h"
#include "raw_http.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <fstream>
#include <vector>

using namespace sesamespar;

namespace {

constexpr std::size_t mebibyte = 1048576;

/// A front end that answers every call at once: job calls with `answer`, all others with the text "ok".
struct instant_front_end {
    std::shared_ptr<front_end> running;
    job_answer answer;

    explicit instant_front_end(const daemon_settings &settings = testSettings())
    {
        answer.id = {team_id("t"), idempotency_key("k")};
        answer.status = answer_status::Done;
        auto started = startFrontEnd(settings, [this](const front_end_request &request) {
            ++calls;
            if (std::holds_alternative<job_call>(request.call)) {
                answerFrontEnd(*publishedFrontEnd(), request.id, answer);
            } else {
                answerFrontEnd(*publishedFrontEnd(), request.id, text_answer{200, "text/plain", "ok"});
            }
            return true;
        });
        running = started.value();
        published = running.get();
    }
    ~instant_front_end()
    {
        stopFrontEnd(*running);
    }
    instant_front_end(const instant_front_end &) = delete;
    instant_front_end &operator=(const instant_front_end &) = delete;

    front_end *publishedFrontEnd() const
    {
        return published;
    }

    std::atomic<front_end *> published = nullptr;
    std::atomic<int> calls = 0;
};

/// Sends bytes on a new connection and returns everything received until the front end closes it.
std::string sendAndReadAll(const instant_front_end &frontEnd, const std::string &bytes)
{
    raw_caller caller(boundAddress(*frontEnd.running));
    caller.send(bytes);
    return caller.readAll();
}

/// Resident memory of this process in bytes.
std::size_t residentBytes()
{
    std::ifstream statm("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    statm >> total >> resident;
    return resident * 4096;
}

const std::string submitBody = R"({"team":"t","key":"k","work":"w","expires":1})";

} // namespace

TEST_CASE("a head above the limit gets 431")
{
    instant_front_end frontEnd;
    CHECK(statusOf(sendAndReadAll(frontEnd, "GET /v1/nodes HTTP/1.1\r\nX: " + std::string(20000, 'a'))) == 431);
    CHECK(statusOf(sendAndReadAll(frontEnd, "GET /" + std::string(20000, 'a') + " HTTP/1.1\r\n\r\n")) == 431);
    CHECK(frontEnd.calls == 0);
}

TEST_CASE("a head of 20 MiB and a body of 200 MiB get a status and are not held in memory")
{
    instant_front_end frontEnd;
    const std::size_t before = residentBytes();
    const auto sendOversized = [&](const std::string &head, std::size_t mebibytes) {
        raw_caller caller(boundAddress(*frontEnd.running));
        std::thread sender([&] {
            const std::string chunk(mebibyte, 'a');
            bool open = caller.send(head);
            for (std::size_t sent = 0; open && sent < mebibytes; ++sent) {
                open = caller.send(chunk);
            }
        });
        std::string answer = caller.readAnswer();
        sender.join();
        return answer;
    };
    CHECK(statusOf(sendOversized("GET /v1/nodes HTTP/1.1\r\nX: ", 20)) == 431);
    CHECK(statusOf(sendOversized("POST /v1/jobs HTTP/1.1\r\nContent-Length: 209715200\r\n\r\n", 200)) == 413);
    const std::size_t after = residentBytes();
    const std::size_t growth = after > before ? after - before : 0;
    WARN("resident memory before " << before / 1024 << " KiB, growth " << growth / 1024 << " KiB");
    CHECK(growth < 16 * mebibyte);
}

TEST_CASE("a Content-Length that is negative, repeated, malformed, missing or replaced by an encoding gets a status")
{
    instant_front_end frontEnd;
    const auto status = [&](const std::string &headers) {
        return statusOf(sendAndReadAll(frontEnd, "POST /v1/jobs HTTP/1.1\r\n" + headers + "\r\n"));
    };
    CHECK(status("Content-Length: -5\r\n") == 400);
    CHECK(status("Content-Length: +5\r\n") == 400);
    CHECK(status("Content-Length: five\r\n") == 400);
    CHECK(status("Content-Length: \r\n") == 400);
    CHECK(status("Content-Length: 5, 5\r\n") == 400);
    CHECK(status("Content-Length: 5\r\nContent-Length: 5\r\n") == 400);
    CHECK(status("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n") == 400);
    CHECK(status("Transfer-Encoding: chunked\r\n") == 411);
    CHECK(status("") == 411);
    CHECK(status("Content-Length: 99999999999999999999999\r\n") == 413);
    CHECK(status("Content-Length: 262145\r\n") == 413);
    CHECK(frontEnd.calls == 0);
}

TEST_CASE("a malformed head gets 400 and an unsupported method 405")
{
    instant_front_end frontEnd;
    const std::vector<std::string> malformed{"GET\r\n\r\n",
                                             "GET /v1/nodes\r\n\r\n",
                                             "GET /v1/nodes HTTP/2.0\r\n\r\n",
                                             "GET v1 HTTP/1.1\r\n\r\n",
                                             "GET /v1/\x01 HTTP/1.1\r\n\r\n",
                                             "GET /v1/nodes HTTP/1.1\r\nno colon\r\n\r\n",
                                             "GET /v1/nodes HTTP/1.1\r\nA: b\r\n folded\r\n\r\n",
                                             "GET /v1/nodes HTTP/1.1\r\nA : b\r\n\r\n",
                                             "\x16\x03\x01\r\n\r\n"};
    for (const std::string &head : malformed) {
        CAPTURE(head);
        CHECK(statusOf(sendAndReadAll(frontEnd, head)) == 400);
    }
    CHECK(statusOf(sendAndReadAll(frontEnd, "PATCH /v1/nodes HTTP/1.1\r\n\r\n")) == 405);
    CHECK(frontEnd.calls == 0);
}

TEST_CASE("a request that is not received completely within its time limit gets 408")
{
    guard_limits limits;
    limits.bodyBytes = 1000;
    limits.connections = 10;
    limits.request = milliseconds(50);
    const auto guard = startHttpGuard(address("127.0.0.1:0"), 1, limits);
    REQUIRE(guard.has_value());
    for (const std::string &part : {std::string(),
                                    std::string("GET /v1/no"),
                                    std::string("POST /v1/jobs HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc")}) {
        raw_caller caller(boundAddress(*guard.value()));
        caller.send(part);
        CHECK(statusOf(caller.readAll()) == 408);
    }
    stopHttpGuard(*guard.value());
}

TEST_CASE("a sender that trickles single bytes gets 408 as well")
{
    guard_limits limits;
    limits.bodyBytes = 1000;
    limits.connections = 10;
    limits.request = milliseconds(100);
    const auto guard = startHttpGuard(address("127.0.0.1:0"), 1, limits);
    REQUIRE(guard.has_value());
    raw_caller caller(boundAddress(*guard.value()));
    std::atomic<bool> answered = false;
    std::thread sender([&] {
        std::size_t sent = 0;
        caller.send("GET /v1/nodes HTTP/1.1\r\nX: ");
        while (!answered && ++sent < 10000 && caller.send("a")) {
            std::this_thread::yield();
        }
    });
    const std::string answer = caller.readAnswer();
    answered = true;
    sender.join();
    // A fast sender reaches the size limit of the head before the time limit.
    CHECK((statusOf(answer) == 408 || statusOf(answer) == 431));
    stopHttpGuard(*guard.value());
}

TEST_CASE("a connection above the limit gets 503, and a new one is accepted after another has closed")
{
    daemon_settings settings = testSettings();
    settings.connectionLimit = 2;
    instant_front_end frontEnd(settings);
    const std::string request = makeRequest("GET", "/v1/jobs/t/k");
    std::vector<std::unique_ptr<raw_caller>> openConnections;
    for (int index = 0; index < 2; ++index) {
        openConnections.push_back(std::make_unique<raw_caller>(boundAddress(*frontEnd.running)));
        openConnections.back()->send(request);
        CHECK(statusOf(openConnections.back()->readAnswer()) == 200);
    }
    raw_caller rejected(boundAddress(*frontEnd.running));
    CHECK(statusOf(rejected.readAnswer()) == 503);
    rejected.close();
    openConnections.pop_back();
    CHECK(waitUntil([&] {
        raw_caller next(boundAddress(*frontEnd.running));
        next.send(request);
        return statusOf(next.readAnswer()) == 200;
    }));
}

TEST_CASE("a caller that does not read its answer costs bounded memory and time")
{
    // The upstream offers a very large answer and counts the bytes that the guard reads.
    boost::asio::io_context context;
    using boost::asio::ip::tcp;
    tcp::acceptor acceptor(context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    guard_limits limits;
    limits.connections = 10;
    limits.write = milliseconds(300);
    const auto guard = startHttpGuard(address("127.0.0.1:0"), acceptor.local_endpoint().port(), limits);
    REQUIRE(guard.has_value());

    raw_caller caller(boundAddress(*guard.value()));
    caller.send("GET /v1/dump HTTP/1.1\r\n\r\n");
    tcp::socket upstream = acceptor.accept();
    std::string head;
    boost::asio::read_until(upstream, boost::asio::dynamic_buffer(head), "\r\n\r\n");
    constexpr std::size_t offered = 1024 * mebibyte;
    boost::system::error_code ended;
    const std::string answerHead = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(offered) + "\r\n\r\n";
    boost::asio::write(upstream, boost::asio::buffer(answerHead), ended);
    const std::string chunk(mebibyte, 'a');
    std::size_t taken = 0;
    while (!ended && taken < offered) {
        taken += boost::asio::write(upstream, boost::asio::buffer(chunk), ended);
    }
    CHECK(ended);
    CHECK(taken < 64 * mebibyte);
    CHECK(waitUntil([&] { return openRequests(*guard.value()) == 0; }));
    stopHttpGuard(*guard.value());
}

TEST_CASE("a missing or wrong secret gets 401")
{
    instant_front_end frontEnd;
    raw_caller caller(boundAddress(*frontEnd.running));
    const auto status = [&](const std::string &target, const std::string &secret) {
        caller.send(makeRequest("GET", target, {}, secret));
        return statusOf(caller.readAnswer());
    };
    CHECK(status("/v1/jobs/t/k", testCallerSecret) == 200);
    CHECK(status("/v1/jobs/t/k", testOperatorSecret) == 200);
    CHECK(status("/v1/jobs/t/k", "") == 401);
    CHECK(status("/v1/jobs/t/k", "caller-secret-0124") == 401);
    CHECK(status("/v1/jobs/t/k", testCallerSecret + "x") == 401);
    for (const std::string target : {"/v1/nodes", "/v1/dump", "/v1/metrics", "/v1/configuration", "/v1/other"}) {
        CAPTURE(target);
        CHECK(status(target, testCallerSecret) == 401);
    }
    CHECK(status("/v1/metrics", testOperatorSecret) == 200);
    CHECK(status("/v1/other", testOperatorSecret) == 404);
    caller.send("GET /v1/metrics HTTP/1.1\r\n\r\n");
    CHECK(statusOf(caller.readAnswer()) == 401);
}

TEST_CASE("a malformed call gets 400 with the name of its field")
{
    instant_front_end frontEnd;
    raw_caller caller(boundAddress(*frontEnd.running));
    const auto problem = [&](const std::string &method, const std::string &target, const std::string &body) {
        caller.send(makeRequest(method, target, body, testOperatorSecret));
        const std::string answer = caller.readAnswer();
        CHECK(statusOf(answer) == 400);
        return bodyOf(answer);
    };
    CHECK(problem("POST", "/v1/jobs", "{") == R"({"error":"the message is not valid JSON"})");
    CHECK(problem("POST", "/v1/jobs", R"({"team":"t"})") == R"({"error":"key: is missing"})");
    CHECK(problem("GET", "/v1/jobs/t/k?wait_ms=60001", "") == R"({"error":"wait_ms: must be from 0 to 60000"})");
    CHECK(problem("GET", "/v1/jobs/t/k?wait_ms=-1", "") == R"({"error":"wait_ms: must be from 0 to 60000"})");
    CHECK(problem("GET", "/v1/jobs/t/k?wait=1", "") == R"({"error":"wait: is not a known query parameter"})");
    CHECK(problem("GET", "/v1/jobs/t/k%00", "") == R"({"error":"key: must not have control characters"})");
    CHECK(problem("GET", "/v1/jobs/t/%FF", "") == R"({"error":"key: must be valid UTF-8"})");
    CHECK(problem("PUT", "/v1/configuration?expected=x", "a: 1") == R"({"error":"expected: must be a whole number"})");
    CHECK(frontEnd.calls == 0);
}

TEST_CASE("each status of a job answer has its HTTP status")
{
    instant_front_end frontEnd;
    raw_caller caller(boundAddress(*frontEnd.running));
    const auto answerTo = [&](answer_status status, milliseconds retryAfter) {
        frontEnd.answer.status = status;
        frontEnd.answer.retryAfter = retryAfter;
        caller.send(makeRequest("POST", "/v1/jobs", submitBody));
        return caller.readAnswer();
    };
    const auto statusFor = [&](answer_status status) {
        return statusOf(answerTo(status, milliseconds(0)));
    };
    CHECK(statusFor(answer_status::Accepted) == 202);
    CHECK(statusFor(answer_status::Done) == 200);
    CHECK(statusFor(answer_status::Failed) == 200);
    CHECK(statusFor(answer_status::Cancelled) == 200);
    CHECK(statusFor(answer_status::Lost) == 200);
    CHECK(statusFor(answer_status::Conflict) == 409);
    CHECK(statusFor(answer_status::Expired) == 410);
    CHECK(statusFor(answer_status::NotFound) == 404);
    CHECK(statusFor(answer_status::Unknown) == 504);
    CHECK(statusFor(answer_status::Refused) == 422);
    const std::string refused = answerTo(answer_status::Refused, milliseconds(1200));
    CHECK(statusOf(refused) == 503);
    CHECK(refused.find("Retry-After: 2\r\n") != std::string::npos);
    CHECK(decodeJobAnswer(bodyOf(refused)).value().status == answer_status::Refused);
}

TEST_CASE("pipelined requests are answered in order, and Expect: 100-continue is answered with status 100")
{
    instant_front_end frontEnd;
    raw_caller caller(boundAddress(*frontEnd.running));
    caller.send(makeRequest("GET", "/v1/jobs/t/k") + makeRequest("GET", "/v1/nodes", {}, testOperatorSecret)
                + makeRequest("GET", "/v1/nodes", {}, testCallerSecret));
    CHECK(bodyOf(caller.readAnswer()) == encodeJobAnswer(frontEnd.answer));
    CHECK(bodyOf(caller.readAnswer()) == "ok");
    CHECK(statusOf(caller.readAnswer()) == 401);

    caller.send("POST /v1/jobs HTTP/1.1\r\nExpect: 100-continue\r\nAuthorization: Bearer " + testCallerSecret
                + "\r\nContent-Length: " + std::to_string(submitBody.size()) + "\r\n\r\n");
    CHECK(statusOf(caller.readAnswer()) == 100);
    caller.send(submitBody);
    CHECK(statusOf(caller.readAnswer()) == 200);
}
