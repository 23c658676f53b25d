// Checks that every kind of error in a daemon's settings is reported with its exact location and without the values of
// secrets. Guards against daemons that start with settings under which control leases or peer timeouts cannot work.
#include "version/daemon_settings.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

using namespace sesamespar;

namespace {

using report = std::vector<std::string>;

const std::string head = "name: a1\ndata_centre: milano\nhttp: 127.0.0.1:0\npeer: 127.0.0.1:7000\n"
                         "store: 127.0.0.1:9000\n";
const std::string secrets = "caller_secret: caller-secret-0001\noperator_secret: operator-secret-01\n";

report findingsOf(const std::string &text)
{
    const parsed_daemon_settings outcome = parseDaemonSettings(text, "f");
    CHECK(outcome.settings.has_value() == outcome.problems.empty());
    report lines;
    for (const finding &single : outcome.problems) {
        lines.push_back(formatFinding(single).substr(2));
    }
    return lines;
}

/// Returns the findings of fields that follow a valid head of seven lines.
report findingsBelowHead(const std::string &text)
{
    return findingsOf(head + secrets + text);
}

std::string quoted(const std::string &text)
{
    return '"' + text + '"';
}

std::string storeProblem(const std::string &store)
{
    return "5:8: store: " + quoted(store) + " is not an address, expected IP:PORT with a port from 1 to 65535";
}

/// Returns the findings of settings with this store address in line 5, column 8.
report findingsForStore(const std::string &store)
{
    return findingsOf("name: a1\ndata_centre: milano\nhttp: 127.0.0.1:0\npeer: 127.0.0.1:7000\nstore: " + quoted(store)
                      + '\n' + secrets);
}

} // namespace

TEST_CASE("settings are read as written")
{
    const auto outcome = parseDaemonSettings(head + secrets
                                                 + "peers:\n- {name: b1, data_centre: brescia, peer: \"[::1]:7001\"}\n"
                                                   "traffic_threads: 8\nconnection_limit: 9\nbody_limit: 4096\n"
                                                   "timing: {heartbeat: 100ms, peer_timeout: 1s, control_lease: 4s, "
                                                   "renewal: 2s, call_timeout: 700ms, vm_list: 3s, watch: 10s, "
                                                   "drain_limit: 0s}\n",
                                             "f");
    INFO(formatFindings(outcome.problems));
    REQUIRE(outcome.settings.has_value());
    const daemon_settings &settings = *outcome.settings;
    CHECK(settings.name == daemon_id("a1"));
    CHECK(settings.dataCentre == data_centre_id("milano"));
    CHECK(settings.http == address("127.0.0.1:0"));
    CHECK(settings.peerAddress == address("127.0.0.1:7000"));
    CHECK(settings.store == address("127.0.0.1:9000"));
    CHECK(settings.callerSecret == "caller-secret-0001");
    CHECK(settings.operatorSecret == "operator-secret-01");
    REQUIRE(settings.peers.size() == 1);
    CHECK(settings.peers[0].name == daemon_id("b1"));
    CHECK(settings.peers[0].dataCentre == data_centre_id("brescia"));
    CHECK(settings.peers[0].peerAddress == address("[::1]:7001"));
    CHECK(settings.trafficThreads == 8);
    CHECK(settings.connectionLimit == 9);
    CHECK(settings.bodyLimit == 4096);
    CHECK(settings.timing.heartbeat == milliseconds(100));
    CHECK(settings.timing.peerTimeout == milliseconds(1000));
    CHECK(settings.timing.controlLease == milliseconds(4000));
    CHECK(settings.timing.renewal == milliseconds(2000));
    CHECK(settings.timing.callTimeout == milliseconds(700));
    CHECK(settings.timing.vmList == milliseconds(3000));
    CHECK(settings.timing.watch == milliseconds(10000));
    CHECK(settings.timing.drainLimit == milliseconds(0));
}

TEST_CASE("the example settings are valid")
{
    for (const std::string file : {EXAMPLES "/paguri/daemon.yaml", EXAMPLES "/pompamassetto/daemon.yaml"}) {
        std::ifstream stream(file);
        std::ostringstream text;
        text << stream.rdbuf();
        CHECK(findingsOf(text.str()).empty());
    }
}

