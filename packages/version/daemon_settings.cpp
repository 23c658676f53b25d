#include "version/daemon_settings.h"

#include "version/host_port.h"
#include "version/yaml_reader.h"

#include <algorithm>
#include <set>

namespace sesamespar {

namespace {

constexpr std::size_t maxPeers = 100;
constexpr std::size_t minSecretBytes = 16;
constexpr std::size_t maxSecretBytes = 256;

const field_rules rootRules{{"name",
                             "data_centre",
                             "http",
                             "peer",
                             "peers",
                             "store",
                             "caller_secret",
                             "operator_secret",
                             "traffic_threads",
                             "connection_limit",
                             "body_limit",
                             "timing"},
                            {"name", "data_centre", "http", "peer", "store", "caller_secret", "operator_secret"}};
const field_rules peerRules{{"name", "data_centre", "peer"}, {"name", "data_centre", "peer"}};
const field_rules timingRules{
    {"heartbeat", "peer_timeout", "control_lease", "renewal", "call_timeout", "vm_list", "watch", "drain_limit"}, {}};

void readAddress(const yaml_cursor &map, std::string_view name, unsigned minPort, address &value)
{
    const std::string allowed = "expected IP:PORT with a port from " + std::to_string(minPort) + " to 65535";
    const auto field = findField(map, name);
    const auto text = field ? scalarText(*field, allowed) : std::nullopt;
    if (!text) {
        return;
    }
    const auto parsed = parseHostPort(*text);
    if (!parsed || !isIpAddress(parsed->host) || parsed->port < minPort) {
        addFinding(*field, quoteForMessage(*text) + " is not an address", allowed);
        return;
    }
    value = address(*text);
}

/// Reads a secret. Findings never include its value.
void readSecret(const yaml_cursor &map, std::string_view name, std::string &value)
{
    const std::string allowed = "expected 16 to 256 printable characters without spaces";
    const auto field = findField(map, name);
    const auto text = field ? scalarText(*field, allowed) : std::nullopt;
    if (!text) {
        return;
    }
    const bool printable = std::all_of(text->begin(), text->end(), [](char c) { return c > ' ' && c < 0x7F; });
    if (text->size() < minSecretBytes) {
        addFinding(*field, "the secret is too short", allowed);
    } else if (text->size() > maxSecretBytes) {
        addFinding(*field, "the secret is too long", allowed);
    } else if (!printable) {
        addFinding(*field, "the secret has characters that are not allowed", allowed);
    } else {
        value = *text;
    }
}

void parsePeers(const yaml_cursor &root, daemon_settings &settings)
{
    std::set<daemon_id> names{settings.name};
    std::set<address> addresses{settings.peerAddress};
    forEachItem(root, "peers", maxPeers, [&](const yaml_cursor &at) {
        if (!checkFields(at, peerRules)) {
            return;
        }
        peer_settings peer;
        if (readName(at, "name", peer.name) && !names.insert(peer.name).second) {
            addFinding(*findField(at, "name"),
                       peer.name == settings.name ? "is the name of this daemon" : "is declared twice",
                       "expected the name of another daemon");
        }
        readName(at, "data_centre", peer.dataCentre);
        readAddress(at, "peer", 1, peer.peerAddress);
        if (!peer.peerAddress.value.empty() && !addresses.insert(peer.peerAddress).second) {
            addFinding(*findField(at, "peer"),
                       peer.peerAddress == settings.peerAddress ? "is the address of this daemon" : "is declared twice",
                       "expected the address of another daemon");
        }
        settings.peers.push_back(peer);
    });
}

void checkTiming(const yaml_cursor &at, const timing_settings &timing)
{
    const auto where = [&](std::string_view name) {
        return findField(at, name).value_or(at);
    };
    if (timing.peerTimeout < timing.heartbeat * 2) {
        addFinding(where("peer_timeout"), "is too short", "expected at least twice heartbeat");
    }
    if (timing.controlLease < timing.renewal * 2) {
        addFinding(where("control_lease"), "is too short", "expected at least twice renewal");
    }
    if (timing.callTimeout >= timing.controlLease) {
        addFinding(where("call_timeout"), "is too long", "expected less than control_lease");
    }
}

void parseTiming(const yaml_cursor &root, timing_settings &timing)
{
    const auto at = findField(root, "timing");
    if (!at || !checkFields(*at, timingRules)) {
        return;
    }
    const std::size_t findingsBefore = at->report->problems.size();
    const milliseconds second(1000);
    readDuration(*at, "heartbeat", milliseconds(10), 10 * second, timing.heartbeat);
    readDuration(*at, "peer_timeout", milliseconds(20), 60 * second, timing.peerTimeout);
    readDuration(*at, "control_lease", milliseconds(100), 60 * second, timing.controlLease);
    readDuration(*at, "renewal", milliseconds(20), 30 * second, timing.renewal);
    readDuration(*at, "call_timeout", milliseconds(20), 30 * second, timing.callTimeout);
    readDuration(*at, "vm_list", milliseconds(100), 60 * second, timing.vmList);
    readDuration(*at, "watch", milliseconds(100), 300 * second, timing.watch);
    readDuration(*at, "drain_limit", milliseconds(0), 600 * second, timing.drainLimit);
    if (at->report->problems.size() == findingsBefore) {
        checkTiming(*at, timing);
    }
}

void parseLimits(const yaml_cursor &root, daemon_settings &settings)
{
    std::uint32_t threads = settings.trafficThreads;
    readCount(root, "traffic_threads", 1, 64, threads);
    settings.trafficThreads = threads;
    readCount(root, "connection_limit", 1, 65536, settings.connectionLimit);
    readCount(root, "body_limit", 1024, 16777216, settings.bodyLimit);
}

void parseRoot(const yaml_cursor &root, daemon_settings &settings)
{
    if (!checkFields(root, rootRules)) {
        return;
    }
    readName(root, "name", settings.name);
    readName(root, "data_centre", settings.dataCentre);
    readAddress(root, "http", 0, settings.http);
    readAddress(root, "peer", 1, settings.peerAddress);
    readAddress(root, "store", 1, settings.store);
    readSecret(root, "caller_secret", settings.callerSecret);
    readSecret(root, "operator_secret", settings.operatorSecret);
    if (!settings.callerSecret.empty() && settings.callerSecret == settings.operatorSecret) {
        addFinding(*findField(root, "operator_secret"),
                   "is the same as caller_secret",
                   "expected a secret of its own, because operators may do more than callers");
    }
    parsePeers(root, settings);
    parseLimits(root, settings);
    parseTiming(root, settings.timing);
}

} // namespace

parsed_daemon_settings parseDaemonSettings(const std::string &text, const std::string &file)
{
    yaml_document document = parseYaml(text, file);
    yaml_report report{file, std::move(document.problems)};
    daemon_settings settings;
    if (document.readable) {
        parseRoot({&document.root, "", &report}, settings);
    }
    parsed_daemon_settings parsed;
    parsed.problems = sortedFindings(std::move(report));
    if (parsed.problems.empty()) {
        parsed.settings = std::move(settings);
    }
    return parsed;
}

} // namespace sesamespar
