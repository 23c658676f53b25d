// Use of the cell by each organisation, against its limit and its share.
#pragma once

#include "term/cell_state.h"

namespace sesamespar {

/// Adopts the organisations of a configuration. One that is no longer declared keeps its use until its runs have ended.
void applyOrganisations(cell_state &state, const cell_configuration &configuration);

/// Assigns a new job to the use of its organisation and determines whether it is surplus: beyond the number of jobs
/// per second that the weight allows over a few seconds. Addresses an organisation that submits several times its usual
/// rate, whose jobs would otherwise delay those of all others.
void assignOrganisation(cell_state &state, cell_job &job);

/// Determines anew, in the order of acceptance, which jobs are surplus. A new leader learns the stored jobs in the
/// order of their keys, which says nothing about which of them came first.
void rankSubmissions(cell_state &state);

/// Adds the need of a run to the use of the job's organisation, if it has one.
void reserveUse(const cell_job &job, const resources &need);

/// Adds the need of runs of an earlier term whose job was final already, until `until` in uptime.
void holdUnended(cell_state &state, const organisation_id &organisation, const resources &need, time_point until);

/// Subtracts the need of a run that has provably ended.
void releaseUse(const cell_job &job, const resources &need);

/// Updates which organisations use more than their share of the cell's processors, and for which step of each the limit
/// is kept, at the begin of a placement pass. The cell is shared by the organisations that have waiting jobs or runs,
/// in proportion to their weights.
void updateShares(cell_state &state, const resources &total, time_point uptime);

/// Number of tasks of the step, at most `wanted`, that are within the limit of the job's organisation.
std::int64_t tasksWithinLimit(const cell_job &job, std::uint32_t step, std::int64_t wanted);

/// Keeps a part of the organisation's limit for a gang during the pass, so that steps behind it do not use all of it.
/// Keeps nothing for a gang that alone exceeds the limit, which would stop all other work of the organisation.
void keepLimit(const cell_job &job, std::uint32_t step);

/// Records that a step waits for the limit of its organisation, and since when.
void beginLimitWait(const cell_job &job, cell_step &step, time_point uptime);

/// Records that a step does not wait for the limit of its organisation any more.
void endLimitWait(cell_step &step);

} // namespace sesamespar
