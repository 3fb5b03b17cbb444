#include <celerylift/kernel/placement.hpp>

#include <algorithm>

namespace celerylift::kernel {

int usable_accelerators(const cell_state& cell,
                        const placement_request& request, int w) {
    if (request.avoid && request.avoid->contains(w))
        return 0;
    if (request.reserved_workers &&
        std::binary_search(request.reserved_workers->begin(),
                           request.reserved_workers->end(), w))
        return 0;
    return request.outside_guarantees ? available_outside_guarantees(cell, w)
                                      : available(cell, w);
}

std::span<const unit_state> units_of(const cell_state& cell, adjacency within) {
    switch (within) {
    case adjacency::cell:
        return {&cell.whole_cell, 1};
    case adjacency::failure_domain:
        return cell.domains;
    case adjacency::rack:
    case adjacency::worker:
        break;
    }
    return cell.racks;
}

namespace {

int unit_key(const cell_state& cell, adjacency within, int w) {
    switch (within) {
    case adjacency::cell:
        return 0;
    case adjacency::failure_domain:
        return cell.workers[w].domain;
    case adjacency::rack:
        return cell.workers[w].rack;
    case adjacency::worker:
        break;
    }
    return w;
}

int members_in(const gang_shape& shape, const share& candidate) {
    return candidate.accelerators / shape.accelerators;
}

placement take_members(const gang_shape& shape,
                       std::span<const share> fullest_first) {
    placement taken;
    int left = shape.members;
    for (const auto& candidate : fullest_first) {
        const int members = std::min(left, members_in(shape, candidate));
        if (members == 0)
            continue;
        taken.push_back({candidate.worker, members * shape.accelerators});
        left -= members;
        if (left == 0)
            break;
    }
    return taken;
}

} // namespace

std::optional<placement> fit_into(const cell_state& cell,
                                  const gang_shape& shape,
                                  std::vector<share> candidates) {
    std::sort(candidates.begin(), candidates.end(),
              [&](const share& a, const share& b) {
                  return std::make_tuple(unit_key(cell, shape.within, a.worker),
                                         a.accelerators, a.worker) <
                         std::make_tuple(unit_key(cell, shape.within, b.worker),
                                         b.accelerators, b.worker);
              });
    for (std::size_t begin = 0; begin < candidates.size();) {
        const int key = unit_key(cell, shape.within, candidates[begin].worker);
        std::size_t end = begin;
        int members = 0;
        while (end < candidates.size() &&
               unit_key(cell, shape.within, candidates[end].worker) == key)
            members += members_in(shape, candidates[end++]);
        if (members >= shape.members)
            return take_members(shape, {&candidates[begin], end - begin});
        begin = end;
    }
    return std::nullopt;
}

} // namespace celerylift::kernel
