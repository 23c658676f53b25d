#include "standins/platform_host.h"

#include <algorithm>
#include <mutex>
#include <optional>
#include <sstream>

namespace sesamespar::standins {

namespace {

/// A watch that is waiting for a change of its key.
struct waiting_watch {
    store_watch request;
    store_answer answer;
    time_point deadline;
};

/// Answers to deliver after the lock is released.
using answer_outbox = std::vector<std::pair<store_answer, store_outcome>>;

} // namespace

struct platform_host : std::enable_shared_from_this<platform_host> {
    std::mutex mutex;
    std::shared_ptr<timer_queue> timers;
    key_value_store store;
    vm_registry vms;
    call_meter meter;
    store_faults faults;
    std::vector<waiting_watch> watches;
    std::vector<store_answer> unanswered; ///< Withheld by a fault; refused when the faults end.
};

namespace {

call_kind callKind(const store_request &request)
{
    switch (request.index()) {
    case 0:
        return call_kind::Get;
    case 1:
        return call_kind::Put;
    case 2:
        return call_kind::Watch;
    case 3:
        return call_kind::List;
    default:
        return call_kind::VmList;
    }
}

/// Delivers the answers after the delay.
void send(platform_host &host, milliseconds delay, answer_outbox outbox)
{
    if (outbox.empty()) {
        return;
    }
    const auto deliver = [outbox = std::move(outbox)] {
        for (const auto &[answer, outcome] : outbox) {
            answer(outcome);
        }
    };
    if (delay.count() == 0) {
        deliver();
    } else {
        runAt(*host.timers, std::chrono::steady_clock::now() + delay, deliver);
    }
}

/// Answers the watches whose key has changed or whose wait has expired.
void answerReadyWatches(platform_host &host, time_point now, answer_outbox &outbox)
{
    const auto ready = [&](const waiting_watch &watch) {
        const auto changed = watchedValue(host.store, watch.request);
        if (!changed && now < watch.deadline) {
            return false;
        }
        outbox.emplace_back(watch.answer, store_reply(changed ? *changed : readValue(host.store, watch.request.key)));
        return true;
    };
    host.watches.erase(std::remove_if(host.watches.begin(), host.watches.end(), ready), host.watches.end());
}

void answerDueWatches(platform_host &host)
{
    answer_outbox outbox;
    milliseconds delay{0};
    {
        const std::lock_guard lock(host.mutex);
        answerReadyWatches(host, std::chrono::steady_clock::now(), outbox);
        delay = host.faults.delay;
    }
    send(host, delay, std::move(outbox));
}

void handleWatch(platform_host &host, const store_watch &request, store_answer answer, time_point now)
{
    const time_point deadline = now + request.wait;
    host.watches.push_back({request, std::move(answer), deadline});
    runAt(*host.timers, deadline, [weak = host.weak_from_this()] {
        if (const auto locked = weak.lock()) {
            answerDueWatches(*locked);
        }
    });
}

void handlePut(platform_host &host, const store_put &request, store_answer answer, answer_outbox &outbox)
{
    const store_put_reply reply = putValue(host.store, request);
    if (host.faults.putAnswersToLose > 0) {
        --host.faults.putAnswersToLose;
        host.unanswered.push_back(std::move(answer));
        return;
    }
    outbox.emplace_back(std::move(answer), store_reply(reply));
}

void handleCall(
    platform_host &host, const store_request &request, store_answer answer, time_point now, answer_outbox &outbox)
{
    if (const auto *get = std::get_if<store_get>(&request)) {
        outbox.emplace_back(std::move(answer), store_reply(readValue(host.store, get->key)));
    } else if (const auto *put = std::get_if<store_put>(&request)) {
        handlePut(host, *put, std::move(answer), outbox);
    } else if (const auto *watch = std::get_if<store_watch>(&request)) {
        handleWatch(host, *watch, std::move(answer), now);
    } else if (const auto *list = std::get_if<store_list>(&request)) {
        outbox.emplace_back(std::move(answer), store_reply(listKeys(host.store, *list)));
    } else {
        outbox.emplace_back(std::move(answer), store_reply(visibleVms(host.vms, now)));
    }
    answerReadyWatches(host, now, outbox);
}

void refuseAll(std::vector<store_answer> &answers, answer_outbox &outbox)
{
    for (store_answer &answer : answers) {
        outbox.emplace_back(std::move(answer), store_refusal::Down);
    }
    answers.clear();
}

/// Ends the waiting watches at the start of an outage: unanswered in a silent outage, otherwise refused.
void interruptWatches(platform_host &host, answer_outbox &outbox)
{
    for (waiting_watch &watch : host.watches) {
        if (host.faults.outage == store_outage::Silent) {
            host.unanswered.push_back(std::move(watch.answer));
        } else {
            outbox.emplace_back(std::move(watch.answer), store_refusal::Down);
        }
    }
    host.watches.clear();
}

} // namespace

std::shared_ptr<platform_host> makePlatformHost(std::shared_ptr<timer_queue> timers)
{
    auto host = std::make_shared<platform_host>();
    host->timers = std::move(timers);
    host->meter.start = std::chrono::steady_clock::now();
    return host;
}

void callPlatform(platform_host &host, const store_request &request, store_answer answer)
{
    answer_outbox outbox;
    milliseconds delay{0};
    {
        const std::lock_guard lock(host.mutex);
        const time_point now = std::chrono::steady_clock::now();
        delay = host.faults.delay;
        const bool allowed = countCall(host.meter, callKind(request), now);
        if (host.faults.outage == store_outage::Silent) {
            host.unanswered.push_back(std::move(answer));
        } else if (host.faults.outage == store_outage::Refusing) {
            outbox.emplace_back(std::move(answer), store_refusal::Down);
        } else if (!allowed) {
            outbox.emplace_back(std::move(answer), store_refusal::TooMany);
        } else {
            handleCall(host, request, std::move(answer), now, outbox);
        }
    }
    send(host, delay, std::move(outbox));
}

store_faults currentFaults(platform_host &host)
{
    const std::lock_guard lock(host.mutex);
    return host.faults;
}

void setFaults(platform_host &host, const store_faults &faults)
{
    answer_outbox outbox;
    {
        const std::lock_guard lock(host.mutex);
        host.faults = faults;
        if (faults.outage != store_outage::None) {
            interruptWatches(host, outbox);
        } else if (faults.putAnswersToLose == 0) {
            refuseAll(host.unanswered, outbox);
        }
    }
    send(host, milliseconds(0), std::move(outbox));
}

void setRates(platform_host &host, std::uint64_t readsPerSecond, std::uint64_t writesPerSecond)
{
    const std::lock_guard lock(host.mutex);
    host.meter.readsPerSecond = readsPerSecond;
    host.meter.writesPerSecond = writesPerSecond;
}

void setVmLag(platform_host &host, milliseconds lag)
{
    const std::lock_guard lock(host.mutex);
    host.vms.lag = lag;
}

void addVms(platform_host &host, const std::vector<vm_entry> &vms)
{
    const std::lock_guard lock(host.mutex);
    registerVms(host.vms, vms, std::chrono::steady_clock::now());
}

bool updateVm(platform_host &host, const worker_id &name, vm_state state)
{
    const std::lock_guard lock(host.mutex);
    return setVmState(host.vms, name, state, std::chrono::steady_clock::now());
}

bool unregisterVm(platform_host &host, const worker_id &name)
{
    const std::lock_guard lock(host.mutex);
    return removeVm(host.vms, name, std::chrono::steady_clock::now());
}

std::string platformReport(platform_host &host)
{
    const std::lock_guard lock(host.mutex);
    const std::vector<std::uint64_t> &kinds = host.meter.byKind;
    std::ostringstream text;
    text << R"({"get":)" << kinds.at(0) << R"(,"put":)" << kinds.at(1) << R"(,"watch":)" << kinds.at(2) << R"(,"list":)"
         << kinds.at(3) << R"(,"vm_list":)" << kinds.at(4) << R"(,"refused":)" << host.meter.refused << R"(,"waiting":)"
         << host.watches.size() << R"(,"keys":)" << host.store.values.size() << R"(,"seconds":[)";
    for (std::size_t second = 0; second < host.meter.seconds.size(); ++second) {
        text << (second == 0 ? "" : ",") << R"({"reads":)" << host.meter.seconds.at(second).reads << R"(,"writes":)"
             << host.meter.seconds.at(second).writes << "}";
    }
    text << "]}";
    return text.str();
}

} // namespace sesamespar::standins
