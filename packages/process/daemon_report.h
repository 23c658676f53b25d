// What a daemon shows of its state: the dump, the nodes page, the configuration and the measurements.
#pragma once

#include "process/daemon_state.h"

namespace sesamespar {

/// {"error": MESSAGE} with an HTTP status.
text_answer renderError(int status, const std::string &message);

/// {"version": N, "text": YAML}, or 404 if there is no configuration.
text_answer renderConfiguration(const configuration *settings);

/// {"draining": VM}.
text_answer renderDraining(const worker_id &vm);

/// Daemons, the VM list, and what this daemon knows as leader: each worker's state and load, and the jobs
/// that wait with the reason, at most 200.
text_answer renderNodes(const daemon_state &state, const clock_reading &now);

/// The whole state of the process in numbers: settings without secrets, peers, configuration, leadership,
/// queues, calls under way and counters.
text_answer renderDump(const daemon_state &state, const clock_reading &now);

/// Name of the histogram of the times that tasks of a kind waited from their job's acceptance to their start.
std::string waitMetric(work_kind kind);

/// Empty measurements, with all histograms.
metrics_ptr makeMeasurements();

/// The measurements as text lines.
text_answer renderMeasurements(const daemon_state &state, const clock_reading &now);

} // namespace sesamespar
