#include "process/daemon_report.h"

#include <cpprest/json.h>

#include <algorithm>

namespace sesamespar {

namespace {

using web::json::value;

constexpr std::size_t maxWaitingJobsShown = 200;

value number(std::uint64_t amount)
{
    return value::number(amount);
}

value text(const std::string &content)
{
    return value::string(content);
}

text_answer jsonAnswer(int status, const value &body)
{
    return {status, "application/json", body.serialize()};
}

value renderResources(const resources &amount)
{
    value shown = value::object();
    shown["millicores"] = value::number(amount.processors.value);
    shown["mebibytes"] = value::number(amount.memory.value);
    shown["accelerators"] = value::number(amount.accelerator.value);
    return shown;
}

const char *phaseName(leader_phase phase)
{
    switch (phase) {
    case leader_phase::Standby:
        return "standby";
    case leader_phase::TakingOver:
        return "taking";
    case leader_phase::Leading:
        break;
    }
    return "leading";
}

const char *workerState(const worker &target, time_point now)
{
    if (!target.listed) {
        return "gone";
    }
    if (target.phase != worker_phase::Ready) {
        return "not read";
    }
    if (!isHeld(target, now)) {
        return "unreachable";
    }
    if (target.draining || target.entry.state == vm_state::Leaving) {
        return "draining";
    }
    return isPlaceable(target, now) ? "ready" : "unreachable";
}

value renderDaemons(const daemon_state &state, const clock_reading &now)
{
    value list = value::array();
    std::size_t index = 0;
    value own = value::object();
    own["name"] = text(state.settings.name.value);
    own["data_centre"] = text(state.settings.dataCentre.value);
    own["state"] = text(phaseName(state.leadership.phase));
    own["configuration"] = number(versionInForce(state.configuration).value);
    list[index++] = own;
    for (const auto &[name, view] : state.peers.peers) {
        value peer = value::object();
        peer["name"] = text(name.value);
        peer["data_centre"] = text(view.dataCentre.value);
        const char *live = view.last.leading ? "leading" : "standby";
        peer["state"] = text(isLive(state.peers, name, now.monotonic) ? live : "not heard");
        peer["configuration"] = number(view.last.version.value);
        list[index++] = peer;
    }
    return list;
}

value renderWorkers(const daemon_state &state, const clock_reading &now)
{
    value list = value::array();
    std::size_t index = 0;
    for (const auto &[name, target] : state.leadership.table.workers) {
        value shown = value::object();
        shown["name"] = text(name.value);
        shown["rack"] = text(target.entry.rack.value);
        shown["state"] = text(workerState(target, now.monotonic));
        shown["tasks"] = number(target.tasks.size());
        shown["capacity"] = renderResources(target.capacity);
        list[index++] = shown;
    }
    return list;
}

value renderWaiting(const daemon_state &state)
{
    value list = value::array();
    std::size_t index = 0;
    for (const auto &[id, subject] : state.leadership.jobs.jobs) {
        if (index == maxWaitingJobsShown || !state.leadership.decisions) {
            break;
        }
        const std::string reason = explainWait(*state.leadership.decisions, id);
        if (!reason.empty()) {
            value shown = value::object();
            shown["team"] = text(id.team.value);
            shown["key"] = text(id.key.value);
            shown["reason"] = text(reason);
            list[index++] = shown;
        }
    }
    return list;
}

value renderLoad(const leader &state)
{
    value shown = value::object();
    if (!state.decisions) {
        return shown;
    }
    const scheduler_summary summary = summarize(*state.decisions);
    shown["workers"] = number(summary.workers);
    shown["placeable_workers"] = number(summary.placeableWorkers);
    shown["set_aside_workers"] = number(summary.quarantinedWorkers);
    shown["waiting_tasks"] = number(summary.waitingTasks);
    shown["placed_tasks"] = number(summary.placedTasks);
    shown["capacity"] = renderResources(summary.capacity);
    shown["reserved"] = renderResources(summary.reserved);
    return shown;
}

value renderLeadership(const daemon_state &state, const clock_reading &now)
{
    const leader &leading = state.leadership;
    value shown = value::object();
    shown["phase"] = text(phaseName(leading.phase));
    shown["complete"] = value::boolean(isComplete(leading, now.monotonic));
    shown["epoch"] = number(leading.epoch.value);
    shown["jobs"] = number(leading.jobs.jobs.size());
    shown["roster_revision"] = number(leading.table.roster.value);
    shown["archive_read"] = value::boolean(leading.archiveRead);
    shown["missing_racks"] = number(unheldRacks(leading.table, now.monotonic, false).size());
    shown["load"] = renderLoad(leading);
    return shown;
}

value renderPeers(const daemon_state &state, const clock_reading &now)
{
    value list = value::object();
    for (const auto &[name, view] : state.peers.peers) {
        value shown = value::object();
        shown["live"] = value::boolean(isLive(state.peers, name, now.monotonic));
        shown["incarnation"] = text(std::to_string(view.incarnation.value));
        shown["leading"] = value::boolean(view.last.leading);
        shown["complete"] = value::boolean(view.last.complete);
        shown["draining"] = value::boolean(view.last.draining);
        shown["configuration"] = number(view.last.version.value);
        list[name.value] = shown;
    }
    return list;
}

void addCounters(metrics &measurements, const leader_counters &counters)
{
    setValue(measurements, "takeovers", static_cast<double>(counters.takeovers));
    setValue(measurements, "step_downs", static_cast<double>(counters.stepDowns));
    setValue(measurements, "jobs_submitted", static_cast<double>(counters.submitted));
    setValue(measurements, "jobs_refused", static_cast<double>(counters.refused));
    setValue(measurements, "key_conflicts", static_cast<double>(counters.conflicts));
    setValue(measurements, "placements", static_cast<double>(counters.placements));
    setValue(measurements, "record_writes", static_cast<double>(counters.recordWrites));
    setValue(measurements, "tasks{state=\"succeeded\"}", static_cast<double>(counters.tasksSucceeded));
    setValue(measurements, "tasks{state=\"failed\"}", static_cast<double>(counters.tasksFailed));
    setValue(measurements, "tasks{state=\"lost\"}", static_cast<double>(counters.tasksLost));
    setValue(measurements, "tasks_restarted", static_cast<double>(counters.tasksRestarted));
    setValue(measurements, "orphans_stopped", static_cast<double>(counters.orphansStopped));
}

} // namespace

text_answer renderError(int status, const std::string &message)
{
    value body = value::object();
    body["error"] = text(message);
    return jsonAnswer(status, body);
}

text_answer renderConfiguration(const configuration *settings)
{
    constexpr int notFound = 404;
    if (settings == nullptr) {
        return renderError(notFound, "no configuration is known to this daemon");
    }
    value body = value::object();
    body["version"] = number(settings->version.value);
    body["text"] = text(settings->text);
    return jsonAnswer(200, body);
}

text_answer renderDraining(const worker_id &vm)
{
    value body = value::object();
    body["draining"] = text(vm.value);
    return jsonAnswer(200, body);
}

text_answer renderNodes(const daemon_state &state, const clock_reading &now)
{
    value body = value::object();
    body["daemons"] = renderDaemons(state, now);
    value vms = value::array();
    std::size_t index = 0;
    for (const vm_entry &entry : state.roster.list.vms) {
        value shown = value::object();
        shown["name"] = text(entry.name.value);
        shown["data_centre"] = text(entry.dataCentre.value);
        shown["rack"] = text(entry.rack.value);
        shown["state"] = text(isLeaving(state.peers, entry.name) ? "leaving" : "live");
        vms[index++] = shown;
    }
    body["vms"] = vms;
    body["workers"] = renderWorkers(state, now);
    body["waiting"] = renderWaiting(state);
    body["load"] = renderLoad(state.leadership);
    return jsonAnswer(200, body);
}

text_answer renderDump(const daemon_state &state, const clock_reading &now)
{
    value body = value::object();
    body["name"] = text(state.settings.name.value);
    body["data_centre"] = text(state.settings.dataCentre.value);
    body["incarnation"] = text(std::to_string(state.incarnation.value));
    const auto uptime = std::chrono::duration_cast<milliseconds>(now.monotonic - state.started);
    body["uptime_ms"] = value::number(static_cast<std::int64_t>(uptime.count()));
    body["configuration"] = number(versionInForce(state.configuration).value);
    body["vm_list"] = number(state.roster.list.revision.value);
    body["draining"] = value::boolean(state.shutdown.has_value());
    body["peers"] = renderPeers(state, now);
    body["leadership"] = renderLeadership(state, now);
    body["workers"] = renderWorkers(state, now);
    value requests = value::object();
    requests["open"] = number(openRequests(state.requests));
    requests["dropped_answers"] = number(state.requests.droppedAnswers);
    requests["withheld_retries"] = number(state.requests.withheldRetries);
    body["requests"] = requests;
    value history = value::object();
    history["unwritten_bytes"] = number(unwrittenBytes(state.history));
    history["segments_written"] = number(state.history.segmentsWritten);
    history["segments_read"] = number(state.history.segmentsRead);
    history["records_dropped"] = number(state.history.recordsDropped);
    body["archive"] = history;
    return jsonAnswer(200, body);
}

std::string waitMetric(work_kind kind)
{
    return "wait_ms{kind=\"" + std::string(workKindName(kind)) + "\"}";
}

metrics_ptr makeMeasurements()
{
    metrics_ptr measurements = makeMetrics();
    declareTime(*measurements, "decision_ms");
    for (const work_kind kind : allWorkKinds) {
        declareTime(*measurements, waitMetric(kind));
    }
    return measurements;
}

text_answer renderMeasurements(const daemon_state &state, const clock_reading &)
{
    addCounters(*state.measurements, state.leadership.counters);
    setValue(*state.measurements, "open_requests", static_cast<double>(openRequests(state.requests)));
    setValue(*state.measurements, "jobs", static_cast<double>(state.leadership.jobs.jobs.size()));
    return {200, "text/plain", renderMetrics(*state.measurements)};
}

} // namespace sesamespar
