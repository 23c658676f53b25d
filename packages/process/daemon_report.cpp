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
    value rendered = value::object();
    rendered["millicores"] = value::number(amount.processors.value);
    rendered["mebibytes"] = value::number(amount.memory.value);
    rendered["accelerators"] = value::number(amount.accelerator.value);
    return rendered;
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
        value rendered = value::object();
        rendered["name"] = text(name.value);
        rendered["rack"] = text(target.entry.rack.value);
        rendered["state"] = text(workerState(target, now.monotonic));
        rendered["tasks"] = number(target.tasks.size());
        rendered["capacity"] = renderResources(target.capacity);
        list[index++] = rendered;
    }
    return list;
}

value renderWaiting(const daemon_state &state)
{
    value list = value::array();
    std::size_t index = 0;
    for (const auto &[id, job] : state.leadership.jobs.jobs) {
        if (index == maxWaitingJobsShown || !state.leadership.decisions) {
            break;
        }
        const std::string reason = explainWait(*state.leadership.decisions, id);
        if (!reason.empty()) {
            value rendered = value::object();
            rendered["team"] = text(id.team.value);
            rendered["key"] = text(id.key.value);
            rendered["reason"] = text(reason);
            list[index++] = rendered;
        }
    }
    return list;
}

value renderLoad(const leader &state)
{
    value rendered = value::object();
    if (!state.decisions) {
        return rendered;
    }
    const scheduler_summary summary = summarize(*state.decisions);
    rendered["workers"] = number(summary.workers);
    rendered["placeable_workers"] = number(summary.placeableWorkers);
    rendered["set_aside_workers"] = number(summary.quarantinedWorkers);
    rendered["waiting_tasks"] = number(summary.waitingTasks);
    rendered["placed_tasks"] = number(summary.placedTasks);
    rendered["capacity"] = renderResources(summary.capacity);
    rendered["reserved"] = renderResources(summary.reserved);
    return rendered;
}

value renderLeadership(const daemon_state &state, const clock_reading &now)
{
    const leader &leading = state.leadership;
    value rendered = value::object();
    rendered["phase"] = text(phaseName(leading.phase));
    rendered["complete"] = value::boolean(isComplete(leading, now.monotonic));
    rendered["epoch"] = number(leading.epoch.value);
    rendered["jobs"] = number(leading.jobs.jobs.size());
    rendered["roster_revision"] = number(leading.table.roster.value);
    rendered["archive_read"] = value::boolean(leading.archiveRead);
    rendered["missing_racks"] = number(unheldRacks(leading.table, now.monotonic, false).size());
    rendered["load"] = renderLoad(leading);
    return rendered;
}

value renderPeers(const daemon_state &state, const clock_reading &now)
{
    value list = value::object();
    for (const auto &[name, view] : state.peers.peers) {
        value rendered = value::object();
        rendered["live"] = value::boolean(isLive(state.peers, name, now.monotonic));
        rendered["incarnation"] = text(std::to_string(view.incarnation.value));
        rendered["leading"] = value::boolean(view.last.leading);
        rendered["complete"] = value::boolean(view.last.complete);
        rendered["draining"] = value::boolean(view.last.draining);
        rendered["configuration"] = number(view.last.version.value);
        list[name.value] = rendered;
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
        return renderError(notFound, "this daemon has no configuration yet");
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
        value rendered = value::object();
        rendered["name"] = text(entry.name.value);
        rendered["data_centre"] = text(entry.dataCentre.value);
        rendered["rack"] = text(entry.rack.value);
        rendered["state"] = text(isLeaving(state.peers, entry.name) ? "leaving" : "live");
        vms[index++] = rendered;
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
    const auto uptime = elapsedBetween(state.started, now.monotonic);
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
