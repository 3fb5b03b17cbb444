#include <celerylift/kernel/queue.hpp>

#include <celerylift/kernel/estimates.hpp>
#include <celerylift/kernel/placement.hpp>
#include <celerylift/kernel/policy.hpp>
#include <celerylift/kernel/reclaim.hpp>

#include <algorithm>
#include <fmt/format.h>

namespace celerylift::kernel {

namespace {

/// Retry-after time of a rejected job.
constexpr duration full_queue_retry{5000};

error rejection(error_kind kind, std::string message, duration retry = {}) {
    return {kind, std::move(message), run_state::not_run, retry};
}

/// The maximum number of members of this shape that one empty unit can hold.
int max_members(const cell_state& cell, const gang_shape& shape) {
    int max_found = 0;
    if (shape.within == adjacency::worker) {
        for (const auto& w : cell.workers)
            max_found =
                std::max(max_found, w.spec.accelerators / shape.accelerators);
        return max_found;
    }
    for (const auto& unit : units_of(cell, shape.within)) {
        int members = 0;
        for (int w : unit.workers)
            members += cell.workers[w].spec.accelerators / shape.accelerators;
        max_found = std::max(max_found, members);
    }
    return max_found;
}

const char* name_of(adjacency within) {
    switch (within) {
    case adjacency::worker:
        return "worker";
    case adjacency::rack:
        return "rack";
    case adjacency::failure_domain:
        return "failure domain";
    case adjacency::cell:
        break;
    }
    return "cell";
}

} // namespace

std::optional<error> check_admission(const cell_state& cell, const job& job) {
    auto it = cell.organisation_index.find(job.organisation);
    if (it == cell.organisation_index.end() ||
        cell.organisations[it->second].removed)
        return rejection(error_kind::not_found,
                         fmt::format("organisation '{}' does not exist; create "
                                     "it or correct the name",
                                     job.organisation));
    const auto& shape = job.shape;
    if (shape.members > 0 && max_members(cell, shape) < shape.members)
        return rejection(
            error_kind::infeasible,
            fmt::format("no {} of the cell holds {} members of {} "
                        "accelerators; the most is {} members: make the gang "
                        "smaller or its adjacency wider",
                        name_of(shape.within), shape.members,
                        shape.accelerators, max_members(cell, shape)));
    if (!job.service.empty() && !knows_service(cell.backends, job.service))
        return rejection(error_kind::infeasible,
                         fmt::format("no backend server of service '{}' has "
                                     "announced itself; start one or correct "
                                     "the name",
                                     job.service),
                         full_queue_retry);
    const auto& org = cell.organisations[it->second];
    const int limit = org.spec.queue_limit > 0 ? org.spec.queue_limit
                                               : cell.default_queue_limit;
    // A tenth of the queue is reserved for urgent jobs.
    const int limit_for_job =
        job.urgency == urgency::urgent ? limit : limit - limit / 10;
    if (org.waiting >= limit_for_job)
        return rejection(
            error_kind::overloaded,
            fmt::format("{} jobs of '{}' are already waiting, the limit "
                        "is {}; retry later or raise queue_limit",
                        org.waiting, job.organisation, limit_for_job),
            full_queue_retry);
    return std::nullopt;
}

group_key key_of(const cell_state& cell, const job& job) {
    return {cell.organisation_index.at(job.organisation), job.urgency,
            job.shape, job.repeatable, job.service};
}

namespace {

void refresh_ready(cell_state& cell, const group_key& key,
                   const waiting_group& group,
                   std::optional<std::int64_t> old_head) {
    const bool was_ready =
        old_head && cell.ready_groups.erase({*old_head, key}) > 0;
    if (group.jobs.empty())
        return;
    if (was_ready || group.blocked_at != cell.capacity_version)
        cell.ready_groups.insert({group.jobs.begin()->first, key});
}

/// Adds an entry for an unknown organisation, marked as removed. Jobs may
/// outlive their organisation and then run without a guarantee.
void ensure_organisation(cell_state& cell, const std::string& name) {
    auto [it, added] = cell.organisation_index.emplace(
        name, static_cast<int>(cell.organisations.size()));
    if (!added)
        return;
    cell.organisations.emplace_back();
    cell.organisations.back().spec.name = name;
    cell.organisations.back().removed = true;
}

std::optional<std::int64_t> head_of(const waiting_group& group) {
    if (group.jobs.empty())
        return std::nullopt;
    return group.jobs.begin()->first;
}

} // namespace

void enqueue(cell_state& cell, const job& job, time_point now,
             std::set<int> avoid) {
    ensure_organisation(cell, job.organisation);
    waiting_job waiting;
    waiting.job = job;
    waiting.arrived = now;
    waiting.order_key =
        cell.policy->order_key(cell, job, now, estimate_run(cell, job));
    waiting.avoid = std::move(avoid);
    auto [it, added] = cell.waiting.emplace(job.id, std::move(waiting));
    if (!added)
        return;
    ++cell.organisations[key_of(cell, job).organisation].waiting;
    rejoin_group(cell, it->second);
}

void rejoin_group(cell_state& cell, waiting_job& waiting) {
    const auto key = key_of(cell, waiting.job);
    auto& group = cell.groups[key];
    const auto old_head = head_of(group);
    group.jobs.insert({waiting.order_key, waiting.job.id});
    refresh_ready(cell, key, group, old_head);
}

void leave_group(cell_state& cell, const waiting_job& waiting) {
    const auto key = key_of(cell, waiting.job);
    auto it = cell.groups.find(key);
    if (it == cell.groups.end())
        return;
    const auto old_head = head_of(it->second);
    it->second.jobs.erase({waiting.order_key, waiting.job.id});
    refresh_ready(cell, key, it->second, old_head);
    if (it->second.jobs.empty())
        cell.groups.erase(it);
}

bool remove_waiting(cell_state& cell, const std::string& id) {
    auto it = cell.waiting.find(id);
    if (it == cell.waiting.end())
        return false;
    if (it->second.reclaim)
        drop_claim(cell, it->second);
    leave_group(cell, it->second);
    --cell.organisations[key_of(cell, it->second.job).organisation].waiting;
    if (cell.reserved && cell.reserved->job == id) {
        cell.reserved.reset();
        ++cell.capacity_version;
    }
    cell.waiting.erase(it);
    return true;
}

} // namespace celerylift::kernel
