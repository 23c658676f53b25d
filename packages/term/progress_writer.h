// Writes the progress of jobs to the store, many jobs in one transaction that is conditional on the leader's term.
// A run is started, and an end forgotten, only after the transaction that holds it was applied.
#pragma once

#include "term/cell_leader.h"

namespace sesamespar {

/// Writes what has changed, now or shortly afterwards so that changes are collected.
void writeChanges(const std::shared_ptr<cell_leader> &leader, const clock_reading &now);

} // namespace sesamespar
