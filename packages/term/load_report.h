// Publishes the load of the queues to the other daemons: how many jobs wait, and which queues refuse new ones.
#pragma once

#include "term/cell_leader.h"

namespace sesamespar {

/// Writes the load to the store if the report period has passed. An applied write also confirms the term.
void reportLoad(const std::shared_ptr<cell_leader> &leader, const clock_reading &now);

} // namespace sesamespar
