#include "connection/traffic_ledger.h"

#include "base/log.h"

namespace sesamespar {

namespace {

constexpr std::array<const char *, trafficKinds> kindNames{
    "store_read",      "store_watch",   "store_write",      "store_lease",     "advisor",        "worker_start",
    "worker_stop",     "worker_poll",   "callers",          "advice_requests", "advice_answers", "status_queries",
    "status_replies",  "relay_probes",  "relay_offers",     "relayed_jobs",    "relay_outcomes", "worker_calls",
    "worker_outcomes", "accepted_jobs", "payload_requests", "payload_replies"};

std::string metricName(const char *family, const char *kind, const char *direction)
{
    std::string name = std::string(family) + "{kind=\"" + kind + "\"";
    if (direction != nullptr) {
        name += std::string(",direction=\"") + direction + "\"";
    }
    return name + "}";
}

} // namespace

traffic_totals &trafficOf(traffic_ledger &ledger, traffic_kind kind)
{
    return ledger.totals.at(static_cast<std::size_t>(kind));
}

traffic_totals &trafficOf(traffic_ledger &ledger, const daemon_message &message)
{
    return ledger.totals.at(static_cast<std::size_t>(traffic_kind::FirstMessage) + message.index());
}

void reportTraffic(traffic_ledger &ledger, metrics &counters)
{
    log_event line("traffic");
    for (std::size_t kind = 0; kind < trafficKinds; ++kind) {
        const traffic_totals &totals = ledger.totals.at(kind);
        traffic_ledger::figures &reported = ledger.reported.at(kind);
        const traffic_ledger::figures current{totals.calls, totals.sent, totals.received, totals.resent};
        const traffic_ledger::figures added{current.calls - reported.calls,
                                            current.sent - reported.sent,
                                            current.received - reported.received,
                                            current.resent - reported.resent};
        reported = current;
        const char *name = kindNames.at(kind);
        if (added.resent > 0) {
            addCount(counters, metricName("traffic_resent", name, nullptr), added.resent);
        }
        if (added.calls == 0 && added.received == 0) {
            continue;
        }
        addCount(counters, metricName("traffic_calls", name, nullptr), added.calls);
        addCount(counters, metricName("traffic_bytes", name, "sent"), added.sent);
        addCount(counters, metricName("traffic_bytes", name, "received"), added.received);
        line.with(name,
                  std::to_string(added.calls) + "/" + std::to_string(added.sent) + "/"
                      + std::to_string(added.received));
    }
}

} // namespace sesamespar
