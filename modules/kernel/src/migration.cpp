#include <celerylift/kernel/migration.hpp>

#include <celerylift/kernel/estimates.hpp>
#include <celerylift/kernel/placement.hpp>

#include <algorithm>

namespace celerylift::kernel {

namespace {

/// A gang is moved only if it is expected to run for longer than the move
/// takes, and not soon after it was placed.
constexpr duration shortest_remaining_run{20'000};
constexpr duration settled_after{60'000};

int accelerators_of(const gang_state& gang) {
    int accelerators = 0;
    for (const auto& s : gang.shares)
        accelerators += s.accelerators;
    return accelerators;
}

bool is_movable(const gang_state& gang, time_point now) {
    return gang.use == gang_use::borrowed && !gang.stopping &&
           gang.shares.size() == 1 && gang.placed + settled_after <= now &&
           remaining_run(gang, now) >= shortest_remaining_run;
}

/// The cost and the gain of clearing one worker for members of a given size.
struct worker_clearing {
    int worker = -1;
    int members = 0; // That fit on the worker afterwards.
    int moved = 0;   // Accelerators of the moved gangs.
    std::vector<gang_id> victims;
};

worker_clearing clear_worker(const cell_state& cell, int w, int size,
                             time_point now) {
    worker_clearing clearing;
    clearing.worker = w;
    int room = available(cell, w);
    for (gang_id id : cell.workers[w].gangs) {
        const auto& gang = cell.gangs.at(id);
        if (!is_movable(gang, now))
            continue;
        const int freed = accelerators_of(gang);
        if ((room + freed) / size > room / size || freed < size) {
            clearing.victims.push_back(id);
            clearing.moved += freed;
            room += freed;
        }
    }
    clearing.members = room / size;
    if (available(cell, w) / size == clearing.members) {
        clearing.victims.clear();
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
        plan.victims.insert(plan.victims.end(), clearing.victims.begin(),
                            clearing.victims.end());
    }
    if (members < shape.members)
        return std::nullopt;
    std::sort(plan.workers.begin(), plan.workers.end());
    return plan;
}

/// Whether the gangs to move fit on workers that are not being cleared.
bool has_room_elsewhere(const cell_state& cell, const migration_plan& plan) {
    std::vector<int> room;
    for (int w = 0; w < static_cast<int>(cell.workers.size()); ++w) {
        if (!std::binary_search(plan.workers.begin(), plan.workers.end(), w))
            room.push_back(available(cell, w));
    }
    for (gang_id id : plan.victims) {
        const int needed = accelerators_of(cell.gangs.at(id));
        auto best = room.end();
        for (auto it = room.begin(); it != room.end(); ++it) {
            if (*it >= needed && (best == room.end() || *it < *best))
                best = it;
        }
        if (best == room.end())
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
    int most = total_accelerators(shape) * cell.fragmentation_weight / 100;
    std::optional<migration_plan> best;
    for (const auto& unit : units_of(cell, shape.within)) {
        int moved = 0;
        auto plan = clear_unit(cell, unit, shape, now, moved);
        if (!plan || moved > most || plan->victims.empty() ||
            !has_room_elsewhere(cell, *plan))
            continue;
        best = std::move(plan);
        most = moved - 1;
    }
    return best;
}

} // namespace celerylift::kernel
