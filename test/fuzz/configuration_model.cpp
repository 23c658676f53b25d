// Stateful fuzzing of configuration changes at three daemons over one store, with lost replies, late and duplicate
// writes, outages, lost messages and restarts. Guards against an accepted version that reverts or has two texts, two
// successful changes to one version, daemons that do not converge, and wrong answers to operators.
#include "process/config_exchange.h"

#include <rapidcheck/catch.h>

#include <map>

using namespace sesamespar;

namespace {

constexpr std::size_t daemons = 3;
const std::string baseText = "cell: c\ndata_centres: [d]\nteams: [{name: s, home: d}]\n";

enum class step_kind {
    Apply,
    ApplyAgain,
    Advance,
    Execute,
    ExecuteTwice,
    Answer,
    LoseAnswer,
    CannotSend,
    LateWrite,
    Deliver,
    Drop,
    Duplicate,
    Heartbeat,
    Restart,
    Outage,
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
    const auto kinds = rc::gen::weightedElement<step_kind>({{8, step_kind::Apply},
                                                            {1, step_kind::ApplyAgain},
                                                            {8, step_kind::Advance},
                                                            {14, step_kind::Execute},
                                                            {1, step_kind::ExecuteTwice},
                                                            {14, step_kind::Answer},
                                                            {3, step_kind::LoseAnswer},
                                                            {1, step_kind::CannotSend},
                                                            {2, step_kind::LateWrite},
                                                            {4, step_kind::Deliver},
                                                            {1, step_kind::Drop},
                                                            {1, step_kind::Duplicate},
                                                            {3, step_kind::Heartbeat},
                                                            {1, step_kind::Restart},
                                                            {1, step_kind::Outage}});
    return rc::gen::build<step>(rc::gen::set(&step::kind, kinds),
                                rc::gen::set(&step::value, rc::gen::inRange<std::uint32_t>(0, 1U << 20)));
}

struct pending_store_call {
    std::size_t daemon = 0;
    call_store call;
    time_point started;
    std::optional<store_reply> reply; ///< Set once the store has handled the call.
};

struct message {
    std::size_t from = 0;
    std::size_t to = 0;
    peer_payload payload;
};

struct change {
    std::size_t daemon = 0;
    std::string text;
    std::optional<config_version> expected;
    bool first = false; ///< No other change has the same text.
    bool daemonRestarted = false; ///< The daemon restarted before it answered the operator.
    std::vector<text_answer> answers;
};

daemon_settings settingsOf(std::size_t index)
{
    daemon_settings settings;
    settings.name = daemon_id(std::to_string(index));
    settings.dataCentre = data_centre_id("d");
    settings.timing.watch = milliseconds(2000);
    for (std::size_t peer = 0; peer < daemons; ++peer) {
        if (peer != index) {
            settings.peers.push_back({daemon_id(std::to_string(peer)), data_centre_id("d"), address("127.0.0.1:1")});
        }
    }
    return settings;
}

struct world {
    std::mt19937_64 random{17};
    clock_reading now{time_point(milliseconds(1000)), utc_time(1000)};
    std::vector<config_exchange> nodes;
    std::vector<config_version> highest = std::vector<config_version>(daemons);

    store_value stored;
    std::uint64_t revisions = 0;
    bool down = false;
    std::map<config_version, std::string> accepted; ///< Every version that the store has held.
    std::vector<pending_store_call> calls;
    std::vector<store_put> lateWrites; ///< Writes that may still arrive after their call has ended.

    std::vector<message> messages;
    std::map<front_end_request_id, change> changes;

    world()
    {
        for (std::size_t index = 0; index < daemons; ++index) {
            nodes.push_back(makeConfigExchange(settingsOf(index), random, now.monotonic));
        }
    }

    /// Applies the effects of one daemon and checks the invariants that hold after each event.
    void collect(std::size_t index, const outbox &out)
    {
        for (const effect &single : out) {
            if (const auto *call = std::get_if<call_store>(&single)) {
                calls.push_back({index, *call, now.monotonic, std::nullopt});
            } else if (const auto *sent = std::get_if<send_peer>(&single)) {
                messages.push_back({index, std::stoul(sent->peer.value), sent->payload});
            } else if (const auto *answer = std::get_if<answer_front_end>(&single)) {
                changes.at(answer->id).answers.push_back(std::get<text_answer>(answer->answer));
            }
        }
        const config_version version = versionInForce(nodes[index]);
        RC_ASSERT(version >= highest[index]);
        highest[index] = version;
        if (version.value > 0) {
            RC_ASSERT(accepted.count(version) == 1U);
            RC_ASSERT(accepted.at(version) == nodes[index].inForce->text);
        }
    }