TEST_CASE("missing and unknown fields are reported")
{
    CHECK(findingsOf("name: a1\nstroe: 127.0.0.1:1\n")
          == report{"1:1: data_centre: missing field, it is required",
                    "1:1: http: missing field, it is required",
                    "1:1: peer: missing field, it is required",
                    "1:1: store: missing field, it is required",
                    "1:1: caller_secret: missing field, it is required",
                    "1:1: operator_secret: missing field, it is required",
                    "2:1: stroe: unknown field, did you mean store?"});
    CHECK(findingsBelowHead("timing: {hartbeat: 1s}\n")
          == report{"8:10: timing.hartbeat: unknown field, did you mean heartbeat?"});
}

TEST_CASE("addresses that are not an IP address with a port are reported")
{
    for (const std::string wrong : {"store.example:80",
                                    "127.0.0.1",
                                    "127.0.0.1:",
                                    "127.0.0.1:0",
                                    "127.0.0.1:65536",
                                    "127.0.0.1:-1",
                                    "256.0.0.1:80",
                                    "::1:80",
                                    ":80",
                                    "127.0.0.1:80/x"}) {
        CHECK(findingsForStore(wrong) == report{storeProblem(wrong)});
    }
}

TEST_CASE("secrets that are too short, too long, unprintable or equal are reported without their value")
{
    const std::string allowed = ", expected 16 to 256 printable characters without spaces";
    CHECK(findingsOf(head + "caller_secret: hush\noperator_secret: " + std::string(257, 'h') + "\n")
          == report{"6:16: caller_secret: the secret is too short" + allowed,
                    "7:18: operator_secret: the secret is too long" + allowed});
    CHECK(findingsOf(head + "caller_secret: hush hush hush hush\noperator_secret: [hush]\n")
          == report{"6:16: caller_secret: the secret has characters that are not allowed" + allowed,
                    "7:18: operator_secret: is a list" + allowed});
    CHECK(findingsOf(head + "caller_secret: hush-hush-hush-hush\noperator_secret: hush-hush-hush-hush\n")
          == report{"7:18: operator_secret: is the same as caller_secret, expected a secret of its own, because "
                    "operators may do more than callers"});
}

TEST_CASE("peers that repeat this daemon or another peer are reported")
{
    CHECK(findingsBelowHead("peers:\n- {name: a1, data_centre: milano, peer: 127.0.0.1:7000}\n")
          == report{"9:10: peers[0].name: is the name of this daemon, expected the name of another daemon",
                    "9:41: peers[0].peer: is the address of this daemon, expected the address of another daemon"});
    CHECK(findingsBelowHead("peers:\n- {name: b1, data_centre: milano, peer: 127.0.0.1:7001}\n"
                            "- {name: b1, data_centre: milano, peer: 127.0.0.1:7001}\n")
          == report{"10:10: peers[1].name: is declared twice, expected the name of another daemon",
                    "10:41: peers[1].peer: is declared twice, expected the address of another daemon"});
    CHECK(findingsBelowHead("peers:\n- {name: b1, peer: 127.0.0.1:7001}\n")
          == report{"9:3: peers[0].data_centre: missing field, it is required"});
}

TEST_CASE("numbers outside their limits are reported")
{
    CHECK(findingsBelowHead("traffic_threads: 0\nconnection_limit: 65537\nbody_limit: 1GiB\n")
          == report{"8:18: traffic_threads: \"0\" is too small, expected a whole number from 1 to 64",
                    "9:19: connection_limit: \"65537\" is too large, expected a whole number from 1 to 65536",
                    "10:13: body_limit: \"1GiB\" has the wrong unit, expected a whole number from 1024 to 16777216"});
}

TEST_CASE("contradicting time limits are reported")
{
    CHECK(findingsBelowHead("timing: {heartbeat: 1s, peer_timeout: 1500ms}\n")
          == report{"8:39: timing.peer_timeout: is too short, expected at least twice heartbeat"});
    CHECK(findingsBelowHead("timing: {control_lease: 1900ms}\n")
          == report{"8:25: timing.control_lease: is too short, expected at least twice renewal"});
    CHECK(findingsBelowHead("timing: {renewal: 1501ms}\n")
          == report{"8:9: timing: is too short, expected at least twice renewal"});
    CHECK(findingsBelowHead("timing: {call_timeout: 3s}\n")
          == report{"8:24: timing.call_timeout: is too long, expected less than control_lease"});
}
