#pragma once

#include <celerylift/kernel/cell_state.hpp>

#include <optional>
#include <vector>

namespace celerylift::kernel {

/// Gangs to checkpoint and restart elsewhere, so that a large gang gets the
/// adjacent workers that it needs.
struct migration_plan {
    std::vector<int> workers; // Sorted; to reserve for the large gang.
    std::vector<gang_id> gangs_to_stop; // Borrowed gangs that fit elsewhere.
};

/// Finds the unit that can be cleared for the job by moving the fewest
/// accelerators, at most `fragmentation_weight` percent of the job's own.
/// Returns nothing if there is no such unit, or if the gangs to move do not fit
/// elsewhere.
std::optional<migration_plan> plan_migration(const cell_state& cell,
                                             const waiting_job& waiting,
                                             time_point now);

} // namespace celerylift::kernel
