// Acknowledgements of ended runs on the connections of a daemon to a worker. Guards against an acknowledgement that
// reaches a later incarnation of the worker than the one that listed the ends.
#include "../harness/wait_until.h"
#include "platform/worker_client.h"
#include "raw_server.h"

using namespace sesamespar;

namespace {

/// A worker on a plain socket, and a daemon's calls to it.
struct polled_worker {
    raw_server server;
    traffic_ledger ledger;
    platform::worker_connections connections = platform::makeWorkerConnections();
    worker_port port = platform::makeWorkerPort(connections, ledger);
    std::unique_ptr<call_outcome<worker_report>> outcome;

    ~polled_worker()
    {
        stopHttpRequests(*connections.polls);
        stopHttpRequests(*connections.orders);
    }
};

/// Sends a poll that acknowledges the first 7 ends, which were listed on a connection.
void startPoll(polled_worker &worker, connection_number listedOn)
{
    worker.outcome = std::make_unique<call_outcome<worker_report>>();
    worker_poll poll;
    poll.seenEnds = end_number(7);
    poll.listedOn = listedOn;
    worker.port.poll(
        {worker_id("i-1"), worker.server.listenAddress()}, poll, milliseconds(30000), worker.outcome->callback());
}

/// Reads the poll and returns whether it acknowledges ends.
bool readsAcknowledgement(polled_worker &worker)
{
    return worker.server.readBody().find(R"("lastSeen":7)") != std::string::npos;
}

/// Answers the poll that was read with a report that lists an end, and waits until the next poll can use its
/// connection. Returns the connection.
connection_number answerPoll(polled_worker &worker)
{
    worker.server.answer(200,
                         R"({"clockMs":5,"born":9,"running":[],"ended":[[7,"5c0e7a21d94b36f8.0.0.0",1,"done",""]]})");
    const auto report = worker.outcome->get();
    REQUIRE(report);
    const connection_number connection = report.value().connection;
    CHECK(connection.value != 0);
    REQUIRE(harness::waitUntil(testTimeout, [&] {
        return keptConnection(*worker.connections.polls, worker.server.listenAddress()) == connection;
    }));
    return connection;
}

/// Completes a poll on a new connection, and one that acknowledges the listed ends. Returns the connection of both.
connection_number acknowledgeEnds(polled_worker &worker)
{
    startPoll(worker, connection_number());
    worker.server.accept();
    CHECK_FALSE(readsAcknowledgement(worker));
    const connection_number listedOn = answerPoll(worker);
    startPoll(worker, listedOn);
    REQUIRE(worker.server.isReused());
    CHECK(readsAcknowledgement(worker));
    CHECK(answerPoll(worker) == listedOn);
    return listedOn;
}

} // namespace

TEST_CASE("a poll acknowledges ends only on the connection that listed them")
{
    polled_worker worker;
    const connection_number listedOn = acknowledgeEnds(worker);

    // Another daemon received the report, so this daemon's connection may be one to a later incarnation.
    startPoll(worker, connection_number(listedOn.value + 1000));
    REQUIRE(worker.server.isReused());
    CHECK_FALSE(readsAcknowledgement(worker));
    CHECK(answerPoll(worker) == listedOn);

    // From then on the report of this daemon counts. Further polls on other connections would acknowledge nothing.
    startPoll(worker, listedOn);
    REQUIRE(worker.server.isReused());
    CHECK(readsAcknowledgement(worker));
    answerPoll(worker);
}

TEST_CASE("a worker that has restarted receives no acknowledgement for its earlier incarnation")
{
    polled_worker worker;
    const connection_number listedOn = acknowledgeEnds(worker);
    worker.server.closeConnection();
    startPoll(worker, listedOn);
    worker_poll last;
    last.fence = fencing_token(99);
    const platform::worker_connections others = platform::makeWorkerConnections();
    platform::makeWorkerPort(others, worker.ledger)
        .poll({worker_id("i-1"), worker.server.listenAddress()}, last, milliseconds(30000), [](const auto &) {});
    std::string body;
    do {
        worker.server.acceptRequest();
        try {
            body = worker.server.readBody();
        } catch (const boost::system::system_error &) {
            // The attempt was stopped before its body was written.
            body.clear();
        }
        CAPTURE(body);
        CHECK(body.find(R"("lastSeen":7)") == std::string::npos);
    } while (body.find(R"("fencingToken":99)") == std::string::npos);
    stopHttpRequests(*others.polls);
}
