#include "owner_internal.hpp"

#include <algorithm>

namespace celerylift::fleet {

namespace {

/// What runs on a server against the record takes room as well. Returns
/// whether all of it is known.
bool add_unrecorded(const owner& o, const server& s, resources& in_use) {
    for (const auto& running : s.running) {
        const auto name = parse_task_name(running.name().task());
        const auto it = name ? o.jobs.find(name->job) : o.jobs.end();
        if (it == o.jobs.end() ||
            name->step >= it->second.submission.steps_size())
            return false;
        const auto held = s.assigned.find(*name);
        if (held == s.assigned.end() || held->second.task_ref->ended_in_gang)
            in_use += need_of(step_of(it->second, *name));
    }
    return true;
}

void refresh(const owner& o, server& s) {
    if (!s.usage.stale)
        return;
    s.usage.stale = false;
    o.run.metrics.count("rooms_refreshed_total");
    s.usage.in_use = {};
    for (const auto& [name, held] : s.assigned)
        if (!held.task_ref->ended_in_gang)
            s.usage.in_use += need_of(step_of(*held.job_ref, name));
    s.usage.all_runs_known = add_unrecorded(o, s, s.usage.in_use);
}

bool is_usable(const server& s, time_point now) {
    return s.has_reported && !s.state.incarnation().empty() &&
           !s.state.draining() && !s.state.departed() &&
           now <= s.last_report_at + max_report_age;
}

/// Whether a task that was started since its last exclusion will show whether
/// a server is sound.
bool is_probed(const server& s) {
    return s.health.on_probation &&
           std::ranges::any_of(s.assigned, [&](const auto& held) {
               return held.second.task_ref->assigned_at >=
                      s.health.excluded_until;
           });
}

} // namespace

schedule_pass begin_pass(owner& o) {
    schedule_pass p;
    std::unordered_map<std::string_view, std::size_t> racks;
    const auto now = o.run.now();
    for (auto& [agent, s] : o.servers) {
        if (!is_usable(s, now) || is_excluded(s.health, now) || is_probed(s))
            continue;
        refresh(o, s);
        if (!s.usage.all_runs_known)
            continue;
        candidate_server r;
        r.agent = agent;
        r.rack = s.state.rack();
        r.rack_number = racks.try_emplace(r.rack, racks.size()).first->second;
        r.service = s.state.service();
        r.labels = &s.labels;
        r.capacity = from_record(s.state.capacity());
        r.free = r.capacity;
        r.free -= s.usage.in_use;
        r.health_score = is_degraded(s.health, now) ? 0.0 : 1.0;
        r.recently_healthy = is_recently_healthy(s.health, now);
        r.on_probation = s.health.on_probation;
        p.index.emplace(agent, p.candidates.size());
        p.candidates.push_back(r);
        p.servers.push_back(&s);
    }
    return p;
}

void subtract_reservation(const schedule_pass& p, const reservation& r,
                          std::vector<candidate_server>& candidates) {
    for (const auto& agent : r.agents)
        if (const auto it = p.index.find(agent); it != p.index.end())
            candidates[it->second].free -= r.each;
}

bool needs_at_least(const placement_request& more,
                    const placement_request& less) {
    return more.count >= less.count && fits(less.each, more.each) &&
           more.service == less.service &&
           (more.same_rack || !less.same_rack) &&
           more.required_label == less.required_label &&
           more.max_per_server == less.max_per_server &&
           more.running == less.running &&
           (more.healthy_only || !less.healthy_only) &&
           (less.may_probe || !more.may_probe);
}

} // namespace celerylift::fleet
