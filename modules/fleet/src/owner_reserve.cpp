#include "owner_internal.hpp"

#include <algorithm>
#include <optional>

namespace celerylift::fleet {

namespace {

/// Lifetime of a reservation. It is then planned again, because runs end sooner
/// or later than expected.
constexpr duration reservation_lifetime{2000};

/// A further reservation is made only while all reservations together hold at
/// most one server in this many.
constexpr std::size_t servers_per_reserved_server = 2;

/// How long a run that is being stopped may take to end.
constexpr double max_stop_time_ms = 900;

/// Capacity for one task of a gang, and when it becomes free.
struct slot {
    double free_in_ms = 0;
    std::string agent;
};

struct reservation_plan {
    double ready_in_ms = 0;
    std::vector<std::string> agents;
};

/// Adds a slot for each task that fits on a server, now or once the runs there
/// have ended. Lasting tasks never end, so their capacity is not counted.
void add_slots(const owner& self, const server& server,
               const candidate_server& candidate,
               const placement_request& request, std::vector<slot>& slots) {
    std::vector<std::pair<double, resources>> ends;
    for (const auto& [name, assigned] : server.assigned) {
        const auto& task = *assigned.task_ref;
        if (task.ended_in_gang || step_of(*assigned.job_ref, name).lasting())
            continue;
        ends.emplace_back(
            task.stopping
                ? max_stop_time_ms
                : remaining_run_time_ms(self, server, *assigned.job_ref, task),
            need_of(step_of(*assigned.job_ref, name)));
    }
    std::ranges::sort(ends, {}, [](const auto& end) { return end.first; });
    auto free = candidate.free;
    int slot_count = 0;
    const auto add_fitting = [&](double free_in_ms) {
        while (fits(request.each, free) && slot_count < request.count &&
               (request.max_per_server == 0 ||
                slot_count < request.max_per_server)) {
            free -= request.each;
            ++slot_count;
            slots.push_back({free_in_ms, server.agent});
        }
    };
    add_fitting(0);
    for (const auto& [free_in_ms, freed] : ends) {
        free += freed;
        add_fitting(free_in_ms);
    }
}

/// Plans the request on the slots of these candidates that become free soonest.
std::optional<reservation_plan>
plan_among(const owner& self, const schedule_pass& pass,
           const std::vector<candidate_server>& candidates,
           const std::vector<std::size_t>& indices,
           const placement_request& request) {
    std::vector<slot> slots;
    for (const auto i : indices)
        add_slots(self, *pass.servers[i], candidates[i], request, slots);
    const auto count = static_cast<std::size_t>(request.count);
    if (slots.size() < count)
        return std::nullopt;
    std::ranges::stable_sort(slots, {}, &slot::free_in_ms);
    reservation_plan plan{slots[count - 1].free_in_ms, {}};
    for (std::size_t i = 0; i < count; ++i)
        plan.agents.push_back(slots[i].agent);
    return plan;
}

std::optional<reservation_plan>
soonest_plan(const owner& self, const schedule_pass& pass,
             const std::vector<candidate_server>& candidates,
             const placement_request& request) {
    std::map<std::size_t, std::vector<std::size_t>> groups;
    for (std::size_t i = 0; i < candidates.size(); ++i)
        if (!candidates[i].excluded_from_request &&
            is_eligible(candidates[i], request) &&
            candidates[i].health_score >= min_health_score)
            groups[request.same_rack ? candidates[i].rack_number : 0].push_back(
                i);
    std::optional<reservation_plan> best;
    for (const auto& [rack, members] : groups) {
        const auto plan = plan_among(self, pass, candidates, members, request);
        if (plan && (!best || plan->ready_in_ms < best->ready_in_ms))
            best = plan;
    }
    return best;
}

std::set<std::string> reserved_servers(const owner& self) {
    std::set<std::string> agents;
    for (const auto& reservation : self.reservations)
        agents.insert(reservation.agents.begin(), reservation.agents.end());
    return agents;
}

/// Whether this many further servers may be reserved. Otherwise units after
/// this one wait as well, even if they need less.
bool may_reserve_servers(const owner& self, schedule_pass& pass,
                         std::size_t count) {
    const auto reserved = reserved_servers(self).size();
    const bool allowed =
        reserved == 0 || (reserved + count) * servers_per_reserved_server <=
                             pass.candidates.size();
    if (!allowed)
        pass.reservation_plans_left = 0;
    return allowed;
}

/// When the tasks of other jobs will have left a server, or nothing where one
/// of them lasts.
std::optional<double>
left_by_others_in_ms(const owner& self, const server& server, const job& job) {
    double latest = 0;
    for (const auto& [name, assigned] : server.assigned) {
        const auto& task = *assigned.task_ref;
        if (assigned.job_ref == &job || task.ended_in_gang)
            continue;
        if (step_of(*assigned.job_ref, name).lasting())
            return std::nullopt;
        latest = std::max(
            latest, task.stopping ? max_stop_time_ms
                                  : remaining_run_time_ms(
                                        self, server, *assigned.job_ref, task));
    }
    return latest;
}

} // namespace

void reserve_ahead(owner& self, schedule_pass& pass, const job& job,
                   const occurrence& occurrence, int step,
                   const std::vector<candidate_server>& candidates,
                   const placement_request& request) {
    --pass.reservation_plans_left;
    const auto plan = soonest_plan(self, pass, candidates, request);
    if (!plan)
        return;
    const std::set<std::string> agents(plan->agents.begin(),
                                       plan->agents.end());
    if (!may_reserve_servers(self, pass, agents.size()))
        return;
    self.run.journal.event(
        "room_reserved",
        {{"job", job.submission.id()},
         {"step", step},
         {"tasks", request.count},
         {"servers", agents.size()},
         {"ready_in_ms", static_cast<std::int64_t>(plan->ready_in_ms)}});
    self.run.metrics.count("reservations_total");
    const duration ready_in{static_cast<std::int64_t>(plan->ready_in_ms)};
    self.reservations.push_back(
        {job.submission.id(), occurrence.number, step, plan->agents,
         request.each, self.run.now() + reservation_lifetime,
         priority_of(self, job), self.run.now() + ready_in});
}

void reserve_own_servers(owner& self, schedule_pass& pass, const job& job,
                         const occurrence& occurrence, int step,
                         const std::vector<candidate_server>& candidates,
                         const placement_request& request) {
    --pass.reservation_plans_left;
    const auto reserved = reserved_servers(self);
    std::vector<std::pair<double, std::size_t>> servers; // By time when left.
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto& candidate = candidates[i];
        if (candidate.excluded_from_request || candidate.has_suspect ||
            !is_eligible(candidate, request) ||
            reserved.contains(pass.servers[i]->agent))
            continue;
        if (const auto left = left_by_others_in_ms(self, *pass.servers[i], job))
            servers.emplace_back(*left, i);
    }
    std::ranges::sort(servers);
    reservation plan{job.submission.id(),
                     occurrence.number,
                     step,
                     {},
                     {},
                     self.run.now() + reservation_lifetime,
                     priority_of(self, job),
                     {}};
    std::int64_t tasks_left =
        job.submission.steps(step).gang() ? request.count : 1;
    for (const auto& [left_in_ms, i] : servers) {
        if (tasks_left <= 0)
            break;
        const auto& capacity = candidates[i].capacity;
        tasks_left -= slots_in(capacity, request.each);
        plan.agents.push_back(pass.servers[i]->agent);
        plan.each.millicores =
            std::max(plan.each.millicores, capacity.millicores);
        plan.each.memory_mb = std::max(plan.each.memory_mb, capacity.memory_mb);
        plan.each.accelerators =
            std::max(plan.each.accelerators, capacity.accelerators);
        plan.ready_at =
            self.run.now() + duration{static_cast<std::int64_t>(left_in_ms)};
    }
    if (tasks_left > 0 || !may_reserve_servers(self, pass, plan.agents.size()))
        return;
    self.run.journal.event("servers_reserved_for_suspect",
                           {{"job", job.submission.id()},
                            {"step", step},
                            {"servers", plan.agents.size()}});
    self.run.metrics.count("reservations_total");
    self.reservations.push_back(std::move(plan));
}

} // namespace celerylift::fleet
