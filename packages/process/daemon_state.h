// All control state of one daemon, and the dispatch of events and timers to its parts. Runs on the control thread.
#pragma once

#include "base/metrics.h"
#include "base/timer_service.h"
#include "connection/event.h"
#include "process/archive.h"
#include "process/config_exchange.h"
#include "process/membership.h"
#include "process/roster.h"
#include "process/routing.h"
#include "term/leader.h"

#include <memory>
#include <optional>
#include <random>

namespace sesamespar {

/// One timer for each part that acts at scheduled times.
struct part_timers {
    timer peers;
    timer configuration;
    timer roster;
    timer requests;
    timer history;
    timer leadership;
};

/// Progress of a graceful shutdown.
struct shutdown_progress {
    time_point limit; ///< End of the drain; the process ends at most one control lease later.
    bool ended = false; ///< The end_process effect was emitted.
};

/// State of a daemon. Must not be moved: its parts point to its random generator.
struct daemon_state {
    daemon_settings settings;
    incarnation_id incarnation;
    std::mt19937_64 random;
    time_point started;
    membership peers;
    config_exchange configuration;
    roster_exchange roster;
    routing requests;
    archive history;
    leader leadership;
    metrics_ptr measurements;
    timer_service timers;
    part_timers timersOfParts;
    std::optional<shutdown_progress> shutdown;
    outbox *out = nullptr; ///< Receives the effects of timers; set only while timers fire.
};

/// Makes the state of a newly started daemon. `seed` also becomes its incarnation.
std::unique_ptr<daemon_state> makeDaemon(const daemon_settings &settings, std::uint64_t seed, const clock_reading &now);

/// Handles one event.
void handleEvent(daemon_state &state, const control_event &event, const clock_reading &now, outbox &out);

/// Fires the timers that are due.
void handleTimers(daemon_state &state, const clock_reading &now, outbox &out);

/// Runs once after the events and timers of a batch: emits the effects that follow from them and schedules the timers.
void finishBatch(daemon_state &state, const clock_reading &now, outbox &out);

} // namespace sesamespar
