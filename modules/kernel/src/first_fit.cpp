// The baseline policy: places jobs in arrival order, each in the first unit
// where it fits.
#include <celerylift/kernel/policy.hpp>

namespace celerylift::kernel {

namespace {

std::int64_t arrival_order(const cell_state&, const job&, time_point arrived,
                           duration) {
    return arrived.time_since_epoch().count();
}

std::optional<placement> place_on_one_worker(const cell_state& cell,
                                             const placement_request& request,
                                             const unit_state& unit) {
    const int needed = total_accelerators(request.shape);
    for (int w : unit.workers) {
        if (usable_accelerators(cell, request, w) >= needed)
            return placement{{w, needed}};
    }
    return std::nullopt;
}

std::optional<placement> place_in_unit(const cell_state& cell,
                                       const placement_request& request,
                                       const unit_state& unit) {
    placement taken;
    int left = request.shape.members;
    for (int w : unit.workers) {
        const int fitting =
            usable_accelerators(cell, request, w) / request.shape.accelerators;
        const int members = std::min(left, fitting);
        if (members > 0)
            taken.push_back({w, members * request.shape.accelerators});
        left -= members;
        if (left == 0)
            return taken;
    }
    return std::nullopt;
}

std::optional<placement> first_fit(const cell_state& cell,
                                   const placement_request& request) {
    const auto& shape = request.shape;
    for (const auto& unit : units_of(cell, shape.within)) {
        if (unit.fitting_members[shape.accelerators] < shape.members)
            continue;
        auto found = shape.within == adjacency::worker
                         ? place_on_one_worker(cell, request, unit)
                         : place_in_unit(cell, request, unit);
        if (found)
            return found;
    }
    return std::nullopt;
}

const policy_registration registration({"first_fit", arrival_order, first_fit,
                                        false});

} // namespace

} // namespace celerylift::kernel
