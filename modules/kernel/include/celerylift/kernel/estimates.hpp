#pragma once

#include <celerylift/kernel/cell_state.hpp>

namespace celerylift::kernel {

/// Run time assumed where neither a declaration nor experience informs.
constexpr duration default_run{600'000};

/// How long the job is expected to run: its declaration, corrected by how far
/// the declarations of its organisation and urgency have been off.
duration estimate_run(const cell_state& cell, const job& job);

/// Takes a finished run into account.
void learn_run(cell_state& cell, const job& job, duration actual);

/// How much longer a gang is expected to run. One that has outlived its
/// estimate is expected to run as long again as it has.
duration remaining_run(const gang_state& gang, time_point now);

} // namespace celerylift::kernel
