#pragma once

#include <celerylift/kernel/cell_state.hpp>

namespace celerylift::kernel {

/// The fraction of free accelerators, from 0 to 1, that cannot serve the shapes
/// that are queued or guaranteed. It is the mean over these shapes, each
/// weighted by the number of waiting jobs and of unused guaranteed gangs of
/// that shape. 0 if no accelerators are free or no shape is in demand.
double fragmentation(const cell_state& cell);

} // namespace celerylift::kernel