    void apply(std::size_t index, const std::string &text, std::optional<config_version> expected, bool first)
    {
        const front_end_request_id id(changes.size() + 1);
        changes[id] = {index, text, expected, first, false, {}};
        outbox out;
        apply_configuration call;
        call.text = text;
        call.expected = expected;
        onApply(nodes[index], id, call, now, out);
        collect(index, out);
    }

    store_put_reply put(const store_put &call)
    {
        if (stored.revision != call.expected) {
            return {false, stored.revision};
        }
        const auto value = decodeStoredConfiguration(call.value);
        RC_ASSERT(value);
        const config_version last = accepted.empty() ? config_version(0) : accepted.rbegin()->first;
        RC_ASSERT(value.value().version == config_version(last.value + 1));
        accepted[value.value().version] = value.value().text;
        stored = {call.value, store_revision(++revisions)};
        return {true, stored.revision};
    }

    /// Lets the store handle a call. A watch without a change stays open until its wait is over.
    void execute(pending_store_call &single)
    {
        if (single.reply || down) {
            return;
        }
        if (const auto *write = std::get_if<store_put>(&single.call.request)) {
            single.reply = put(*write);
        } else if (const auto *watch = std::get_if<store_watch>(&single.call.request)) {
            if (stored.revision > watch->after || now.monotonic - single.started >= watch->wait) {
                single.reply = stored;
            }
        } else {
            single.reply = stored;
        }
    }

    /// Ends a call for its daemon. If a write was sent and the store has not handled it, it may still arrive later.
    void endCall(std::size_t position, const result<store_reply> &outcome, bool sent)
    {
        const pending_store_call single = calls.at(position);
        calls.erase(calls.begin() + static_cast<std::ptrdiff_t>(position));
        const auto *write = std::get_if<store_put>(&single.call.request);
        if (write != nullptr && sent && !single.reply) {
            lateWrites.push_back(*write);
        }
        outbox out;
        onStoreReply(nodes[single.daemon], {single.call.user, single.call.serial, outcome}, now, out);
        collect(single.daemon, out);
    }

    void deliver(const message &single)
    {
        outbox out;
        if (const auto *push = std::get_if<config_push>(&single.payload)) {
            onConfigPush(nodes[single.to], *push);
        } else {
            onConfigRequest(nodes[single.to], daemon_id(std::to_string(single.from)), out);
        }
        collect(single.to, out);
    }

    void heartbeat(std::size_t from, std::size_t to)
    {
        if (from == to) {
            return;
        }
        outbox out;
        onPeerVersion(nodes[to], daemon_id(std::to_string(from)), versionInForce(nodes[from]), now, out);
        collect(to, out);
    }

    void advance(std::uint32_t ms)
    {
        now.monotonic += milliseconds(ms);
        for (std::size_t index = 0; index < daemons; ++index) {
            outbox out;
            onTick(nodes[index], now, out);
            collect(index, out);
        }
    }

    void restart(std::size_t index)
    {
        for (std::size_t position = calls.size(); position-- > 0;) {
            if (calls[position].daemon != index) {
                continue;
            }
            const auto *write = std::get_if<store_put>(&calls[position].call.request);
            if (write != nullptr && !calls[position].reply) {
                lateWrites.push_back(*write);
            }
            calls.erase(calls.begin() + static_cast<std::ptrdiff_t>(position));
        }
        for (auto &[id, single] : changes) {
            single.daemonRestarted = single.daemonRestarted || (single.daemon == index && single.answers.empty());
        }
        nodes[index] = makeConfigExchange(settingsOf(index), random, now.monotonic);
        highest[index] = config_version(0);
    }

    void applyNew(std::uint32_t value)
    {
        const std::size_t index = value % daemons;
        std::optional<config_version> expected;
        if (value % 2 == 0) {
            expected = versionInForce(nodes[index]);
        }
        apply(index, baseText + "# " + std::to_string(changes.size()) + "\n", expected, true);
    }

    void applyAgain(std::uint32_t value)
    {
        if (!changes.empty()) {
            const auto chosen = std::next(changes.begin(), value % static_cast<std::uint32_t>(changes.size()));
            chosen->second.first = false;
            apply(value % daemons, std::string(chosen->second.text), std::nullopt, false);
        }
    }

    void runCall(const step &single)
    {
        if (calls.empty()) {
            return;
        }
        const std::size_t position = single.value % calls.size();
        pending_store_call &call = calls[position];
        const auto *write = std::get_if<store_put>(&call.call.request);
        switch (single.kind) {
        case step_kind::Execute:
            execute(call);
            break;
        case step_kind::ExecuteTwice:
            if (write != nullptr && !down) {
                put(*write);
                call.reply = put(*write);
            }
            break;
        case step_kind::Answer:
            if (call.reply) {
                endCall(position, result<store_reply>(*call.reply), true);
            }
            break;
        case step_kind::LoseAnswer:
            endCall(position, makeError(error_kind::Unknown, "lost"), true);
            break;
        default:
            if (!call.reply) {
                endCall(position, makeError(error_kind::Unreachable, "not sent"), false);
            }
            break;
        }
    }

