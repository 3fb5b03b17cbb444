#include <celerylift/kernel/reclaim.hpp>

#include <celerylift/kernel/guarantees.hpp>
#include <celerylift/kernel/queue.hpp>
#include <celerylift/kernel/workers.hpp>

#include <algorithm>
#include <cassert>

namespace celerylift::kernel {

void change_block_usage(block_state& block, const placement& shares, int sign) {
    for (const auto& s : shares) {
        for (std::size_t i = 0; i < block.home.size(); ++i) {
            if (block.home[i].worker != s.worker)
                continue;
            block.used[i] += sign * s.accelerators;
            assert(block.used[i] >= 0 &&
                   block.used[i] <= block.home[i].accelerators);
            break;
        }
    }
}

namespace {

std::vector<share> unused_in_block(const cell_state& cell,
                                   const waiting_job& waiting, int block,
                                   bool free_now) {
    std::vector<share> unused;
    for (auto s : unused_home(cell, cell.blocks[block])) {
        if (waiting.avoid.contains(s.worker))
            continue;
        if (free_now)
            s.accelerators =
                std::min(s.accelerators, available(cell, s.worker));
        if (s.accelerators > 0)
            unused.push_back(s);
    }
    return unused;
}

/// Sorts blocks by unused accelerators, fewest first, so that small jobs do not
/// occupy blocks that are guaranteed for large ones.
std::vector<int> fewest_unused_first(const cell_state& cell,
                                     std::vector<int> blocks) {
    const auto unused = [&](int b) {
        int left = 0;
        for (std::size_t i = 0; i < cell.blocks[b].home.size(); ++i)
            left +=
                cell.blocks[b].home[i].accelerators - cell.blocks[b].used[i];
        return left;
    };
    std::stable_sort(blocks.begin(), blocks.end(),
                     [&](int a, int b) { return unused(a) < unused(b); });
    return blocks;
}

std::optional<reclaim_plan> plan_free_home(const cell_state& cell,
                                           const waiting_job& waiting,
                                           const std::vector<int>& blocks) {
    for (int b : blocks) {
        if (auto found = fit_into(cell, waiting.job.shape,
                                  unused_in_block(cell, waiting, b, true)))
            return reclaim_plan{b, std::move(*found), {}, false};
    }
    return std::nullopt;
}

/// Whether the job would fit into the block if no borrowed gang ran there.
bool could_hold(const cell_state& cell, const waiting_job& waiting, int block) {
    return fit_into(cell, waiting.job.shape,
                    unused_in_block(cell, waiting, block, false))
        .has_value();
}

std::optional<reclaim_plan> plan_moved_home(cell_state& cell,
                                            const waiting_job& waiting,
                                            const std::vector<int>& blocks) {
    for (int b : blocks) {
        if (!could_hold(cell, waiting, b) || !rebind_to_free(cell, b))
            continue;
        if (auto found = fit_into(cell, waiting.job.shape,
                                  unused_in_block(cell, waiting, b, true)))
            return reclaim_plan{b, std::move(*found), {}, false};
    }
    return std::nullopt;
}

/// Work that is lost when the gang is stopped, in accelerator milliseconds.
std::int64_t lost_work(const gang_state& gang, time_point now) {
    std::int64_t accelerators = 0;
    for (const auto& s : gang.shares)
        accelerators += s.accelerators;
    return accelerators * (1 + (now - gang.placed).count());
}

int share_on(const gang_state& gang, int w) {
    int accelerators = 0;
    for (const auto& s : gang.shares)
        accelerators += s.worker == w ? s.accelerators : 0;
    return accelerators;
}

struct worker_preemptions {
    std::vector<gang_id> gangs;
    std::int64_t cost = 0;
};

/// Picks the borrowed gangs to stop on one worker so that `needed` more
/// accelerators become free there, those with the least lost work first. Gangs
/// that are stopping or in `chosen` already count as ended.
worker_preemptions pick_preemptions(const cell_state& cell, const share& needed,
                                    const std::vector<gang_id>& chosen,
                                    time_point now) {
    const auto& w = cell.workers[needed.worker];
    int shortage = w.used + w.held + needed.accelerators - w.spec.accelerators;
    std::vector<const gang_state*> candidates;
    for (gang_id id : w.gangs) {
        const auto& gang = cell.gangs.at(id);
        const bool ends =
            gang.stopping ||
            std::find(chosen.begin(), chosen.end(), id) != chosen.end();
        if (ends)
            shortage -= share_on(gang, needed.worker);
        else if (gang.use == gang_use::borrowed)
            candidates.push_back(&gang);
    }
    std::sort(candidates.begin(), candidates.end(),
              [&](const gang_state* a, const gang_state* b) {
                  return std::make_pair(lost_work(*a, now), a->id) <
                         std::make_pair(lost_work(*b, now), b->id);
              });
    worker_preemptions preemptions;
    for (const auto* gang : candidates) {
        if (shortage <= 0)
            break;
        shortage -= share_on(*gang, needed.worker);
        preemptions.gangs.push_back(gang->id);
        preemptions.cost += lost_work(*gang, now);
    }
    return preemptions;
}

std::optional<reclaim_plan> plan_reclaim(const cell_state& cell,
                                         const waiting_job& waiting,
                                         const std::vector<int>& blocks,
                                         time_point now) {
    std::optional<reclaim_plan> best;
    std::int64_t best_cost = 0;
    for (int b : blocks) {
        auto found = fit_into(cell, waiting.job.shape,
                              unused_in_block(cell, waiting, b, false));
        if (!found)
            continue;
        reclaim_plan plan{b, std::move(*found), {}, true};
        std::int64_t cost = 0;
        for (const auto& s : plan.shares) {
            auto preemptions =
                pick_preemptions(cell, s, plan.gangs_to_stop, now);
            cost += preemptions.cost;
            plan.gangs_to_stop.insert(plan.gangs_to_stop.end(),
                                      preemptions.gangs.begin(),
                                      preemptions.gangs.end());
        }
        if (best && cost >= best_cost)
            continue;
        best = std::move(plan);
        best_cost = cost;
    }
    return best;
}

} // namespace

std::optional<reclaim_plan> plan_in_guarantee(cell_state& cell,
                                              const waiting_job& waiting,
                                              time_point now) {
    const auto& org = cell.organisations[cell.organisation_index.at(
        waiting.job.organisation)];
    if (org.blocks.empty())
        return std::nullopt;
    const auto blocks = fewest_unused_first(cell, org.blocks);
    if (auto plan = plan_free_home(cell, waiting, blocks))
        return plan;
    if (auto plan = plan_moved_home(cell, waiting, blocks))
        return plan;
    return plan_reclaim(cell, waiting, blocks, now);
}

void hold_claim(cell_state& cell, waiting_job& waiting,
                const reclaim_plan& plan, const std::string& backend,
                time_point now) {
    leave_group(cell, waiting);
    change_block_usage(cell.blocks[plan.block], plan.shares, 1);
    for (const auto& s : plan.shares)
        change_usage(cell, s.worker, 0, s.accelerators);
    waiting.reclaim = claim{plan.block, plan.shares, backend, now};
    cell.claims.insert(waiting.job.id);
}

void drop_claim(cell_state& cell, waiting_job& waiting) {
    const auto held = *waiting.reclaim;
    change_block_usage(cell.blocks[held.block], held.shares, -1);
    for (const auto& s : held.shares)
        change_usage(cell, s.worker, 0, -s.accelerators);
    if (!held.backend.empty())
        return_slot(cell.backends, held.backend, slot_use::untouched, {});
    cell.claims.erase(waiting.job.id);
    waiting.reclaim.reset();
    rejoin_group(cell, waiting);
}

void drop_claims(cell_state& cell,
                 const std::function<bool(const waiting_job&)>& which) {
    const auto claims = cell.claims;
    for (const auto& id : claims) {
        auto& waiting = cell.waiting.at(id);
        if (which(waiting))
            drop_claim(cell, waiting);
    }
}

bool claim_is_free(const cell_state& cell, const claim& claim) {
    return std::all_of(
        claim.shares.begin(), claim.shares.end(), [&](const share& s) {
            const auto& w = cell.workers[s.worker];
            return w.spec.accelerators - w.used >= s.accelerators;
        });
}

} // namespace celerylift::kernel
