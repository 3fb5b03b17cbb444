#include <celerylift/kernel/fragmentation.hpp>

#include <celerylift/kernel/guarantees.hpp>
#include <celerylift/kernel/placement.hpp>

#include <algorithm>

namespace celerylift::kernel {

namespace {

/// Free accelerators that complete gangs of this shape could use now.
int servable(const cell_state& cell, const gang_shape& shape) {
    int members = 0;
    if (shape.within == adjacency::worker) {
        for (int w = 0; w < static_cast<int>(cell.workers.size()); ++w) {
            const int needed = total_accelerators(shape);
            members += available(cell, w) / needed * shape.members;
        }
        return members * shape.accelerators;
    }
    for (const auto& unit : units_of(cell, shape.within))
        members += unit.fitting_members[shape.accelerators] / shape.members *
                   shape.members;
    return members * shape.accelerators;
}

std::map<gang_shape, int> wanted_shapes(const cell_state& cell) {
    std::map<gang_shape, int> wanted;
    for (const auto& [key, group] : cell.groups) {
        if (key.shape.members > 0)
            wanted[key.shape] += static_cast<int>(group.jobs.size());
    }
    for (const auto& block : cell.blocks) {
        if (block.organisation >= 0 && is_unused(block))
            ++wanted[block.shape];
    }
    return wanted;
}

} // namespace

double fragmentation(const cell_state& cell) {
    const int free = cell.whole_cell.fitting_members[1];
    if (free == 0)
        return 0;
    double lost = 0;
    int count = 0;
    for (const auto& [shape, times] : wanted_shapes(cell)) {
        const double unserved = free - servable(cell, shape);
        lost += times * unserved / free;
        count += times;
    }
    return count == 0 ? 0 : lost / count;
}

} // namespace celerylift::kernel
