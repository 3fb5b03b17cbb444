#pragma once

#include <celerylift/kernel/cell_state.hpp>

namespace celerylift::kernel {

/// Run time assumed for a job without a declared run time, as long as no run of
/// its organisation and urgency has completed.
constexpr duration default_run{600'000};

/// The expected run time of a job: its declared run time times the mean ratio
/// of actual to declared run time of its organisation and urgency.
duration estimate_run(const cell_state& cell, const job& job);

/// Updates the estimates with the actual run time of a completed job.
void record_run(cell_state& cell, const job& job, duration actual);

/// The expected remaining run time of a gang. A gang that has exceeded its
/// estimate is expected to run as long again as it has run so far.
duration remaining_run(const gang_state& gang, time_point now);

} // namespace celerylift::kernel
