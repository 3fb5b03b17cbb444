// The default policy: the shortest urgent work first, with ageing, placed
// where it destroys the least room for other shapes.
#include <celerylift/kernel/policy.hpp>

#include <algorithm>
#include <tuple>

namespace celerylift::kernel {

namespace {

/// How much later than an urgent job a patient one counts as having arrived.
/// It bounds by how long urgent arrivals can overtake a patient job.
constexpr duration patience{600'000};

/// The most by which a long estimate delays a job.
constexpr duration longest_handicap{3'600'000};

/// At full weight on completion time a job waits as long as it runs before
/// it is level with a job of no length.
std::int64_t aged_shortest_first(const cell_state& cell, const job& job,
                                 time_point arrived, duration estimate) {
    const auto weight = 100 - cell.fragmentation_weight;
    auto key = arrived.time_since_epoch();
    if (job.urgency == urgency::patient)
        key += patience;
    key += std::min(longest_handicap, estimate) * weight / 100;
    return key.count();
}

/// How well a gang fits a unit; smaller is better.
struct fit_cost {
    int guaranteed_taken = 0; // Lent accelerators may have to be given back.
    int broken_workers = 0;   // Whole workers that stop being whole.
    int leftover = 0;         // Room that remains in the unit.

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
        const bool whole = w.used == 0 && w.held == 0;
        if (whole && s.accelerators < w.spec.accelerators)
            ++cost.broken_workers;
    }
    cost.leftover = unit.room[1];
    return cost;
}

/// The best of all units, or of all workers where the gang must lie on one.
std::optional<placement> shape_aware(const cell_state& cell,
                                     const placement_request& request) {
    const auto& shape = request.shape;
    std::optional<placement> best;
    fit_cost best_cost;
    for (const auto& unit : units_of(cell, shape.within)) {
        if (unit.room[shape.accelerators] < shape.members)
            continue;
        std::vector<share> room;
        for (int w : unit.workers) {
            const int free = usable_room(cell, request, w);
            if (free >= shape.accelerators)
                room.push_back({w, free});
        }
        auto found = fit_into(cell, shape, std::move(room));
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