    void runMessage(const step &single)
    {
        if (messages.empty()) {
            return;
        }
        const std::size_t position = single.value % messages.size();
        const message chosen = messages[position];
        if (single.kind != step_kind::Duplicate) {
            messages.erase(messages.begin() + static_cast<std::ptrdiff_t>(position));
        }
        if (single.kind != step_kind::Drop) {
            deliver(chosen);
        }
    }

    void lateWrite(std::uint32_t value)
    {
        if (!lateWrites.empty() && !down) {
            const std::size_t position = value % lateWrites.size();
            const store_put write = lateWrites[position];
            lateWrites.erase(lateWrites.begin() + static_cast<std::ptrdiff_t>(position));
            put(write);
        }
    }

    void run(const step &single)
    {
        const auto value = single.value;
        switch (single.kind) {
        case step_kind::Apply:
            applyNew(value);
            break;
        case step_kind::ApplyAgain:
            applyAgain(value);
            break;
        case step_kind::Advance:
            advance(value % 900);
            break;
        case step_kind::LateWrite:
            lateWrite(value);
            break;
        case step_kind::Heartbeat:
            heartbeat(value % daemons, (value / daemons) % daemons);
            break;
        case step_kind::Restart:
            restart(value % daemons);
            break;
        case step_kind::Outage:
            down = !down;
            break;
        case step_kind::Deliver:
        case step_kind::Drop:
        case step_kind::Duplicate:
            runMessage(single);
            break;
        default:
            runCall(single);
            break;
        }
    }

    /// Ends the outage, delivers every late write, and runs without faults until the daemons should have converged. If
    /// the store is not `reachable`, only daemon 0 can call it and the others get the version from their peers.
    void converge(bool reachable)
    {
        down = false;
        for (int round = 0; round < 200; ++round) {
            advance(100);
            if (round == 100) {
                while (!lateWrites.empty()) {
                    lateWrite(0);
                }
            }
            for (std::size_t position = calls.size(); position-- > 0;) {
                if (!reachable && calls[position].daemon != 0) {
                    // A call that the store has handled was sent, so only its reply can be lost.
                    const bool sent = calls[position].reply.has_value();
                    const auto kind = sent ? error_kind::Unknown : error_kind::Unreachable;
                    endCall(position, makeError(kind, "cut off"), sent);
                    continue;
                }
                execute(calls[position]);
                if (calls[position].reply) {
                    endCall(position, result<store_reply>(*calls[position].reply), true);
                }
            }
            for (std::size_t from = 0; from < daemons; ++from) {
                heartbeat(from, (from + 1) % daemons);
                heartbeat(from, (from + 2) % daemons);
            }
            for (const message &single : std::exchange(messages, {})) {
                deliver(single);
            }
        }
    }

    bool everAccepted(const std::string &text) const
    {
        return std::any_of(accepted.begin(), accepted.end(), [&](const auto &entry) { return entry.second == text; });
    }

    void checkAnswer(const change &single) const
    {
        const text_answer &answer = single.answers.front();
        if (answer.status == 200) {
            const config_version version(std::stoull(answer.body.substr(answer.body.find(':') + 1)));
            RC_ASSERT(accepted.count(version) == 1U);
            RC_ASSERT(accepted.at(version) == single.text);
            if (single.first && single.expected) {
                RC_ASSERT(version.value == single.expected->value + 1);
            }
            return;
        }
        RC_ASSERT((answer.status == 409 || answer.status == 503 || answer.status == 504));
        if (single.first && answer.status != 504) {
            RC_ASSERT(!everAccepted(single.text));
        }
    }

    void check() const
    {
        const config_version last = accepted.empty() ? config_version(0) : accepted.rbegin()->first;
        for (const config_exchange &node : nodes) {
            RC_ASSERT(versionInForce(node) == last);
            RC_ASSERT(!node.active);
            RC_ASSERT(node.waiting.empty());
        }
        for (const auto &[id, single] : changes) {
            if (single.daemonRestarted) {
                RC_ASSERT(single.answers.empty());
            } else {
                RC_ASSERT(single.answers.size() == 1U);
                checkAnswer(single);
            }
        }
    }
};

} // namespace

TEST_CASE("accepted versions never revert, and every operator gets a correct answer")
{
    rc::prop("random schedules", [] {
        const auto steps = *rc::gen::container<std::vector<step>>(genStep());
        const auto reachable = *rc::gen::arbitrary<bool>();
        world model;
        model.advance(0);
        for (const step &single : steps) {
            model.run(single);
        }
        model.converge(reachable);
        model.check();
    });
}
