#pragma once

#include <celerylift/kernel/cell_state.hpp>
#include <celerylift/kernel/placement.hpp>

#include <functional>
#include <vector>

namespace celerylift::kernel {

/// Where a job of a guarantee goes, and which borrowed gangs must end first.
struct reclaim_plan {
    int block = -1;
    placement shares;
    std::vector<gang_id> victims; // Empty: the accelerators are free.
    bool waits = false;           // For victims, old ones included.
};

/// Finds room for the job inside its organisation's guarantee. Free homes go
/// first, then a home that can move to free accelerators, then the block
/// whose borrowers lose the least work. Returns nothing where the guarantee
/// is used up or has no gang of this shape.
std::optional<reclaim_plan>
plan_in_guarantee(cell_state& cell, const waiting_job& waiting, time_point now);

/// Holds the plan's accelerators for the job until its victims have ended.
void hold_claim(cell_state& cell, waiting_job& waiting,
                const reclaim_plan& plan, const std::string& backend,
                time_point now);

/// Gives up what is held for the job and puts it back into its group.
void drop_claim(cell_state& cell, waiting_job& waiting);

void drop_claims(cell_state& cell,
                 const std::function<bool(const waiting_job&)>& which);

/// Whether all that the claim holds is free now.
bool claim_is_free(const cell_state& cell, const claim& claim);

/// Counts accelerators as used, or with a negative sign as unused, by the
/// block's own gangs.
void change_block_usage(block_state& block, const placement& shares, int sign);

} // namespace celerylift::kernel
