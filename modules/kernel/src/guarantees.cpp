#include <celerylift/kernel/guarantees.hpp>

#include <celerylift/kernel/placement.hpp>
#include <celerylift/kernel/reclaim.hpp>

#include <algorithm>
#include <cassert>
#include <fmt/format.h>

namespace celerylift::kernel {

bool is_unused(const block_state& block) {
    return std::all_of(block.used.begin(), block.used.end(),
                       [](int used) { return used == 0; });
}

std::vector<share> unused_home(const cell_state& cell,
                               const block_state& block) {
    std::vector<share> unused;
    for (std::size_t i = 0; i < block.home.size(); ++i) {
        const auto& s = block.home[i];
        if (s.worker < 0 || !accepts_gangs(cell.workers[s.worker]))
            continue;
        if (s.accelerators > block.used[i])
            unused.push_back({s.worker, s.accelerators - block.used[i]});
    }
    return unused;
}

namespace {

/// Accelerators on worker `w` that a home may cover: those that neither a
/// guarantee covers nor a pinned gang uses. With `free_now`, only those that
/// are also free now.
int home_capacity(const cell_state& cell, int w, bool free_now) {
    const auto& s = cell.workers[w];
    if (!accepts_gangs(s))
        return 0;
    const int open = s.spec.accelerators - s.homed - s.pinned;
    return std::max(0, free_now ? std::min(open, available(cell, w)) : open);
}

/// Picks a home in the unit with the least available capacity in which the
/// shape fits, so that larger units remain for larger shapes.
std::optional<placement> pick_home(const cell_state& cell,
                                   const gang_shape& shape, bool free_now) {
    std::optional<placement> best;
    int best_available = 0;
    for (const auto& unit : units_of(cell, shape.within)) {
        std::vector<share> candidates;
        int total = 0;
        for (int w : unit.workers) {
            const int open = home_capacity(cell, w, free_now);
            total += open;
            if (open >= shape.accelerators)
                candidates.push_back({w, open});
        }
        if (best && total >= best_available)
            continue;
        if (auto found = fit_into(cell, shape, std::move(candidates))) {
            best = std::move(found);
            best_available = total;
        }
    }
    return best;
}

void bind_home(cell_state& cell, block_state& block, placement home) {
    for (const auto& s : home)
        cell.workers[s.worker].homed += s.accelerators;
    block.home = std::move(home);
    block.used.assign(block.home.size(), 0);
}

void unbind_home(cell_state& cell, block_state& block) {
    for (const auto& s : block.home) {
        if (s.worker >= 0)
            cell.workers[s.worker].homed -= s.accelerators;
        else
            --cell.lost_shares;
    }
    block.home.clear();
    block.used.clear();
}

int count_homeless(const cell_state& cell) {
    int lost = 0;
    for (const auto& block : cell.blocks)
        for (const auto& s : block.home)
            lost += s.worker < 0 ? 1 : 0;
    return lost;
}

/// Marks all shares of a block as lost, so that rebind_lost_shares looks for a
/// home.
void mark_homeless(cell_state& cell, block_state& block) {
    block.home.assign(block.shape.members, {-1, block.shape.accelerators});
    block.used.assign(block.shape.members, 0);
    cell.lost_shares += block.shape.members;
}

/// Binds every unused block again, largest shape first.
void repack(cell_state& cell) {
    std::vector<int> open;
    for (int b = 0; b < static_cast<int>(cell.blocks.size()); ++b) {
        auto& block = cell.blocks[b];
        if (block.home.empty() || !is_unused(block))
            continue;
        unbind_home(cell, block);
        open.push_back(b);
    }
    std::sort(open.begin(), open.end(), [&](int a, int b) {
        const auto& sa = cell.blocks[a].shape;
        const auto& sb = cell.blocks[b].shape;
        return std::make_tuple(-sa.accelerators, -total_accelerators(sa), a) <
               std::make_tuple(-sb.accelerators, -total_accelerators(sb), b);
    });
    for (int b : open) {
        auto home = pick_home(cell, cell.blocks[b].shape, false);
        if (home)
            bind_home(cell, cell.blocks[b], std::move(*home));
        else
            mark_homeless(cell, cell.blocks[b]);
    }
}

/// The state that a failed change of homes restores.
struct homes_snapshot {
    std::vector<block_state> blocks;
    std::vector<std::pair<int, int>> homed_and_pinned;
    int lost_shares = 0;
};

homes_snapshot snapshot(const cell_state& cell) {
    homes_snapshot s{cell.blocks, {}, cell.lost_shares};
    for (const auto& w : cell.workers)
        s.homed_and_pinned.emplace_back(w.homed, w.pinned);
    return s;
}

void restore(cell_state& cell, homes_snapshot s) {
    cell.blocks = std::move(s.blocks);
    cell.lost_shares = s.lost_shares;
    for (std::size_t w = 0; w < s.homed_and_pinned.size(); ++w) {
        cell.workers[w].homed = s.homed_and_pinned[w].first;
        cell.workers[w].pinned = s.homed_and_pinned[w].second;
    }
}

void repack_if_better(cell_state& cell) {
    auto before = snapshot(cell);
    repack(cell);
    if (cell.lost_shares >= before.lost_shares)
        restore(cell, std::move(before));
}

int find_or_add_organisation(cell_state& cell, const std::string& name) {
    auto [it, added] = cell.organisation_index.emplace(
        name, static_cast<int>(cell.organisations.size()));
    if (added) {
        cell.organisations.emplace_back();
        cell.organisations.back().spec.name = name;
    }
    return it->second;
}

std::vector<gang_shape> shapes_of(const organisation& spec) {
    std::vector<gang_shape> shapes;
    for (const auto& entry : spec.guarantee)
        shapes.insert(shapes.end(), entry.count, entry.shape);
    std::sort(shapes.begin(), shapes.end());
    return shapes;
}

/// Takes a gang out of its block. A repeatable gang becomes borrowed. Any other
/// gang becomes pinned, so that no guarantee covers its accelerators.
void detach_gang(cell_state& cell, gang_state& gang) {
    auto& block = cell.blocks[gang.block];
    std::fill(block.used.begin(), block.used.end(), 0);
    gang.block = -1;
    if (gang.job.repeatable) {
        gang.use = gang_use::borrowed;
        ++cell.organisations[block.organisation].borrowed;
        return;
    }
    gang.use = gang_use::pinned;
    for (const auto& s : gang.shares)
        cell.workers[s.worker].pinned += s.accelerators;
}

void drop_block(cell_state& cell, int b) {
    for (auto& [id, gang] : cell.gangs) {
        if (gang.block == b)
            detach_gang(cell, gang);
    }
    unbind_home(cell, cell.blocks[b]);
    cell.blocks[b].organisation = -1;
}

/// Drops the blocks that the new guarantee no longer has, unused ones first,
/// and returns the shapes that it has in addition.
std::vector<gang_shape> drop_surplus_blocks(cell_state& cell, int org,
                                            std::vector<gang_shape> wanted) {
    auto blocks = cell.organisations[org].blocks;
    std::stable_sort(blocks.begin(), blocks.end(), [&](int a, int b) {
        return !is_unused(cell.blocks[a]) && is_unused(cell.blocks[b]);
    });
    std::vector<int> kept;
    for (int b : blocks) {
        auto it = std::find(wanted.begin(), wanted.end(), cell.blocks[b].shape);
        if (it == wanted.end()) {
            drop_block(cell, b);
            continue;
        }
        wanted.erase(it);
        kept.push_back(b);
    }
    cell.organisations[org].blocks = std::move(kept);
    return wanted;
}

void add_homeless_blocks(cell_state& cell, int org,
                         const std::vector<gang_shape>& shapes) {
    for (const auto& shape : shapes) {
        const int b = static_cast<int>(cell.blocks.size());
        block_state block;
        block.organisation = org;
        block.shape = shape;
        mark_homeless(cell, block);
        cell.blocks.push_back(std::move(block));
        cell.organisations[org].blocks.push_back(b);
    }
}

int change_guarantee(cell_state& cell, const organisation& spec) {
    const int org = find_or_add_organisation(cell, spec.name);
    const auto missing = drop_surplus_blocks(cell, org, shapes_of(spec));
    add_homeless_blocks(cell, org, missing);
    cell.organisations[org].spec = spec;
    cell.organisations[org].removed = false;
    rebind_lost_shares(cell);
    ++cell.capacity_version;
    return org;
}

int blocks_without_home(const cell_state& cell, int org) {
    int without = 0;
    for (int b : cell.organisations[org].blocks)
        without += is_homeless(cell.blocks[b]) ? 1 : 0;
    return without;
}

error shortfall(const organisation& spec, int without) {
    return {error_kind::infeasible,
            fmt::format("the cell has no capacity for {} of the {} gangs "
                        "guaranteed to {} beside the other guarantees; "
                        "lower the guarantee or add workers",
                        without, shapes_of(spec).size(), spec.name),
            run_state::not_run, duration{0}};
}

} // namespace

bool is_homeless(const block_state& block) {
    return std::any_of(block.home.begin(), block.home.end(),
                       [](const share& s) { return s.worker < 0; });
}

result<success> set_organisation(cell_state& cell, const organisation& spec) {
    drop_claims(cell, [&](const waiting_job& w) {
        return w.job.organisation == spec.name;
    });
    auto before = snapshot(cell);
    const auto organisations = cell.organisations;
    const auto index = cell.organisation_index;
    const auto gangs = cell.gangs;

    const int org = change_guarantee(cell, spec);
    if (cell.lost_shares <= before.lost_shares)
        return success{};
    const int without = blocks_without_home(cell, org);
    restore(cell, std::move(before));
    cell.organisations = organisations;
    cell.organisation_index = index;
    cell.gangs = gangs;
    return shortfall(spec, without);
}

void load_organisation(cell_state& cell, const organisation& spec) {
    change_guarantee(cell, spec);
}

void remove_organisation(cell_state& cell, const std::string& name) {
    auto it = cell.organisation_index.find(name);
    if (it == cell.organisation_index.end())
        return;
    drop_claims(
        cell, [&](const waiting_job& w) { return w.job.organisation == name; });
    drop_surplus_blocks(cell, it->second, {});
    auto& org = cell.organisations[it->second];
    org.spec.guarantee.clear();
    org.removed = true;
    rebind_lost_shares(cell);
    ++cell.capacity_version;
}

bool rebind_to_free(cell_state& cell, int b) {
    auto& block = cell.blocks[b];
    if (!is_unused(block))
        return false;
    auto home = pick_home(cell, block.shape, true);
    if (!home)
        return false;
    unbind_home(cell, block);
    bind_home(cell, block, std::move(*home));
    return true;
}

bool bind_to(cell_state& cell, int b, const std::vector<share>& shares) {
    auto& block = cell.blocks[b];
    if (!is_unused(block))
        return false;
    auto before = snapshot(cell);
    unbind_home(cell, block);
    const bool fits =
        std::all_of(shares.begin(), shares.end(), [&](const share& s) {
            return home_capacity(cell, s.worker, false) >= s.accelerators;
        });
    if (!fits) {
        restore(cell, std::move(before));
        return false;
    }
    bind_home(cell, block, shares);
    return true;
}

void unbind_homes_on(cell_state& cell, int w) {
    for (auto& block : cell.blocks) {
        for (std::size_t i = 0; i < block.home.size(); ++i) {
            if (block.home[i].worker != w || block.used[i] > 0)
                continue;
            cell.workers[w].homed -= block.home[i].accelerators;
            block.home[i].worker = -1;
            ++cell.lost_shares;
        }
    }
    rebind_lost_shares(cell);
}

namespace {

/// The unit in which all shares of a block must be, given the worker of one of
/// them.
const unit_state& unit_around(const cell_state& cell, adjacency within, int w) {
    switch (within) {
    case adjacency::rack:
    case adjacency::worker:
        return cell.racks[cell.workers[w].rack];
    case adjacency::failure_domain:
        return cell.domains[cell.workers[w].domain];
    case adjacency::cell:
        break;
    }
    return cell.whole_cell;
}

/// Puts a lost share on worker `w`. If the home already has a share on `w`, the
/// two are merged, since a worker appears at most once in a home.
void bind_lost_share(cell_state& cell, block_state& block, std::size_t lost,
                     int w) {
    cell.workers[w].homed += block.home[lost].accelerators;
    --cell.lost_shares;
    for (auto& s : block.home) {
        if (s.worker != w)
            continue;
        s.accelerators += block.home[lost].accelerators;
        block.home.erase(block.home.begin() +
                         static_cast<std::ptrdiff_t>(lost));
        block.used.erase(block.used.begin() +
                         static_cast<std::ptrdiff_t>(lost));
        return;
    }
    block.home[lost].worker = w;
}

/// Moves one lost share to a worker in the unit of the remaining shares.
/// Returns false if no worker of that unit has the capacity.
bool replace_share(cell_state& cell, block_state& block, std::size_t lost) {
    const auto anchor =
        std::find_if(block.home.begin(), block.home.end(),
                     [](const share& s) { return s.worker >= 0; });
    if (anchor == block.home.end() || block.shape.within == adjacency::worker)
        return false;
    const auto& unit = unit_around(cell, block.shape.within, anchor->worker);
    for (int w : unit.workers) {
        if (home_capacity(cell, w, false) < block.home[lost].accelerators)
            continue;
        bind_lost_share(cell, block, lost, w);
        return true;
    }
    return false;
}

void replace_lost_shares(cell_state& cell, block_state& block) {
    for (std::size_t i = 0; i < block.home.size();) {
        const bool lost = block.home[i].worker < 0;
        if (!lost || !replace_share(cell, block, i))
            ++i;
    }
}

/// A block that may get another home, with its home and usage before the move.
struct movable_block {
    int block = -1;
    bool lost = false;
    std::vector<share> home;
    std::vector<int> used;
};

std::set<int> fixed_blocks(const cell_state& cell) {
    std::set<int> fixed;
    for (const auto& [id, gang] : cell.gangs) {
        if (gang.block >= 0 && !gang.job.repeatable)
            fixed.insert(gang.block);
    }
    for (const auto& id : cell.claims)
        fixed.insert(cell.waiting.at(id).reclaim->block);
    return fixed;
}

/// Unbinds all blocks that may move and returns them in the order in which they
/// are bound again: largest shape first, and within one size those that had a
/// home first.
std::vector<movable_block> release_movable(cell_state& cell) {
    const auto fixed = fixed_blocks(cell);
    std::vector<movable_block> movable;
    for (int b = 0; b < static_cast<int>(cell.blocks.size()); ++b) {
        auto& block = cell.blocks[b];
        if (block.home.empty() || fixed.contains(b))
            continue;
        movable.push_back({b, is_homeless(block), block.home, block.used});
        unbind_home(cell, block);
    }
    std::sort(movable.begin(), movable.end(),
              [&](const movable_block& a, const movable_block& b) {
                  const auto& sa = cell.blocks[a.block].shape;
                  const auto& sb = cell.blocks[b.block].shape;
                  return std::make_tuple(
                             -sa.accelerators, -total_accelerators(sa), a.lost,
                             a.block) < std::make_tuple(-sb.accelerators,
                                                        -total_accelerators(sb),
                                                        b.lost, b.block);
              });
    return movable;
}

bool has_old_home(const cell_state& cell, const movable_block& m) {
    return !m.lost &&
           std::all_of(m.home.begin(), m.home.end(), [&](const share& s) {
               return home_capacity(cell, s.worker, false) >= s.accelerators;
           });
}

/// Binds blocks again even if gangs run in them. A gang whose block moves keeps
/// running as a borrower and is stopped only when its accelerators are
/// reclaimed. Changes nothing unless the number of lost shares decreases.
void rebind_occupied_blocks(cell_state& cell) {
    auto before = snapshot(cell);
    const auto movable = release_movable(cell);
    std::set<int> moved;
    for (const auto& m : movable) {
        auto& block = cell.blocks[m.block];
        if (has_old_home(cell, m)) {
            bind_home(cell, block, m.home);
            block.used = m.used;
            continue;
        }
        moved.insert(m.block);
        if (auto home = pick_home(cell, block.shape, false))
            bind_home(cell, block, std::move(*home));
        else
            mark_homeless(cell, block);
    }
    if (cell.lost_shares >= before.lost_shares)
        return restore(cell, std::move(before));
    for (auto& [id, gang] : cell.gangs) {
        if (moved.contains(gang.block))
            detach_gang(cell, gang);
    }
}

} // namespace

void rebind_lost_shares(cell_state& cell) {
    if (cell.lost_shares == 0)
        return;
    for (auto& block : cell.blocks) {
        replace_lost_shares(cell, block);
        if (!is_homeless(block) || !is_unused(block))
            continue;
        auto home = pick_home(cell, block.shape, false);
        if (!home)
            continue;
        unbind_home(cell, block);
        bind_home(cell, block, std::move(*home));
    }
    if (cell.lost_shares > 0)
        repack_if_better(cell);
    if (cell.lost_shares > 0)
        rebind_occupied_blocks(cell);
    assert(cell.lost_shares == count_homeless(cell));
    ++cell.capacity_version;
}

} // namespace celerylift::kernel
