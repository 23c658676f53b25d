// Tells the other daemons how long the queues are and which of them turn new jobs away.
#pragma once

#include "term/cell_leader.h"

namespace sesamespar {

/// Writes the load to the store if it is time to. The write also proves that this term still holds.
void reportLoad(const std::shared_ptr<cell_leader> &leader, const clock_reading &now);

} // namespace sesamespar
