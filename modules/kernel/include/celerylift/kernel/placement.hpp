#pragma once

#include <celerylift/kernel/cell_state.hpp>

#include <optional>
#include <span>
#include <vector>

namespace celerylift::kernel {

/// The gang to place and the accelerators that it must not use.
struct placement_request {
    gang_shape shape;
    bool outside_guarantees = false; // Excludes homes of guarantees.
    const std::set<int>* avoid = nullptr;
    const std::vector<int>* reserved_workers = nullptr; // Sorted.
};

using placement = std::vector<share>;

/// Accelerators of worker `w` that the request may take.
int usable_accelerators(const cell_state& cell,
                        const placement_request& request, int w);

/// The units of the cell that can hold a gang of this adjacency. For `worker`
/// these are the racks; fit_into then keeps the gang on one worker.
std::span<const unit_state> units_of(const cell_state& cell, adjacency within);

/// Places the members of a gang on the workers of `candidates`, which lists the
/// accelerators that may be taken on each. All members are placed within one
/// unit of the shape's adjacency. The fullest worker comes first, so that empty
/// workers stay empty. Returns nothing if the gang does not fit.
std::optional<placement> fit_into(const cell_state& cell,
                                  const gang_shape& shape,
                                  std::vector<share> candidates);

} // namespace celerylift::kernel
