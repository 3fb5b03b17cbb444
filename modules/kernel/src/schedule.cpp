#include <celerylift/kernel/schedule.hpp>

#include <celerylift/kernel/estimates.hpp>
#include <celerylift/kernel/guarantees.hpp>
#include <celerylift/kernel/migration.hpp>
#include <celerylift/kernel/policy.hpp>
#include <celerylift/kernel/queue.hpp>
#include <celerylift/kernel/reclaim.hpp>
#include <celerylift/kernel/workers.hpp>
#include <celerylift/mutant.hpp>

#include <algorithm>
#include <cassert>
#include <fmt/format.h>

namespace celerylift::kernel {

namespace {

/// Limits the groups tried in one call, which bounds the time of a call.
constexpr int max_tries = 128;

/// Gangs with fewer accelerators than this never get a reservation.
constexpr int reservation_threshold = 8;

void count_gang(cell_state& cell, const gang_state& gang, int sign) {
    for (const auto& s : gang.shares) {
        change_usage(cell, s.worker, sign * s.accelerators, 0);
        if (gang.use == gang_use::pinned)
            cell.workers[s.worker].pinned += sign * s.accelerators;
    }
    if (gang.use == gang_use::guaranteed)
        change_block_usage(cell.blocks[gang.block], gang.shares, sign);
    if (gang.use == gang_use::borrowed) {
        auto it = cell.organisation_index.find(gang.job.organisation);
        if (it != cell.organisation_index.end())
            cell.organisations[it->second].borrowed += sign;
    }
}

void list_gang(cell_state& cell, const gang_state& gang) {
    for (const auto& s : gang.shares)
        cell.workers[s.worker].gangs.push_back(gang.id);
}

void unlist_gang(cell_state& cell, const gang_state& gang) {
    for (const auto& s : gang.shares)
        std::erase(cell.workers[s.worker].gangs, gang.id);
}

/// Turns a waiting job into a gang that occupies `shares`. `job` is passed by
/// value, since it may refer to the waiting job, which is removed here.
decision start_gang(cell_state& cell, std::string job, placement shares,
                    gang_use use, int block, const std::string& backend,
                    time_point now) {
    gang_state gang;
    gang.id = cell.next_gang++;
    gang.job = cell.waiting.at(job).job;
    gang.shares = std::move(shares);
    gang.use = use;
    gang.block = block;
    gang.backend = backend;
    gang.placed = now;
    gang.expected_end = now + estimate_run(cell, gang.job);
    remove_waiting(cell, job);
    count_gang(cell, gang, 1);
    list_gang(cell, gang);
    place_gang placed{gang.id, std::move(job)};
    cell.gangs.emplace(gang.id, std::move(gang));
    return placed;
}

enum class outcome { placed, claimed, blocked };

/// The context of one call of schedule().
struct pass {
    cell_state& cell;
    time_point now;
    std::vector<decision> decisions;
    bool reservation_tried = false;
};

void preempt_gangs(pass& p, const reclaim_plan& plan, const std::string& job) {
    for (gang_id id : plan.gangs_to_stop) {
        auto& preempted = p.cell.gangs.at(id);
        preempted.stopping = true;
        if (is_mutant("never-reclaim"))
            continue;
        p.decisions.push_back(stop_gang{id, preempted.job.id, job});
    }
}

outcome place_in_guarantee(pass& p, waiting_job& waiting,
                           const std::string& backend) {
    auto plan = plan_in_guarantee(p.cell, waiting, p.now);
    if (!plan)
        return outcome::blocked;
    const auto id = waiting.job.id;
    if (!plan->waits) {
        p.decisions.push_back(start_gang(p.cell, id, std::move(plan->shares),
                                         gang_use::guaranteed, plan->block,
                                         backend, p.now));
        return outcome::placed;
    }
    waiting.waiting_for =
        fmt::format("guarantee: {} borrowed gangs are being stopped",
                    plan->gangs_to_stop.size());
    hold_claim(p.cell, waiting, *plan, backend, p.now);
    preempt_gangs(p, *plan, id);
    return outcome::claimed;
}

/// Whether a job may use workers that are reserved for another job: it is
/// expected to end before the other one starts.
bool may_backfill(const pass& p, const waiting_job& waiting) {
    const auto& r = p.cell.reserved;
    return !r || r->job == waiting.job.id ||
           p.now + estimate_run(p.cell, waiting.job) <= r->expected_start;
}

outcome place_anywhere(pass& p, waiting_job& waiting,
                       const std::string& backend) {
    placement_request request;
    request.shape = waiting.job.shape;
    request.outside_guarantees = !waiting.job.repeatable;
    request.avoid = &waiting.avoid;
    if (!may_backfill(p, waiting))
        request.reserved_workers = &p.cell.reserved->workers;
    auto found = p.cell.policy->place(p.cell, request);
    if (!found)
        return outcome::blocked;
    const auto use =
        waiting.job.repeatable ? gang_use::borrowed : gang_use::pinned;
    p.decisions.push_back(start_gang(p.cell, waiting.job.id, std::move(*found),
                                     use, -1, backend, p.now));
    return outcome::placed;
}

/// The time from which one more gang member could run on a worker.
struct vacancy {
    time_point at;
    int worker;

