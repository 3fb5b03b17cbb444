#include <celerylift/kernel/migration.hpp>

#include <celerylift/kernel/estimates.hpp>
#include <celerylift/kernel/placement.hpp>

#include <algorithm>

namespace celerylift::kernel {

namespace {

/// A gang is moved only if it is expected to run for longer than the move
/// takes, and not soon after it was placed.
constexpr duration min_remaining_run{20'000};
constexpr duration min_time_since_placement{60'000};

int accelerators_of(const gang_state& gang) {
    int accelerators = 0;
    for (const auto& s : gang.shares)
        accelerators += s.accelerators;
    return accelerators;
}

bool is_movable(const gang_state& gang, time_point now) {
    return gang.use == gang_use::borrowed && !gang.stopping &&
           gang.shares.size() == 1 &&
           gang.placed + min_time_since_placement <= now &&
           remaining_run(gang, now) >= min_remaining_run;
}

/// The cost and the gain of clearing one worker for members of a given size.
struct worker_clearing {
    int worker = -1;
    int members = 0; // That fit on the worker afterwards.
    int moved = 0;   // Accelerators of the moved gangs.
    std::vector<gang_id> gangs_to_stop;
};

worker_clearing clear_worker(const cell_state& cell, int w, int size,
                             time_point now) {
    worker_clearing clearing;
    clearing.worker = w;
    int free = available(cell, w);
    for (gang_id id : cell.workers[w].gangs) {
        const auto& gang = cell.gangs.at(id);
        if (!is_movable(gang, now))
            continue;
        const int freed = accelerators_of(gang);
        if ((free + freed) / size > free / size || freed < size) {
            clearing.gangs_to_stop.push_back(id);
            clearing.moved += freed;
            free += freed;
        }
    }
    clearing.members = free / size;
    if (available(cell, w) / size == clearing.members) {
        clearing.gangs_to_stop.clear();
        clearing.moved = 0;
    }
    return clearing;
}

/// Selects the workers of a unit on which the members fit with the fewest
/// accelerators moved.
std::optional<migration_plan> clear_unit(const cell_state& cell,
                                         const unit_state& unit,
                                         const gang_shape& shape,
                                         time_point now, int& moved) {
    std::vector<worker_clearing> clearings;
    for (int w : unit.workers) {
        auto clearing = clear_worker(cell, w, shape.accelerators, now);
        if (clearing.members > 0)
            clearings.push_back(std::move(clearing));
    }
    std::sort(clearings.begin(), clearings.end(),
              [](const worker_clearing& a, const worker_clearing& b) {
                  return std::make_pair(a.moved, a.worker) <
                         std::make_pair(b.moved, b.worker);
              });
    migration_plan plan;
    int members = 0;
    moved = 0;
    for (auto& clearing : clearings) {
        if (members >= shape.members)
            break;
        members += clearing.members;
        moved += clearing.moved;
        plan.workers.push_back(clearing.worker);
        plan.gangs_to_stop.insert(plan.gangs_to_stop.end(),
                                  clearing.gangs_to_stop.begin(),
                                  clearing.gangs_to_stop.end());
    }
    if (members < shape.members)
        return std::nullopt;
    std::sort(plan.workers.begin(), plan.workers.end());
    return plan;
}

/// Whether the gangs to move fit on workers that are not being cleared.
bool fit_elsewhere(const cell_state& cell, const migration_plan& plan) {
    std::vector<int> free;
    for (int w = 0; w < static_cast<int>(cell.workers.size()); ++w) {
        if (!std::binary_search(plan.workers.begin(), plan.workers.end(), w))
            free.push_back(available(cell, w));
    }
    for (gang_id id : plan.gangs_to_stop) {
        const int needed = accelerators_of(cell.gangs.at(id));
        auto best = free.end();
        for (auto it = free.begin(); it != free.end(); ++it) {
            if (*it >= needed && (best == free.end() || *it < *best))
                best = it;
        }
        if (best == free.end())
            return false;
        *best -= needed;
    }
    return true;
}

} // namespace

std::optional<migration_plan> plan_migration(const cell_state& cell,
                                             const waiting_job& waiting,
                                             time_point now) {
    const auto& shape = waiting.job.shape;
    int max_moved = total_accelerators(shape) * cell.fragmentation_weight / 100;
    std::optional<migration_plan> best;
    for (const auto& unit : units_of(cell, shape.within)) {
        int moved = 0;
        auto plan = clear_unit(cell, unit, shape, now, moved);
        if (!plan || moved > max_moved || plan->gangs_to_stop.empty() ||
            !fit_elsewhere(cell, *plan))
            continue;
        best = std::move(plan);
        max_moved = moved - 1;
    }
    return best;
}

} // namespace celerylift::kernel
