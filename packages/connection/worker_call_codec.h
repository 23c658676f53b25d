// Encoding of batches of worker calls and of their outcomes. Calls and rows are arrays without field names, because a
// leader exchanges hundreds of them a second.
#pragma once

#include "connection/json_reader.h"
#include "connection/json_writer.h"
#include "connection/worker_calls.h"

namespace sesamespar {

/// Writes the members of a batch into the current object.
void writeCallBatch(json_writer &writer, const worker_call_batch &batch);
void writeOutcomeBatch(json_writer &writer, const worker_outcome_batch &batch);

/// Reads a batch. Calls, outcomes and rows that are malformed are left out; a report with such a row is marked as
/// incomplete.
worker_call_batch readCallBatch(const json_object &object);
worker_outcome_batch readOutcomeBatch(const json_object &object);

} // namespace sesamespar