    auto operator<=>(const vacancy&) const = default;
};

void add_vacancies(const pass& p, int w, int size, std::vector<vacancy>& out) {
    const auto& s = p.cell.workers[w];
    if (!accepts_gangs(s))
        return;
    std::vector<std::pair<time_point, int>> ends;
    for (gang_id id : s.gangs) {
        const auto& gang = p.cell.gangs.at(id);
        for (const auto& taken : gang.shares) {
            if (taken.worker == w)
                ends.emplace_back(p.now + remaining_run(gang, p.now),
                                  taken.accelerators);
        }
    }
    std::sort(ends.begin(), ends.end());
    int free = available(p.cell, w);
    for (int i = 0; i < free / size; ++i)
        out.push_back({p.now, w});
    for (const auto& [at, accelerators] : ends) {
        for (int i = free / size; i < (free + accelerators) / size; ++i)
            out.push_back({at, w});
        free += accelerators;
    }
}

/// Plans a reservation in the unit where the gang can start earliest if no
/// other gang is placed there.
std::optional<reservation> plan_reservation(const pass& p,
                                            const waiting_job& waiting) {
    const auto& shape = waiting.job.shape;
    std::optional<reservation> best;
    for (const auto& unit : units_of(p.cell, shape.within)) {
        std::vector<vacancy> vacancies;
        for (int w : unit.workers)
            add_vacancies(p, w, shape.accelerators, vacancies);
        if (static_cast<int>(vacancies.size()) < shape.members)
            continue;
        std::sort(vacancies.begin(), vacancies.end());
        vacancies.resize(shape.members);
        if (best && vacancies.back().at >= best->expected_start)
            continue;
        best = reservation{waiting.job.id, {}, vacancies.back().at};
        for (const auto& v : vacancies)
            best->workers.push_back(v.worker);
    }
    if (!best)
        return best;
    std::sort(best->workers.begin(), best->workers.end());
    best->workers.erase(std::unique(best->workers.begin(), best->workers.end()),
                        best->workers.end());
    return best;
}

/// The time that migrated gangs take to free their accelerators.
constexpr duration migration_time{5000};

/// Stops borrowed gangs, so that they start again elsewhere, and reserves
/// their workers for a large gang. Returns false if no migration is possible.
bool migrate_for(pass& p, const waiting_job& waiting) {
    const auto plan = plan_migration(p.cell, waiting, p.now);
    if (!plan)
        return false;
    p.cell.reserved =
        reservation{waiting.job.id, plan->workers, p.now + migration_time};
    for (gang_id id : plan->gangs_to_stop) {
        auto& preempted = p.cell.gangs.at(id);
        preempted.stopping = true;
        p.decisions.push_back(stop_gang{id, preempted.job.id, waiting.job.id});
    }
    return true;
}

/// Reserves workers for the first large gang that has to wait.
void reserve_for(pass& p, const waiting_job& waiting) {
    const auto& shape = waiting.job.shape;
    if (!p.cell.policy->reserves || p.reservation_tried ||
        total_accelerators(shape) < reservation_threshold ||
        shape.within == adjacency::worker)
        return;
    const auto& current = p.cell.reserved;
    const bool stale = current && current->job == waiting.job.id &&
                       current->expected_start < p.now;
    if (current && !stale)
        return;
    p.reservation_tried = true;
    if (migrate_for(p, waiting))
        return;
    if (auto planned = plan_reservation(p, waiting))
        p.cell.reserved = std::move(planned);
}

void explain_wait(const pass& p, waiting_job& waiting) {
    const auto& shape = waiting.job.shape;
    const int free = p.cell.whole_cell.fitting_members[1];
    waiting.waiting_for = fmt::format(
        "queue: needs {} members of {} accelerators; {} accelerators are "
        "free, but not together or not available to this job",
        shape.members, shape.accelerators, free);
}

outcome place_gang_of(pass& p, waiting_job& waiting,
                      const std::string& backend) {
    if (waiting.job.shape.members == 0) {
        p.decisions.push_back(start_gang(p.cell, waiting.job.id, {},
                                         gang_use::pinned, -1, backend, p.now));
        return outcome::placed;
    }
    const auto result = place_in_guarantee(p, waiting, backend);
    if (result != outcome::blocked)
        return result;
    return place_anywhere(p, waiting, backend);
}

outcome try_job(pass& p, waiting_job& waiting) {
    std::string backend;
    if (!waiting.job.service.empty()) {
        auto slot = take_slot(p.cell.backends, waiting.job.service,
                              p.cell.random, p.now);
        if (!slot) {
            waiting.waiting_for = fmt::format(
                "backend: no free slot of service '{}'", waiting.job.service);
            return outcome::blocked;
        }
        backend = *slot;
    }
    const auto result = place_gang_of(p, waiting, backend);
    if (result != outcome::blocked)
        return result;
    if (!backend.empty())
        return_slot(p.cell.backends, backend, slot_use::untouched, p.now);
    explain_wait(p, waiting);
    reserve_for(p, waiting);
    return result;
}

void place_free_claims(pass& p) {
    std::vector<std::pair<time_point, std::string>> order;
    for (const auto& id : p.cell.claims)
        order.emplace_back(p.cell.waiting.at(id).reclaim->since, id);
    std::sort(order.begin(), order.end());
    for (const auto& [since, id] : order) {
        auto& waiting = p.cell.waiting.at(id);
        const claim held = *waiting.reclaim;
        if (!claim_is_free(p.cell, held))
            continue;
        waiting.reclaim->backend.clear(); // The gang takes over the slot.
        drop_claim(p.cell, waiting);
        p.decisions.push_back(start_gang(p.cell, id, held.shares,
                                         gang_use::guaranteed, held.block,
                                         held.backend, p.now));
    }
}

void drop_lost_claims(pass& p) {
    std::set<int> lost;
    drop_claims(p.cell, [&](const waiting_job& waiting) {
        bool any = false;
        for (const auto& s : waiting.reclaim->shares) {
            if (accepts_gangs(p.cell.workers[s.worker]))
                continue;
            lost.insert(s.worker);
            any = true;
        }
        return any;
    });
    for (int w : lost)
        unbind_homes_on(p.cell, w);
}

void ready_blocked_groups(cell_state& cell) {
    for (const auto& [key, group] : cell.groups) {
        if (group.blocked_at != cell.capacity_version && !group.jobs.empty())
            cell.ready_groups.insert({group.jobs.begin()->first, key});
    }
}

void try_group(pass& p, const std::pair<std::int64_t, group_key>& head) {
    auto it = p.cell.groups.find(head.second);
    assert(it != p.cell.groups.end());
    auto& waiting = p.cell.waiting.at(it->second.jobs.begin()->second);
    if (try_job(p, waiting) != outcome::blocked)
        return;
    p.cell.ready_groups.erase(head);
    it->second.blocked_at = p.cell.capacity_version;
}

} // namespace

std::vector<decision> schedule(cell_state& cell, time_point now) {
    pass p{cell, now, {}};
    end_quarantines(cell, now);
    drop_lost_claims(p);
    place_free_claims(p);
    ready_blocked_groups(cell);
    for (int tries = 0; tries < max_tries && !cell.ready_groups.empty();
         ++tries)
        try_group(p, *cell.ready_groups.begin());
    return std::move(p.decisions);
}

void end_gang(cell_state& cell, gang_id id, gang_end how, time_point now) {
    auto it = cell.gangs.find(id);
    if (it == cell.gangs.end())
        return;
    const gang_state gang = std::move(it->second);
    cell.gangs.erase(it);
    count_gang(cell, gang, -1);
    unlist_gang(cell, gang);
    if (how == gang_end::completed) {
        record_run(cell, gang.job, now - gang.placed);
        cell.job_failures.erase(gang.job.id);
    }
    if (!gang.backend.empty()) {
        const auto use = how == gang_end::completed ? slot_use::succeeded
                         : how == gang_end::failed  ? slot_use::failed
                                                    : slot_use::untouched;
        return_slot(cell.backends, gang.backend, use, now);
        ++cell.capacity_version;
    }
    for (const auto& s : gang.shares) {
        if (!accepts_gangs(cell.workers[s.worker]))
            unbind_homes_on(cell, s.worker);
    }
    rebind_lost_shares(cell);
}

namespace {

bool covers(const cell_state& cell, int block, const placement& shares) {
    const auto unused = unused_home(cell, cell.blocks[block]);
    return std::all_of(shares.begin(), shares.end(), [&](const share& s) {
        return std::any_of(unused.begin(), unused.end(), [&](const share& u) {
            return u.worker == s.worker && u.accelerators >= s.accelerators;
        });
    });
}

/// Returns a block of the organisation whose home already covers the gang, or
/// an unused one after binding it to the gang's accelerators; -1 if there is
/// none.
int block_for(cell_state& cell, const gang_state& gang) {
    auto it = cell.organisation_index.find(gang.job.organisation);
    if (it == cell.organisation_index.end())
        return -1;
    for (int b : cell.organisations[it->second].blocks) {
        if (covers(cell, b, gang.shares))
            return b;
    }
    for (int b : cell.organisations[it->second].blocks) {
        if (cell.blocks[b].shape == gang.job.shape &&
            bind_to(cell, b, gang.shares))
            return b;
    }
    return -1;
}

} // namespace

void adopt_gang(cell_state& cell, const gang_state& running) {
    gang_state gang = running;
    gang.block = gang.shares.empty() ? -1 : block_for(cell, gang);
    gang.use = gang.block >= 0       ? gang_use::guaranteed
               : gang.job.repeatable ? gang_use::borrowed
                                     : gang_use::pinned;
    if (gang.shares.empty())
        gang.use = gang_use::pinned;
    count_gang(cell, gang, 1);
    list_gang(cell, gang);
    if (!gang.backend.empty())
        adopt_slot(cell.backends, gang.backend);
    cell.gangs.emplace(gang.id, std::move(gang));
}

} // namespace celerylift::kernel
