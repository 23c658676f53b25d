#include "version/policy_parser.h"

#include <array>

namespace sesamespar {

namespace {

constexpr std::array<std::string_view, 2> orderNames{"fifo", "shortest-first"};
constexpr std::array<std::string_view, 3> placementNames{"pack", "spread", "first-fit"};

const field_rules policyRules{{"priority",
                               "order",
                               "placement",
                               "queue_limit",
                               "guaranteed",
                               "cap",
                               "preemptible",
                               "preemption_limit",
                               "task_lease",
                               "attempts"},
                              {}};
const field_rules limitRules{{"processors", "memory", "set_aside", "slots_per_worker"}, {}};

void parsePolicy(const yaml_cursor &at, kind_policy &policy)
{
    if (!checkFields(at, policyRules)) {
        return;
    }
    std::int64_t priority = policy.priority;
    readWholeNumber(at, "priority", 0, 9, priority);
    policy.priority = static_cast<int>(priority);
    if (const auto order = readChoice(at, "order", orderNames)) {
        policy.order = static_cast<queue_order>(*order);
    }
    if (const auto placement = readChoice(at, "placement", placementNames)) {
        policy.placement = static_cast<placement_rule>(*placement);
    }
    readCount(at, "queue_limit", 1, 1000000, policy.queueLimit);
    readPercent(at, "guaranteed", 0, 100, policy.guaranteedPercent);
    readPercent(at, "cap", 1, 100, policy.capPercent);
    readBoolean(at, "preemptible", policy.preemptible);
    readCount(at, "preemption_limit", 0, 100, policy.preemptionLimit);
    // Task leases are renewed with the control lease, every second by default; 5 s tolerate several lost calls.
    readDuration(at, "task_lease", milliseconds(5000), milliseconds(3600000), policy.taskLease);
    readCount(at, "attempts", 1, 100, policy.attempts);
    if (policy.guaranteedPercent > policy.capPercent) {
        addFinding(findField(at, "guaranteed").value_or(at), "is above cap", "expected at most the cap of the kind");
    }
}

void checkGuaranteedSum(const yaml_cursor &at, const configuration &settings)
{
    int sum = 0;
    for (const kind_policy &policy : settings.policies) {
        sum += policy.guaranteedPercent;
    }
    if (sum > 100) {
        addFinding(
            at, "the guaranteed shares of all kinds add up to " + std::to_string(sum) + '%', "expected at most 100%");
    }
}

} // namespace

kind_policy defaultPolicy(work_kind kind)
{
    kind_policy policy;
    switch (kind) {
    case work_kind::Query:
        policy.priority = 9;
        policy.placement = placement_rule::Spread;
        break;
    case work_kind::Service:
        policy.priority = 7;
        policy.placement = placement_rule::Spread;
        break;
    case work_kind::Gang:
        policy.priority = 5;
        break;
    case work_kind::Batch:
        // Keeps first-in-first-out order: declared run times are often wrong, and with shortest-first a steady
        // stream of short jobs would starve long ones.
        policy.priority = 3;
        policy.preemptible = true;
        break;
    }
    return policy;
}

void parsePolicies(const yaml_cursor &root, configuration &settings)
{
    for (const work_kind kind : allWorkKinds) {
        settings.policies.at(kindIndex(kind)) = defaultPolicy(kind);
    }
    const auto at = findField(root, "policies");
    if (!at
        || !checkFields(*at,
                        {{workKindName(work_kind::Service),
                          workKindName(work_kind::Batch),
                          workKindName(work_kind::Gang),
                          workKindName(work_kind::Query)},
                         {}})) {
        return;
    }
    for (const work_kind kind : allWorkKinds) {
        if (const auto policy = findField(*at, workKindName(kind))) {
            parsePolicy(*policy, settings.policies.at(kindIndex(kind)));
        }
    }
    checkGuaranteedSum(*at, settings);
}

void parseLimits(const yaml_cursor &root, configuration &settings)
{
    const auto at = findField(root, "limits");
    if (!at || !checkFields(*at, limitRules)) {
        return;
    }
    fleet_limits &limits = settings.limits;
    readPercent(*at, "processors", 1, 100, limits.processorPercent);
    readPercent(*at, "memory", 1, 100, limits.memoryPercent);
    readPercent(*at, "set_aside", 0, 100, limits.quarantinePercent);
    readCount(*at, "slots_per_worker", 1, 1000, limits.slotsPerWorker);
}

} // namespace sesamespar
