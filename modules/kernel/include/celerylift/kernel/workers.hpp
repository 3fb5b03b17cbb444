#pragma once

#include <celerylift/kernel/cell_state.hpp>

namespace celerylift::kernel {

/// Failed tasks after which a worker is put into quarantine.
constexpr int quarantine_failures = 3;
constexpr duration first_quarantine{60'000};
constexpr duration max_quarantine{3'600'000};

/// Once a job has failed on more than this many distinct workers that are not
/// in quarantine, its failures no longer count against the workers.
constexpr int max_blamed_workers_per_job = 2;

/// Adds a worker or marks a known one as usable. Returns its index.
int add_worker(cell_state& cell, const worker& spec);

/// Marks a worker as usable, or as unusable because it is unresponsive. Homes
/// of guarantees move away from an unusable worker if there is capacity
/// elsewhere.
void set_worker_usable(cell_state& cell, const std::string& id, bool usable);

void set_worker_draining(cell_state& cell, const std::string& id,
                         bool draining);

/// Adds `used` and `held`, which may be negative, to the counts of a worker and
/// updates the summaries of its units.
void change_usage(cell_state& cell, int w, int used, int held);

/// Updates the health of a worker from the outcome of a task. Returns true if
/// this put the worker into quarantine.
bool record_task(cell_state& cell, int w, const std::string& job,
                 bool succeeded, time_point now);

/// Ends the quarantines that have expired by `now`. These workers are on
/// probation: one more failure puts them back for twice as long.
void end_quarantines(cell_state& cell, time_point now);

} // namespace celerylift::kernel
