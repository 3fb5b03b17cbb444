#pragma once

#include <celerylift/kernel/cell_state.hpp>

#include <optional>
#include <span>
#include <vector>

namespace celerylift::kernel {

/// What a placement may take and what it should prefer.
struct placement_request {
    gang_shape shape;
    bool outside_guarantees = false; // Only what no guarantee covers.
    const std::set<int>* avoid = nullptr;
    const std::vector<int>* closed = nullptr; // Sorted; reserved workers.
};

using placement = std::vector<share>;

/// Accelerators of worker `w` that the request may take.
int usable_room(const cell_state& cell, const placement_request& request,
                int w);

/// The units of the cell within which a gang of this adjacency must lie.
std::span<const unit_state> units_of(const cell_state& cell, adjacency within);

/// Picks members from `room`, which lists workers with what may be taken on
/// each, all of it in one unit of the shape's adjacency; fullest worker
/// first, so that whole workers stay whole. Returns nothing where they don't
/// fit.
std::optional<placement> fit_into(const cell_state& cell,
                                  const gang_shape& shape,
                                  std::vector<share> room);

} // namespace celerylift::kernel
