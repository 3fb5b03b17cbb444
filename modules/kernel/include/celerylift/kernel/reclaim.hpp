#pragma once

#include <celerylift/kernel/cell_state.hpp>
#include <celerylift/kernel/placement.hpp>

#include <functional>
#include <vector>

namespace celerylift::kernel {

/// Where a job runs within a guarantee, and which borrowed gangs must end
/// first.
struct reclaim_plan {
    int block = -1;
    placement shares;
    std::vector<gang_id> gangs_to_stop; // Excludes those already stopping.
    bool waits = false;                 // Until borrowed gangs have ended.
};

/// Finds accelerators for the job in its organisation's guarantee: first in a
/// free home, then in a home that can move to free accelerators, then in the
/// block whose borrowers have the least lost work. Returns nothing if the
/// guarantee is used up or no block of it fits the job.
std::optional<reclaim_plan>
plan_in_guarantee(cell_state& cell, const waiting_job& waiting, time_point now);

/// Holds the plan's accelerators for the job until the gangs that borrow them
/// have ended.
void hold_claim(cell_state& cell, waiting_job& waiting,
                const reclaim_plan& plan, const std::string& backend,
                time_point now);

/// Releases the job's claim and puts the job back into its group.
void drop_claim(cell_state& cell, waiting_job& waiting);

void drop_claims(cell_state& cell,
                 const std::function<bool(const waiting_job&)>& which);

/// Whether no gang uses the accelerators of the claim any more.
bool claim_is_free(const cell_state& cell, const claim& claim);

/// Counts `shares` as used by the organisation's own gangs if `sign` is 1, and
/// as unused if it is -1.
void change_block_usage(block_state& block, const placement& shares, int sign);

} // namespace celerylift::kernel
