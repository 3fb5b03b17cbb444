#pragma once

#include <celerylift/kernel/cell_state.hpp>

namespace celerylift::kernel {

/// The share of free accelerators, from 0 to 1, that can't serve the shapes
/// that are queued or guaranteed: the mean over these shapes, each counted
/// as often as it waits or is guaranteed and not in use. 0 where nothing is
/// free or no shape is wanted.
double fragmentation(const cell_state& cell);

} // namespace celerylift::kernel
