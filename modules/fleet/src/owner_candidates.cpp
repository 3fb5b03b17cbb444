#include "owner_internal.hpp"

#include <celerylift/mutant.hpp>

#include <algorithm>
#include <utility>

namespace celerylift::fleet {

namespace {

void add_occupant(server_occupancy& occupancy, const std::string& job,
                  bool closes, const std::string& crash) {
    if (occupancy.job.empty())
        occupancy.job = job;
    occupancy.is_shared = occupancy.is_shared || occupancy.job != job;
    occupancy.crash = occupancy.job_count == 0 || occupancy.crash == crash
                          ? crash
                          : std::string{};
    if (std::exchange(occupancy.last_job, job) != job)
        ++occupancy.job_count;
    occupancy.has_suspect = occupancy.has_suspect || closes;
}

void add_use(server_usage& usage, const job& job, const resources& need) {
    const auto& name = job.submission.organisation();
    usage.in_use += need;
    for (auto& [organisation, in_use] : usage.by_organisation)
        if (organisation == name) {
            in_use += need;
            return;
        }
    usage.by_organisation.emplace_back(name, need);
}

/// Adds the resources of runs that a server lists but that are not on record as
/// assigned to it. Returns whether the task of each such run is known.
bool add_unrecorded_runs(const owner& self, const server& server,
                         server_usage& usage) {
    for (const auto& running : server.running) {
        const auto name = parse_task_name(running.name().task());
        const auto it = name ? self.jobs.find(name->job) : self.jobs.end();
        if (it == self.jobs.end() ||
            name->step >= it->second.submission.steps_size())
            return false;
        const auto assigned = server.assigned.find(*name);
        if (assigned == server.assigned.end() ||
            assigned->second.task_ref->ended_in_gang) {
            const auto& step = step_of(it->second, *name);
            add_use(usage, it->second, need_of(step));
            usage.measures_speed =
                usage.measures_speed || tells_speed(server, step);
            add_occupant(usage.occupancy, name->job, false, {});
        }
    }
    return true;
}

void refresh_usage(const owner& self, server& server) {
    if (!server.usage.stale)
        return;
    server.usage.stale = false;
    self.run.metrics.count("rooms_refreshed_total");
    server.usage.in_use = {};
    server.usage.by_organisation.clear();
    server.usage.occupancy = {};
    server.usage.measures_speed = false;
    for (const auto& [name, assigned] : server.assigned)
        if (!assigned.task_ref->ended_in_gang) {
            const auto& job = *assigned.job_ref;
            const auto& step = step_of(job, name);
            add_use(server.usage, job, need_of(step));
            server.usage.measures_speed =
                server.usage.measures_speed || tells_speed(server, step);
            add_occupant(server.usage.occupancy, name.job,
                         closes_server(self, *assigned.task_ref),
                         weak_suspect_of(*assigned.task_ref));
        }
    server.usage.all_runs_known =
        add_unrecorded_runs(self, server, server.usage);
}

bool is_usable(const server& server, time_point now) {
    return server.is_named && !server.state.draining() &&
           !server.state.departed() &&
           now <= server.last_report_at + max_report_age;
}

/// Whether a server on probation has got its one task since its exclusion. The
/// end of that task shows whether the server is healthy.
bool has_probe_task(const server& server) {
    return server.health.on_probation &&
           std::ranges::any_of(server.assigned, [&](const auto& assigned) {
               return assigned.second.task_ref->assigned_at >=
                      server.health.excluded_until;
           });
}

void add_capacity(service_capacity& service,
                  const candidate_server& candidate) {
    service.total += candidate.capacity;
    service.free += candidate.free;
    ++service.servers;
}

void add_candidate(schedule_pass& pass, const candidate_server& candidate,
                   server& server) {
    pass.index.emplace(candidate.agent, pass.candidates.size());
    pass.candidates.push_back(candidate);
    pass.servers.push_back(&server);
}

/// Whether a request excludes no more servers to avoid than another one.
bool avoids_no_more(const placement_request& less,
                    const placement_request& more) {
    return less.may_use_avoided || less.avoid.empty() ||
           (!more.may_use_avoided &&
            std::ranges::includes(more.avoid, less.avoid));
}

} // namespace

bool is_cold(const server& server, time_point now) {
    return now < server.cold_until;
}

bool is_out_of_service(const owner& self, const server& server) {
    return is_out_of_service(self.evacuations.state, server.failure_domain) &&
           !is_mutant("place-out-of-service");
}

schedule_pass begin_pass(owner& self) {
    schedule_pass pass;
    pass.urgent_slowness_limit = urgent_slowness_limit(self);
    pass.candidates.reserve(self.servers.size());
    pass.servers.reserve(self.servers.size());
    pass.index.reserve(self.servers.size());
    std::unordered_map<std::string_view, std::size_t> racks;
    const auto now = self.run.now();
    for (auto& [agent, server] : self.servers) {
        if (!is_usable(server, now))
            continue;
        refresh_usage(self, server);
        if (!server.usage.all_runs_known)
            continue;
        candidate_server candidate;
        candidate.agent = agent;
        candidate.rack = server.state.rack();
        candidate.rack_number =
            racks.try_emplace(candidate.rack, racks.size()).first->second;
        candidate.service = server.state.service();
        candidate.labels = &server.labels;
        candidate.capacity = from_record(server.state.capacity());
        candidate.free = candidate.capacity;
        candidate.free -= server.usage.in_use;
        // A cold server is used like one that turned out to be slow.
        candidate.health_score =
            is_degraded(server.health, now) || is_cold(server, now) ? 0.0 : 1.0;
        candidate.recently_healthy = is_recently_healthy(server.health, now);
        candidate.last_healthy_at = server.health.last_healthy_at;
        candidate.on_probation = server.health.on_probation;
        candidate.is_excluded =
            is_excluded(server.health, now) || has_probe_task(server);
        if (self.policy.avoid_risky_servers)
            candidate.risk_class = risk_class(server.history, now);
        candidate.job = server.usage.occupancy.job;
        candidate.is_shared = server.usage.occupancy.is_shared;
        candidate.last_job = server.usage.occupancy.last_job;
        candidate.job_count = server.usage.occupancy.job_count;
        candidate.has_suspect = server.usage.occupancy.has_suspect;
        candidate.crash = server.usage.occupancy.crash;
        const auto& speeds = speeds_of(self, server.state.service());
        candidate.slowness = planned_slowness(server.speed, speeds);
        candidate.has_unknown_speed = speeds.is_uneven &&
                                      !is_known(server.speed) &&
                                      !server.usage.measures_speed;
        add_capacity(pass.reporting[candidate.service], candidate);
        if (is_out_of_service(self, server))
            continue;
        if (candidate.is_excluded) {
            pass.excluded.push_back(candidate);
            pass.excluded_servers.push_back(&server);
            continue;
        }
        add_capacity(pass.services[candidate.service], candidate);
        add_candidate(pass, candidate, server);
    }
    return pass;
}

void add_excluded_servers(schedule_pass& pass) {
    for (std::size_t i = 0; i < pass.excluded.size(); ++i)
        add_candidate(pass, pass.excluded[i], *pass.excluded_servers[i]);
    pass.excluded.clear();
    pass.excluded_servers.clear();
    pass.preemptible.clear(); // Filled again, by the new candidates.
}

void subtract_reservation(const schedule_pass& pass,
                          const reservation& reservation,
                          std::vector<candidate_server>& candidates) {
    for (const auto& agent : reservation.agents)
        if (const auto it = pass.index.find(agent); it != pass.index.end())
            candidates[it->second].free -= reservation.each;
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
           (more.within_limit_only
                ? !less.within_limit_only ||
                      more.slowness_limit <= less.slowness_limit
                : !less.within_limit_only) &&
           !more.needs_own_servers && !less.needs_own_servers &&
           avoids_no_more(less, more) && (less.may_probe || !more.may_probe) &&
           (less.may_use_excluded || !more.may_use_excluded) &&
           (less.fills_servers_on_probation ||
            !more.fills_servers_on_probation);
}

} // namespace celerylift::fleet
