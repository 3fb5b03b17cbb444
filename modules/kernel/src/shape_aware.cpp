// The default policy: orders jobs by urgency and shortest expected run time,
// with ageing, and places each where it leaves the most capacity usable for
// other shapes.
#include <celerylift/kernel/policy.hpp>

#include <algorithm>
#include <tuple>

namespace celerylift::kernel {

namespace {

/// Added to the arrival time of a batch job when it is compared with urgent
/// jobs. It limits how long urgent arrivals can overtake a batch job.
constexpr duration batch_delay{600'000};

/// The maximum time by which a long estimate delays a job.
constexpr duration max_estimate_delay{3'600'000};

/// Orders by arrival time plus a delay that grows with the estimate. At full
/// weight on completion time the delay equals the estimate: a job waits as long
/// as it runs before it ranks equal to a new job without any run time.
std::int64_t aged_shortest_first(const cell_state& cell, const job& job,
                                 time_point arrived, duration estimate) {
    const auto weight = 100 - cell.fragmentation_weight;
    auto key = arrived.time_since_epoch();
    if (job.urgency == urgency::batch)
        key += batch_delay;
    key += std::min(max_estimate_delay, estimate) * weight / 100;
    return key.count();
}

/// The cost of placing a gang in a unit. Members are compared in this order.
struct fit_cost {
    int guaranteed_taken = 0; // May be reclaimed later.
    int split_workers = 0;    // Empty workers that become partly used.
    int unit_available = 0;   // Free accelerators of the unit.

    auto operator<=>(const fit_cost&) const = default;
};

fit_cost cost_of(const cell_state& cell, const unit_state& unit,
                 const placement& taken) {
    fit_cost cost;
    for (const auto& s : taken) {
        const auto& w = cell.workers[s.worker];
        const int unhomed =
            w.spec.accelerators - w.homed - std::max(0, w.used - w.homed);
        cost.guaranteed_taken += std::max(0, s.accelerators - unhomed);
        const bool empty = w.used == 0 && w.held == 0;
        if (empty && s.accelerators < w.spec.accelerators)
            ++cost.split_workers;
    }
    cost.unit_available = unit.fitting_members[1];
    return cost;
}

/// Picks the placement of least cost over all units, or over all workers if the
/// gang must be on one worker.
std::optional<placement> shape_aware(const cell_state& cell,
                                     const placement_request& request) {
    const auto& shape = request.shape;
    std::optional<placement> best;
    fit_cost best_cost;
    for (const auto& unit : units_of(cell, shape.within)) {
        if (unit.fitting_members[shape.accelerators] < shape.members)
            continue;
        std::vector<share> candidates;
        for (int w : unit.workers) {
            const int free = usable_accelerators(cell, request, w);
            if (free >= shape.accelerators)
                candidates.push_back({w, free});
        }
        auto found = fit_into(cell, shape, std::move(candidates));
        if (!found)
            continue;
        const auto cost = cost_of(cell, unit, *found);
        if (best && !(cost < best_cost))
            continue;
        best = std::move(found);
        best_cost = cost;
    }
    return best;
}

const policy_registration registration({"shape_aware", aged_shortest_first,
                                        shape_aware, true});

} // namespace

} // namespace celerylift::kernel
