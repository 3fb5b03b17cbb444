#pragma once

#include <celerylift/kernel/cell_state.hpp>

namespace celerylift::kernel {

/// Failed tasks after which a worker receives no more gangs.
constexpr int quarantine_strikes = 3;
constexpr duration first_quarantine{60'000};
constexpr duration longest_quarantine{3'600'000};

/// Distinct workers on which a job must fail before its failures count
/// against the job and no longer against the workers.
constexpr int job_evidence_workers = 2;

/// Adds a worker, or makes a known one usable again. Returns its index.
int add_worker(cell_state& cell, const worker& spec);

/// Marks a worker as silent or as heard again. The homes of guarantees move
/// away from a silent worker where there is room.
void set_worker_usable(cell_state& cell, const std::string& id, bool usable);

void set_worker_draining(cell_state& cell, const std::string& id,
                         bool draining);

/// Takes or gives back accelerators and keeps all unit summaries current.
void change_usage(cell_state& cell, int w, int used, int held);

/// Counts a task's outcome as evidence for or against its worker. Returns
/// true where the worker has just been put into quarantine.
bool record_task(cell_state& cell, int w, const std::string& job,
                 bool succeeded, time_point now);

/// Returns workers whose quarantine has passed, on probation: one more
/// failure sends them back for twice as long.
void end_quarantines(cell_state& cell, time_point now);

} // namespace celerylift::kernel
