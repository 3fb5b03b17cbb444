#pragma once

#include <celerylift/kernel/cell_state.hpp>

#include <optional>
#include <vector>

namespace celerylift::kernel {

/// Gangs to checkpoint and start again elsewhere, so that a large gang gets
/// the workers that it needs together.
struct migration_plan {
    std::vector<int> workers;     // Sorted; to be kept for the large gang.
    std::vector<gang_id> victims; // Borrowed, and with room elsewhere.
};

/// Finds the unit that can be emptied for the job by moving the fewest
/// accelerators, at most `fragmentation_weight` percent of the job's own.
/// Returns nothing where there is none, or where what would have to move has
/// no room elsewhere.
std::optional<migration_plan> plan_migration(const cell_state& cell,
                                             const waiting_job& waiting,
                                             time_point now);

} // namespace celerylift::kernel
