// Renders the state of a daemon for operators: the dump, the nodes page, the configuration and the metrics.
#pragma once

#include "process/daemon_state.h"

namespace sesamespar {

/// Renders {"error": MESSAGE} with an HTTP status.
text_answer renderError(int status, const std::string &message);

/// Renders {"version": N, "text": YAML}, or an error with status 404 if `settings` is null.
text_answer renderConfiguration(const configuration *settings);

/// Renders {"draining": VM}.
text_answer renderDraining(const worker_id &vm);

/// Renders the daemons, the VM list, and the state that a leader holds: state and load of each worker, and at most 200
/// waiting jobs with the reason why they wait.
text_answer renderNodes(const daemon_state &state, const clock_reading &now);

/// Renders a summary of the whole state of the process: settings without secrets, peers, configuration, leadership,
/// workers, open requests, archive and counters.
text_answer renderDump(const daemon_state &state, const clock_reading &now);

/// Name of the histogram of the time from a job's acceptance to the start of its task, for tasks of a kind.
std::string waitMetric(work_kind kind);

/// Makes empty metrics with all histograms declared.
metrics_ptr makeMeasurements();

/// Renders the metrics as text lines.
text_answer renderMeasurements(const daemon_state &state, const clock_reading &now);

} // namespace sesamespar
